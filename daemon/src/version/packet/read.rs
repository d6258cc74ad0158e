//! Reads of the store, which are applied to what the process knows.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use lagoonhollow_lib::process::confirmation::Answered;
use lagoonhollow_lib::process::confirmation::Part;
use lagoonhollow_lib::process::registry::Change;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_platform::answer::Answer;
use lagoonhollow_platform::error::StoreError;
use lagoonhollow_platform::orders::Orders;
use lagoonhollow_platform::page::Page;
use lagoonhollow_platform::page::PageStart;
use lagoonhollow_platform::store::StoreClient;
use lagoonhollow_platform::store_read::StoreRead;
use tokio::time::sleep;

use crate::process::packet::shared::Shared;

/// Time within which an answer of the store has to begin. The store answers in
/// milliseconds, and a connection whose answer was lost stays silent.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after which a first read is repeated in parallel with the pending one.
const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Limit of parallel attempts of one request.
const MAX_ATTEMPTS: usize = 4;

/// What was read of one part.
enum Batch {
    /// All orders, and those that changed while they were read.
    AllOrders(StoreRead<Orders>, Option<StoreRead<Orders>>),
    /// All backend servers, and those that changed while they were read.
    AllMembers(StoreRead<Listing>, Option<StoreRead<Vec<Change>>>),
    /// Changed orders.
    Orders(StoreRead<Orders>),
    /// Changed backend servers.
    Members(StoreRead<Vec<Change>>),
}

/// Reads all of `part`; returns whether anything was read.
///
/// # Errors
///
/// Returns an error if the store can't be read.
pub async fn listing(
    part: Part,
    store: &StoreClient,
    shared: &Shared,
    failing: &mut bool,
) -> Result<bool, StoreError> {
    let mut sent = shared.clock.now();
    let batch = match part {
        Part::Orders => {
            let mut page =
                page(part, shared, failing, &PageStart::default(), |at| store.orders(at)).await?;
            let paged = page.next.is_some();
            while let Some(start) = page.next {
                let next = self::page(part, shared, failing, &start, |at| store.orders(at)).await?;
                page.read.append(next.read);
                page.next = next.next;
            }
            let mut changes = None;
            if paged {
                sent = shared.clock.now();
                let answer = store.watch_orders(page.read.revision, Duration::ZERO);
                changes = Some(receive(part, shared, answer).await?);
            }
            Batch::AllOrders(page.read, changes)
        }
        Part::Members => {
            let mut page =
                page(part, shared, failing, &PageStart::default(), |at| store.members(at)).await?;
            let paged = page.next.is_some();
            while let Some(start) = page.next {
                let next =
                    self::page(part, shared, failing, &start, |at| store.members(at)).await?;
                page.read.append(next.read);
                page.next = next.next;
            }
            let mut changes = None;
            if paged {
                sent = shared.clock.now();
                let answer = store.watch_members(page.read.revision, Duration::ZERO);
                changes = Some(receive(part, shared, answer).await?);
            }
            Batch::AllMembers(page.read, changes)
        }
    };
    apply(part, shared, batch, sent, Duration::ZERO);
    Ok(true)
}

/// Reads what has changed of `part` after a revision, for which the store waits up to `wait`;
/// returns whether anything has.
///
/// # Errors
///
/// Returns an error if the store can't be read, or has no history after that revision.
pub async fn changes(
    part: Part,
    store: &StoreClient,
    shared: &Shared,
    after: Revision,
    wait: Duration,
) -> Result<bool, StoreError> {
    let sent = shared.clock.now();
    let batch = match part {
        Part::Orders => {
            Batch::Orders(receive(part, shared, store.watch_orders(after, wait)).await?)
        }
        Part::Members => {
            Batch::Members(receive(part, shared, store.watch_members(after, wait)).await?)
        }
    };
    Ok(apply(part, shared, batch, sent, wait))
}

