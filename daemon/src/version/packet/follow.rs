//! Follows the store: as an observer, or while nothing else confirms what the process knows.

use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::process::confirmation::Part;
use lagoonhollow_lib::process::confirmation::Step;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_platform::error::StoreError;
use lagoonhollow_platform::store::StoreClient;
use tokio::time::sleep;

use super::read;
use super::read::CALL_TIMEOUT;
use crate::process::packet::shared::Shared;

/// Pause of an observer after an answer with changes, since backend servers change their
/// entries several times at each start and stop.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Follows `part` of the store for the life of the process.
pub async fn follow(part: Part, shared: Arc<Shared>) {
    let mut store = open(&shared).await;
    let mut failing = false;
    loop {
        let now = shared.clock.now();
        let result = match shared.knowledge.step(part, shared.observes(), now) {
            Step::Idle(until) => {
                tokio::select! {
                    () = sleep(until.since(now)) => {}
                    () = shared.role_changed.notified() => {}
                }
                continue;
            }
            Step::Read => {
                // A connection that was used before may have gone silent.
                store = open(&shared).await;
                match shared.knowledge.position(part) {
                    Some(after) => {
                        read::changes(part, &store, &shared, after, Duration::ZERO).await
                    }
                    None => read::listing(part, &store, &shared, &mut failing).await,
                }
            }
            Step::Watch(wait) => match shared.knowledge.position(part) {
                Some(after) => tokio::select! {
                    read = read::changes(part, &store, &shared, after, wait) => read,
                    // Another process has long known a later version, so this watch has gone
                    // silent.
                    () = shared.newer(part).notified() => {
                        shared.watch_abandoned(part);
                        store = open(&shared).await;
                        continue;
                    }
                },
                None => read::listing(part, &store, &shared, &mut failing).await,
            },
        };
        match result {
            Ok(changed) => {
                shared.store_recovered(part, &mut failing);
                if changed && shared.observes() {
                    sleep(CHANGE_PAUSE).await;
                }
            }
            Err(StoreError::Compacted | StoreError::Restored) => {
                shared.knowledge.lose_position(part);
            }
            Err(error) => {
                shared.store_failed(part, &error, &mut failing);
                let (ready, now) = (shared.is_ready(), shared.clock.now());
                shared.knowledge.read_failed(part, ready, now);
                store = open(&shared).await;
            }
        }
    }
}

/// Reads once what has changed of the registered backend servers, beside [`follow`], which may
/// wait for a change or not read at all. A failure is left to that to notice.
pub async fn confirm_members(shared: &Shared) {
    let Some(after) = shared.knowledge.position(Part::Members) else { return };
    let store = open(shared).await;
    let read = read::changes(Part::Members, &store, shared, after, Duration::ZERO).await;
    if read.is_err() {
        shared.metrics.count(Reason::PlatformDown);
    }
}

/// Opens a client that shares no connection with an earlier one.
async fn open(shared: &Shared) -> StoreClient {
    StoreClient::open(&shared.settings.store, CALL_TIMEOUT).await
}
