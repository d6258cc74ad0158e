//! Following of the store, and of other processes while it is away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_platform::error::StoreError;
use lagoonhollow_platform::store::Read;
use lagoonhollow_platform::store::Store;
use ntex::client::Client;
use rand::Rng;
use tokio::time::sleep;

use super::knowledge_delta::KnowledgeDelta;
use crate::process::packet::shared::Shared;

/// Time that the store is given for each call: it answers in milliseconds, and
/// a connection whose answer is lost stays silent.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Shortest time that one watch waits. A connection may go silent at any time,
/// which shows only after this, or when another process knows more.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Longest time that one watch waits for each process, so that the fleet's calls
/// don't grow with it: some process still notices within 2 s that connections
/// are silent, and tells the others.
const WAIT_PER_MEMBER: Duration = Duration::from_secs(1);
/// Longest time that the store lets a watch wait.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(25);
/// Shortest time between two watches of backend servers, whose entries change
/// several times at each start and end.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time that each registered backend server adds to it, since changes come more
/// often the more there are.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(60);
/// Longest time between two watches: the shortest bound on a change is 3 s, and
/// processes that read earlier tell the others.
const MAX_WATCH_INTERVAL: Duration = Duration::from_millis(2_400);
/// First pause after a failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Longest pause while the process knows too little to serve anybody.
const MAX_UNREADY_BACKOFF: Duration = Duration::from_millis(150);
/// Time after which a first read is attempted again beside the one that waits.
const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Attempts of one read at once.
const MAX_ATTEMPTS: usize = 4;
/// Time for the own watch to bring what another process knows already.
const PULL_DELAY: Duration = Duration::from_millis(400);

/// Follows the routes for good.
pub async fn follow_routes(store: Store, shared: Arc<Shared>) {
    let mut revision = None;
    let mut backoff = Backoff::open();
    loop {
        shared.metrics.store_calls.inc();
        let read = match revision {
            None => hedged(|| store.routes(), &shared).await.map(|r| r.map(wrap_found)),
            Some(at) => {
                let wait = random_wait(&shared);
                tokio::select! {
                    read = store.watch_routes(at, wait) => read.map(Some),
                    // Another process knows more, so this watch is silent.
                    () = shared.late_routes.notified() => {
                        revision = None;
                        continue;
                    }
                }
            }
        };
        match read {
            Ok(Some(read)) => {
                revision = Some(read.revision);
                shared.regained("routes", &mut backoff.failing);
                shared.metrics.store_bytes.inc_by(read.bytes as u64);
                log_findings(&shared, &read.findings);
                if let Some(published) = read.found {
                    shared.enforce(published, "store");
                }
                backoff.reset();
            }
            // Nothing was published yet.
            Ok(None) => backoff.wait(&shared).await,
            Err(StoreError::HistoryGone) => revision = None,
            Err(error) => {
                shared.lost("routes", &error, &mut backoff.failing);
                backoff.wait(&shared).await;
            }
        }
    }
}

/// Follows the backend servers for good.
pub async fn follow_members(store: Store, shared: Arc<Shared>) {
    let mut revision = None;
    let mut backoff = Backoff::open();
    loop {
        shared.metrics.store_calls.inc();
        let result = match revision {
            None => hedged(|| read_members(&store, &shared), &shared).await,
            Some(at) => watch_members(&store, &shared, at).await,
        };
        match result {
            Ok(at) => {
                revision = Some(at);
                shared.regained("members", &mut backoff.failing);
                backoff.reset();
                sleep(watch_interval(&shared)).await;
            }
            Err(StoreError::HistoryGone) => revision = None,
            Err(error) => {
                shared.knowledge.store_failed();
                shared.lost("members", &error, &mut backoff.failing);
                backoff.wait(&shared).await;
            }
        }
    }
}

async fn read_members(store: &Store, shared: &Shared) -> Result<u64, StoreError> {
    let read = store.members().await?;
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    log_findings(shared, &read.findings);
    shared.knowledge.store_answered(shared.clock.now());
    shared.knowledge.replace_members(read.found, shared.clock.now());
    shared.publish();
    Ok(read.revision)
}

