//! Follows the store, and other processes while the store is unreachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_platform::error::StoreError;
use lagoonhollow_platform::orders::Orders;
use lagoonhollow_platform::page::Page;
use lagoonhollow_platform::page::PageStart;
use lagoonhollow_platform::store::StoreClient;
use lagoonhollow_platform::store_read::StoreRead;
use ntex::client::Client;
use rand::Rng;
use tokio::time::sleep;

use super::knowledge_delta::KnowledgeDelta;
use super::knowledge_delta::PullError;
use crate::process::packet::shared::Shared;

/// Time within which an answer of the store has to begin. The store answers in
/// milliseconds, and a connection whose answer was lost stays silent.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Smallest upper bound of the wait of a watch. A connection may go silent at any
/// time, which is noticed only when the wait is over or another process reports a
/// later version.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Increase of that bound per registered backend server, so that the fleet's rate
/// of calls does not grow with its size. Some process still notices within 2 s that
/// connections are silent, and notifies the others.
const WAIT_PER_MEMBER: Duration = Duration::from_secs(1);
/// Longest wait of a watch that the store allows.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(25);
/// Shortest pause between two watches of backend servers, whose records change
/// several times at each start and stop.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Increase of that pause per registered backend server, since changes are more
/// frequent the more there are.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(60);
/// Longest pause between two watches, as a fraction of the limit for leaving backend servers,
/// the strictest for a change of these records. Processes that read it earlier notify the
/// others.
const MAX_INTERVAL_PART: f64 = 0.8;
/// Backoff after the first failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff of a process that is ready.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Upper bound of the backoff of a process that knows too little to serve.
const MAX_UNREADY_BACKOFF: Duration = Duration::from_millis(150);
/// Delay after which a first read is repeated in parallel with the pending one.
const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Limit of parallel attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// Time for this process's watch to deliver what another process knows already,
/// before it is pulled from there.
const PULL_DELAY: Duration = Duration::from_millis(400);

/// Follows the routes and the evacuations in the store for the life of the process.
pub async fn follow_orders(store: StoreClient, shared: Arc<Shared>) {
    let mut revision = None;
    let mut backoff = Backoff::open();
    loop {
        shared.metrics.store_calls.inc();
        let result = match revision {
            None => read_orders(&store, &shared, &mut backoff.failing).await,
            Some(at) => watch_orders(&store, &shared, at).await,
        };
        match result {
            Ok(at) => {
                revision = Some(at);
                shared.store_recovered("orders", &mut backoff.failing);
                backoff.reset();
            }
            Err(StoreError::Compacted | StoreError::Restored) => revision = None,
            Err(error) => {
                shared.store_failed("orders", &error, &mut backoff.failing);
                backoff.wait(&shared).await;
            }
        }
    }
}

async fn read_orders(
    store: &StoreClient,
    shared: &Shared,
    failing: &mut bool,
) -> Result<Revision, StoreError> {
    let Page { mut read, mut next } =
        read_orders_page(store, shared, &PageStart::default(), failing).await?;
    while let Some(start) = next {
        shared.metrics.store_calls.inc();
        let page = read_orders_page(store, shared, &start, failing).await?;
        read.append(page.read);
        next = page.next;
    }
    shared.knowledge.replace_evacuations(read.revision, &read.value.evacuations);
    Ok(apply_orders(shared, read))
}

async fn read_orders_page(
    store: &StoreClient,
    shared: &Shared,
    start: &PageStart,
    failing: &mut bool,
) -> Result<Page<Orders>, StoreError> {
    let answer = hedged("orders", || store.orders(start), shared, failing).await?;
    let _transfer = shared.orders_transfer.lock().await;
    answer.receive().await
}

async fn watch_orders(
    store: &StoreClient,
    shared: &Shared,
    after: Revision,
) -> Result<Revision, StoreError> {
    let wait = random_wait(shared);
    let answer = tokio::select! {
        answer = store.watch_orders(after, wait) => answer?,
        // Another process knows later orders, so this watch has gone silent.
        () = shared.newer_orders.notified() => {
            shared.watch_abandoned("orders");
            return Err(StoreError::Compacted);
        }
    };
    let transfer = shared.orders_transfer.lock().await;
    let read = answer.receive().await?;
    drop(transfer);
    shared.knowledge.change_evacuations(&read.value.evacuations);
    Ok(apply_orders(shared, read))
}