/// Requests a page of a listing, and receives it.
async fn page<'a, T, F>(
    part: Part,
    shared: &Shared,
    failing: &mut bool,
    start: &'a PageStart,
    request: impl Fn(&'a PageStart) -> F,
) -> Result<Page<T>, StoreError>
where
    F: Future<Output = Result<Answer<Page<T>>, StoreError>>,
{
    shared.metrics.store_calls.inc();
    let answer = hedged(part, || request(start), shared, failing).await?;
    let _transfer = shared.transfer(part).lock().await;
    answer.receive().await
}

/// Awaits an answer and receives it.
async fn receive<T>(
    part: Part,
    shared: &Shared,
    answer: impl Future<Output = Result<Answer<T>, StoreError>>,
) -> Result<T, StoreError> {
    shared.metrics.store_calls.inc();
    let answer = answer.await?;
    let _transfer = shared.transfer(part).lock().await;
    answer.receive().await
}

/// Applies what was read and publishes it; returns whether it holds any item.
fn apply(part: Part, shared: &Shared, batch: Batch, sent: Moment, wait: Duration) -> bool {
    let now = shared.clock.now();
    let (revision, items) = match batch {
        Batch::AllOrders(read, changes) => {
            let revision = read.revision;
            let listed = read.value.evacuations.clone();
            let items = apply_routes(shared, read);
            shared.knowledge.replace_evacuations(revision, &listed);
            if let Some(changes) = changes {
                apply_orders(shared, changes);
            }
            (revision, items)
        }
        Batch::Orders(read) => (read.revision, apply_orders(shared, read)),
        Batch::AllMembers(read, changes) => {
            let (revision, items) = (read.revision, read.items);
            record(shared, &read);
            shared.knowledge.replace_members(read.value, now);
            if let Some(changes) = changes {
                record(shared, &changes);
                shared.knowledge.apply_changes(changes.value, now);
            }
            (revision, items)
        }
        Batch::Members(read) => {
            record(shared, &read);
            let (revision, items) = (read.revision, read.items);
            shared.knowledge.apply_changes(read.value, now);
            (revision, items)
        }
    };
    let answer = Answered { sent, wait, changed: items > 0, received: now };
    shared.knowledge.confirm_read(part, revision, &answer, now);
    shared.publish();
    items > 0
}

/// Puts the routes and then the evacuations in force that have changed; returns the number of
/// items.
fn apply_orders(shared: &Shared, read: StoreRead<Orders>) -> usize {
    let changes = read.value.evacuations.clone();
    let items = apply_routes(shared, read);
    shared.knowledge.change_evacuations(&changes);
    items
}

/// Puts the routes in force that were read; returns the number of items.
fn apply_routes(shared: &Shared, read: StoreRead<Orders>) -> usize {
    record(shared, &read);
    if let Some(published) = read.value.published {
        shared.apply_routes(published, "store");
    }
    read.items
}

/// Records the size, the epoch and the findings of a read.
fn record<T>(shared: &Shared, read: &StoreRead<T>) {
    shared.record_epoch(read.revision.epoch);
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    log_findings(shared, &read.findings);
}

/// Repeats a request in parallel until an answer begins; returns the first one that
/// does, or the error of the last attempt.
///
/// A process that knows nothing can't serve, and an attempt made while the store
/// was unreachable gets no answer even when the store is back. Attempts that fail
/// meanwhile are logged and counted as failed reads of `part`. Only one answer is
/// received, since copies of a long one would share the link.
async fn hedged<T, F>(
    part: Part,
    request: impl Fn() -> F,
    shared: &Shared,
    failing: &mut bool,
) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut attempts = FuturesUnordered::new();
    attempts.push(request());
    loop {
        let more = attempts.len() < MAX_ATTEMPTS;
        tokio::select! {
            Some(result) = attempts.next() => match result {
                Err(error) if !attempts.is_empty() => shared.store_failed(part, &error, failing),
                result => return result,
            },
            () = sleep(HEDGE_DELAY), if more => {
                shared.metrics.store_calls.inc();
                attempts.push(request());
            }
        }
    }
}

/// Logs and counts items that can't be decoded.
fn log_findings(shared: &Shared, findings: &Findings) {
    for finding in findings.list() {
        shared.metrics.count(Reason::BadManifest);
        spdlog::warn!("unreadable_item", kv: { place = finding.place, problem = finding.problem });
    }
}
