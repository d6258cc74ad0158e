//! Synchronisation with peers after a start or a change of version.

use std::time::Duration;

use super::context::Context;
use super::message::Message;
use crate::connection::router::Router;
use crate::request::local_witness::LocalWitness;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Time between the first request and its repetition.
const FIRST_RETRY: Duration = Duration::from_millis(300);
/// Longest time between two requests.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Schedule of sync requests to peers that have not answered.
#[derive(Clone, Debug)]
pub struct Recovery {
    due: Moment,
    interval: Duration,
}

impl Recovery {
    /// Opens with a first round that is due at once.
    pub fn open(now: Moment) -> Self {
        Self { due: now, interval: FIRST_RETRY }
    }

    /// Sends a sync request to the peers that have not reported their flows or
    /// grants, if one is due.
    pub fn ask<C>(
        &mut self,
        context: &mut Context,
        router: &Router<C>,
        local_witness: &LocalWitness,
        now: Moment,
    ) {
        let mut pending = local_witness.unreported(context);
        pending.extend(router.reconciliation().unsynced().iter().cloned());
        if now < self.due || pending.is_empty() {
            return;
        }
        let retry = self.interval > FIRST_RETRY;
        self.due = now + self.interval;
        self.interval = (self.interval * 2).min(MAX_RETRY);
        let version = context.manifest.version();
        let recovering = local_witness.is_recovering();
        for peer in &pending {
            if retry {
                context.count(Reason::RetrySync);
            }
            context.send(peer, Message::Sync { version, recovering });
        }
    }
}
