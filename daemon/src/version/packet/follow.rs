//! Following of the store, and of other processes while it is away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::front::packet::message::Known;
use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_platform::error::StoreError;
use lagoonhollow_platform::store::Read;
use lagoonhollow_platform::store::Store;
use ntex::client::Client;
use rand::Rng;
use tokio::time::sleep;

use super::exchange::Exchange;
use crate::process::packet::shared::Shared;

/// Time that the store is given for each call: it answers in milliseconds, and
/// a connection whose answer is lost stays silent.
pub const CALL_LIMIT: Duration = Duration::from_millis(700);
/// Time that one watch waits. A connection may go silent at any time, which
/// shows only after this; the shortest bound on a change is 3 s.
const WATCH: Duration = Duration::from_millis(1_500);
/// Shortest time between two watches: entries change with their warm-up.
const PACE: Duration = Duration::from_millis(300);
/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed reads.
const LAST_PAUSE: Duration = Duration::from_millis(800);
/// Silence of the store after which other processes are read.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time for the own watch to bring what another process knows already.
const HEAD_START: Duration = Duration::from_millis(400);

/// Follows the routes for good.
pub async fn follow_routes(store: Store, shared: Arc<Shared>) {
    let mut revision = None;
    let mut pause = Pause::open();
    loop {
        shared.metrics.store_calls.inc();
        let read = match revision {
            None => store.routes().await.map(|r| r.map(some)),
            Some(at) => store.watch_routes(at, WATCH).await.map(Some),
        };
        match read {
            Ok(Some(read)) => {
                revision = Some(read.revision);
                shared.regained("routes", &mut pause.failing);
                shared.metrics.store_bytes.inc_by(read.bytes as u64);
                report(&shared, &read.findings);
                if let Some(published) = read.found {
                    shared.enforce(published, "store");
                }
                pause.reset();
            }
            // Nothing was published yet.
            Ok(None) => pause.wait().await,
            Err(StoreError::HistoryGone) => revision = None,
            Err(error) => {
                shared.lost("routes", &error, &mut pause.failing);
                pause.wait().await;
            }
        }
    }
}

/// Follows the backend servers for good.
pub async fn follow_members(store: Store, shared: Arc<Shared>) {
    let mut revision = None;
    let mut pause = Pause::open();
    loop {
        shared.metrics.store_calls.inc();
        let result = match revision {
            None => read_members(&store, &shared).await,
            Some(at) => watch_members(&store, &shared, at).await,
        };
        match result {
            Ok(at) => {
                revision = Some(at);
                shared.regained("members", &mut pause.failing);
                pause.reset();
                sleep(PACE).await;
            }
            Err(StoreError::HistoryGone) => revision = None,
            Err(error) => {
                shared.knowledge.failed();
                shared.lost("members", &error, &mut pause.failing);
                pause.wait().await;
            }
        }
    }
}

async fn read_members(store: &Store, shared: &Shared) -> Result<u64, StoreError> {
    let read = store.members().await?;
    let now = shared.clock.now();
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    report(shared, &read.findings);
    shared.knowledge.answered(now);
    shared.knowledge.replace(read.found, now);
    shared.publish();
    Ok(read.revision)
}

async fn watch_members(store: &Store, shared: &Shared, after: u64) -> Result<u64, StoreError> {
    let read = store.watch_members(after, WATCH).await?;
    let now = shared.clock.now();
    shared.metrics.store_bytes.inc_by(read.bytes as u64);
    report(shared, &read.findings);
    shared.knowledge.answered(now);
    shared.knowledge.change(read.revision, read.found, now);
    shared.publish();
    Ok(read.revision)
}

/// Reads the processes at `peers` one after the other until there are routes.
pub async fn ask_peers(client: Client, peers: Vec<SocketAddr>, shared: Arc<Shared>) {
    sleep(HEAD_START).await;
    for peer in peers {
        if shared.knowledge.known().routes > 0 {
            return;
        }
        pull(&client, peer, &shared).await;
    }
}

/// Catches up with a process that knows more, unless the store tells it first.
pub async fn catch_up(client: &Client, peer: SocketAddr, known: Known, shared: &Shared) {
    sleep(HEAD_START).await;
    let mine = shared.knowledge.known();
    let silent = shared.knowledge.silence(shared.clock.now()).is_none_or(|s| s >= SILENCE);
    if known.routes > mine.routes || (silent && known.roster > mine.roster) {
        pull(client, peer, shared).await;
    }
}

async fn pull(client: &Client, peer: SocketAddr, shared: &Shared) {
    shared.metrics.pulls.inc();
    match Exchange::read(client, peer).await {
        Ok(exchange) => {
            shared.enforce(exchange.routes, "peer");
            if exchange.listing.revision > shared.knowledge.known().roster {
                shared.knowledge.replace(exchange.listing, shared.clock.now());
                shared.publish();
            }
        }
        Err(error) => {
            shared.metrics.count(Reason::PeerUnreachable);
            spdlog::info!("pull_failed", kv: { peer:, error });
        }
    }
}

/// Logs items that can't be read.
fn report(shared: &Shared, findings: &Findings) {
    for finding in findings.list() {
        shared.metrics.count(Reason::BadManifest);
        spdlog::warn!("unreadable_item", kv: { place = finding.place, problem = finding.problem });
    }
}

fn some<T>(read: Read<T>) -> Read<Option<T>> {
    let Read { found, revision, findings, bytes } = read;
    Read { found: Some(found), revision, findings, bytes }
}

/// The pause after failed reads.
struct Pause {
    next: Duration,
    failing: bool,
}

impl Pause {
    fn open() -> Self {
        Self { next: FIRST_PAUSE, failing: false }
    }

    fn reset(&mut self) {
        self.next = FIRST_PAUSE;
    }

    async fn wait(&mut self) {
        sleep(self.next.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        self.next = (self.next * 2).min(LAST_PAUSE);
    }
}