/// Puts the routes in force that were read with the evacuations; returns the revision from
/// which the next watch continues.
fn apply_orders(shared: &Shared, read: StoreRead<Orders>) -> Revision {
    shared.record_epoch(read.revision.epoch);
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    log_findings(shared, &read.findings);
    if let Some(published) = read.value.published {
        shared.apply_routes(published, "store");
    }
    shared.publish();
    read.revision
}

/// Follows the backend servers in the store for the life of the process.
pub async fn follow_members(store: StoreClient, shared: Arc<Shared>) {
    let mut revision = None;
    let mut backoff = Backoff::open();
    loop {
        shared.metrics.store_calls.inc();
        let result = match revision {
            None => read_members(&store, &shared, &mut backoff.failing).await,
            Some(at) => watch_members(&store, &shared, at).await,
        };
        match result {
            Ok(at) => {
                revision = Some(at);
                shared.store_recovered("members", &mut backoff.failing);
                backoff.reset();
                let interval = watch_interval(&shared);
                shared.knowledge.watch_paused(interval, shared.clock.now());
                sleep(interval).await;
            }
            Err(StoreError::Compacted | StoreError::Restored) => revision = None,
            Err(error) => {
                shared.knowledge.store_failed();
                shared.store_failed("members", &error, &mut backoff.failing);
                backoff.wait(&shared).await;
            }
        }
    }
}

async fn read_members(
    store: &StoreClient,
    shared: &Shared,
    failing: &mut bool,
) -> Result<Revision, StoreError> {
    let Page { mut read, mut next } =
        read_page(store, shared, &PageStart::default(), failing).await?;
    while let Some(start) = next {
        shared.metrics.store_calls.inc();
        let page = read_page(store, shared, &start, failing).await?;
        read.append(page.read);
        next = page.next;
    }
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    shared.record_epoch(read.revision.epoch);
    log_findings(shared, &read.findings);
    shared.knowledge.store_answered(shared.clock.now());
    shared.knowledge.replace_members(read.value, shared.clock.now());
    shared.publish();
    Ok(read.revision)
}

async fn read_page(
    store: &StoreClient,
    shared: &Shared,
    start: &PageStart,
    failing: &mut bool,
) -> Result<Page<Listing>, StoreError> {
    let answer = hedged("members", || store.members(start), shared, failing).await?;
    let _transfer = shared.members_transfer.lock().await;
    answer.receive().await
}

async fn watch_members(
    store: &StoreClient,
    shared: &Shared,
    after: Revision,
) -> Result<Revision, StoreError> {
    let wait = random_wait(shared);
    shared.knowledge.watch_started(wait + CALL_TIMEOUT, shared.clock.now());
    let answer = tokio::select! {
        answer = store.watch_members(after, wait) => answer?,
        // Another process knows a later revision, so this watch has gone silent.
        () = shared.newer_members.notified() => {
            shared.watch_abandoned("members");
            return Err(StoreError::Compacted);
        }
    };
    let transfer = shared.members_transfer.lock().await;
    let read = answer.receive().await?;
    drop(transfer);
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    shared.record_epoch(read.revision.epoch);
    log_findings(shared, &read.findings);
    shared.knowledge.store_answered(shared.clock.now());
    shared.knowledge.apply_changes(read.value, shared.clock.now());
    shared.publish();
    Ok(read.revision)
}

/// Repeats a request in parallel until an answer begins; returns the first one that
/// does, or the error of the last attempt.
///
/// A process that knows nothing can't serve, and an attempt made while the store
/// was unreachable gets no answer even when the store is back. Attempts that fail
/// meanwhile are logged and counted as failed reads of `what`. Only one answer is
/// received, since copies of a long one would share the link.
async fn hedged<T, F>(
    what: &str,
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
                Err(error) if !attempts.is_empty() => shared.store_failed(what, &error, failing),
                result => return result,
            },
            () = sleep(HEDGE_DELAY), if more => {
                shared.metrics.store_calls.inc();
                attempts.push(request());
            }
        }
    }
}