async fn watch_members(store: &Store, shared: &Shared, after: u64) -> Result<u64, StoreError> {
    let wait = random_wait(shared);
    shared.knowledge.watch_started(wait + CALL_TIMEOUT, shared.clock.now());
    let read = tokio::select! {
        read = store.watch_members(after, wait) => read?,
        // Another process knows more, so this watch is silent.
        () = shared.late_members.notified() => return Err(StoreError::HistoryGone),
    };
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    log_findings(shared, &read.findings);
    shared.knowledge.store_answered(shared.clock.now());
    shared.knowledge.apply_changes(read.found, shared.clock.now());
    shared.publish();
    Ok(read.revision)
}

/// Reads with a second and third attempt before the first has failed: a process
/// that knows nothing serves nobody, and an attempt made while the store was
/// away stays without an answer after its return.
async fn hedged<T, F>(read: impl Fn() -> F, shared: &Shared) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut attempts = FuturesUnordered::new();
    attempts.push(read());
    loop {
        let more = attempts.len() < MAX_ATTEMPTS;
        tokio::select! {
            Some(result) = attempts.next() => match result {
                Err(_) if !attempts.is_empty() => {}
                result => return result,
            },
            () = sleep(HEDGE_DELAY), if more => {
                shared.metrics.store_calls.inc();
                attempts.push(read());
            }
        }
    }
}

/// Returns the time between two watches of backend servers.
fn watch_interval(shared: &Shared) -> Duration {
    let members = shared.knowledge.view().roster.members().len() as u32;
    (MIN_WATCH_INTERVAL + INTERVAL_PER_MEMBER * members).min(MAX_WATCH_INTERVAL)
}

/// Returns how long the next watch waits.
fn random_wait(shared: &Shared) -> Duration {
    let members = shared.knowledge.view().roster.members().len() as u32;
    let longest = (MIN_WATCH_WAIT + WAIT_PER_MEMBER * members).min(MAX_WATCH_WAIT);
    rand::rng().random_range(longest / 2..=longest)
}

/// Reads the processes at `peers` one after the other until there are routes.
pub async fn pull_from_peers(client: Client, peers: Vec<SocketAddr>, shared: Arc<Shared>) {
    sleep(PULL_DELAY).await;
    for peer in peers {
        if shared.knowledge.known().routes > 0 {
            return;
        }
        pull(&client, peer, &shared).await;
    }
}

/// Catches up with a process that knows more, unless the store tells it first.
pub async fn catch_up(client: &Client, peer: SocketAddr, known: KnownVersions, shared: &Shared) {
    sleep(PULL_DELAY).await;
    let mine = shared.knowledge.known();
    let (routes, roster) = (known.routes > mine.routes, known.roster > mine.roster);
    if routes {
        shared.late_routes.notify_waiters();
    }
    if roster {
        shared.late_members.notify_waiters();
    }
    if routes || roster {
        pull(client, peer, shared).await;
    }
}

async fn pull(client: &Client, peer: SocketAddr, shared: &Shared) {
    shared.metrics.pulls.inc();
    match KnowledgeDelta::fetch(client, peer, shared.knowledge.known()).await {
        Ok(KnowledgeDelta { routes, roster }) => {
            if let Some(routes) = routes {
                shared.enforce(routes, "peer");
            }
            shared.knowledge.apply_update(roster, shared.clock.now());
            shared.publish();
        }
        Err(error) => {
            shared.metrics.count(Reason::PeerUnreachable);
            spdlog::info!("pull_failed", kv: { peer:, error });
        }
    }
}

/// Logs items that can't be read.
fn log_findings(shared: &Shared, findings: &Findings) {
    for finding in findings.list() {
        shared.metrics.count(Reason::BadManifest);
        spdlog::warn!("unreadable_item", kv: { place = finding.place, problem = finding.problem });
    }
}

fn wrap_found<T>(read: Read<T>) -> Read<Option<T>> {
    let Read { found, revision, findings, bytes } = read;
    Read { found: Some(found), revision, findings, bytes }
}

/// The pause after failed reads.
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
