//! Reads of what other processes know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::confirmation::Part;
use lagoonhollow_lib::value::reason::Reason;
use ntex::client::Client;
use tokio::time::sleep;

use super::knowledge_delta::KnowledgeDelta;
use super::knowledge_delta::PullError;
use crate::process::packet::shared::Shared;

/// Time for an observer's watch to deliver what another process knows already, before it is
/// pulled from there; also the time for the store to answer a process that starts.
const PULL_DELAY: Duration = Duration::from_millis(400);

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

/// Pulls from a process that knows later versions, except what the store has begun to deliver.
/// An observer first waits for its watches.
pub async fn catch_up(client: &Client, peer: SocketAddr, known: KnownVersions, shared: &Shared) {
    let observes = shared.observes();
    if observes {
        sleep(PULL_DELAY).await;
    }
    let mut mine = shared.knowledge.known();
    let later = known.routes > mine.routes || known.evacuations > mine.evacuations;
    let orders = shared.orders_transfer.try_lock().ok().filter(|_| later);
    let members = shared.members_transfer.try_lock().ok().filter(|_| known.roster > mine.roster);
    match orders {
        Some(_) if observes => shared.newer(Part::Orders).notify_waiters(),
        Some(_) => {}
        // Keeps the peer from sending what is not needed from it.
        None => {
            mine.routes = mine.routes.max(known.routes);
            mine.evacuations = mine.evacuations.max(known.evacuations);
        }
    }
    match members {
        Some(_) if observes => shared.newer(Part::Members).notify_waiters(),
        Some(_) => {}
        None => mine.roster = mine.roster.max(known.roster),
    }
    if orders.is_some() || members.is_some() {
        pull(client, peer, mine, shared).await;
    }
}

/// Reads what the process at `peer` knows beyond the versions `known`. The answer confirms this
/// process's knowledge as one to a version query does: while changes go on, other processes
/// rarely know the same versions for long.
async fn pull(client: &Client, peer: SocketAddr, known: KnownVersions, shared: &Shared) {
    shared.metrics.pulls.inc();
    let sent = shared.clock.now();
    match KnowledgeDelta::fetch(client, peer, known).await {
        Ok(delta) => {
            let now = shared.clock.now();
            let routes = delta.routes.and_then(|update| shared.knowledge.updated_routes(update));
            if let Some(routes) = routes {
                shared.apply_routes(routes, "peer");
            }
            if let Some(evacuations) = delta.evacuations {
                shared.knowledge.apply_evacuations(evacuations);
            }
            // Changes since a later revision than this process has do not bring it there.
            if known.roster <= shared.knowledge.known().roster {
                shared.knowledge.apply_update(delta.roster, delta.known.roster, now);
            }
            shared.publish();
            if let Some(ms) = delta.age_ms {
                let age = Duration::from_millis(ms.into());
                shared.knowledge.vouch(peer, delta.known, sent, age, now);
                shared.publish();
            }
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