/// Returns the pause between two watches of backend servers.
fn watch_interval(shared: &Shared) -> Duration {
    let members = shared.knowledge.view().roster.members().len() as u32;
    let longest = shared.settings.drain_limit.mul_f64(MAX_INTERVAL_PART);
    (MIN_WATCH_INTERVAL + INTERVAL_PER_MEMBER * members).min(longest)
}

/// Returns the wait of the next watch: at random, half to all of its upper bound.
fn random_wait(shared: &Shared) -> Duration {
    let members = shared.knowledge.view().roster.members().len() as u32;
    let longest = (MIN_WATCH_WAIT + WAIT_PER_MEMBER * members).min(MAX_WATCH_WAIT);
    rand::rng().random_range(longest / 2..=longest)
}

/// Pulls from `peers` one after the other until this process has routes.
pub async fn pull_from_peers(client: Client, peers: Vec<SocketAddr>, shared: Arc<Shared>) {
    sleep(PULL_DELAY).await;
    for peer in peers {
        let _orders = shared.orders_transfer.lock().await;
        let _members = shared.members_transfer.lock().await;
        let known = shared.knowledge.known();
        if known.routes > 0 {
            return;
        }
        pull(&client, peer, known, &shared).await;
    }
}

/// Pulls from a process that knows later versions, unless the store delivers them
/// first or has begun to.
pub async fn catch_up(client: &Client, peer: SocketAddr, known: KnownVersions, shared: &Shared) {
    sleep(PULL_DELAY).await;
    let mut mine = shared.knowledge.known();
    let later = known.routes > mine.routes || known.evacuations > mine.evacuations;
    let orders = shared.orders_transfer.try_lock().ok().filter(|_| later);
    let members = shared.members_transfer.try_lock().ok().filter(|_| known.roster > mine.roster);
    match orders {
        Some(_) => shared.newer_orders.notify_waiters(),
        // Keeps the peer from sending what is not needed from it.
        None => {
            mine.routes = mine.routes.max(known.routes);
            mine.evacuations = mine.evacuations.max(known.evacuations);
        }
    }
    match members {
        Some(_) => shared.newer_members.notify_waiters(),
        None => mine.roster = mine.roster.max(known.roster),
    }
    if orders.is_some() || members.is_some() {
        pull(client, peer, mine, shared).await;
    }
}

/// Reads what the process at `peer` knows beyond the versions `known`.
async fn pull(client: &Client, peer: SocketAddr, known: KnownVersions, shared: &Shared) {
    shared.metrics.pulls.inc();
    match KnowledgeDelta::fetch(client, peer, known).await {
        Ok(KnowledgeDelta { routes, roster, evacuations }) => {
            if let Some(routes) = routes {
                shared.apply_routes(routes, "peer");
            }
            if let Some(evacuations) = evacuations {
                shared.knowledge.apply_evacuations(evacuations);
            }
            shared.knowledge.apply_update(roster, shared.clock.now());
            shared.publish();
        }
        Err(error) => {
            shared.metrics.count(Reason::PeerUnreachable);
            if let PullError::Transfer(error) = &error {
                shared.metrics.discarded_bytes.inc_by(error.received() as u64);
            }
            spdlog::info!("pull_failed", kv: { peer:, error: });
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

/// The growing pause after failed reads.
struct Backoff {
    next: Duration,
    failing: bool,
}

impl Backoff {
    fn open() -> Self {
        Self { next: MIN_BACKOFF, failing: false }
    }

    fn reset(&mut self) {
        self.next = MIN_BACKOFF;
    }

    async fn wait(&mut self, shared: &Shared) {
        sleep(self.next.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        let serves = shared.is_ready();
        self.next = (self.next * 2).min(if serves { MAX_BACKOFF } else { MAX_UNREADY_BACKOFF });
    }
}
