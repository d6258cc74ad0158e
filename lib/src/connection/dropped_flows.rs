//! Flows that an entry received packets of, whose route its version of the routes dropped.

use std::collections::HashMap;
use std::time::Duration;

use super::flow::FlowKey;
use crate::value::moment::Moment;

/// Maximum number of flows; the packets of others are dropped. Load: a version drops the
/// route of all standing flows, and each of their callers sends at once.
const MAX_FLOWS: usize = 50_000;
/// Time after which a flow is forgotten; callers retransmit more often.
const MEMORY_TIME: Duration = Duration::from_secs(10);

/// When the first packet came of each flow whose route was dropped and of which the entry
/// does not know that it was opened before.
#[derive(Debug, Default)]
pub struct DroppedFlows {
    first_seen: HashMap<FlowKey, Moment>,
}

impl DroppedFlows {
    /// Records a packet of a flow; returns whether the flow is over: the routes that were in
    /// force at `confirmed`, which lack its route, are as late as those that it was opened
    /// under, since it was open when its first packet came.
    pub fn is_over(&mut self, flow: FlowKey, confirmed: Option<Moment>, now: Moment) -> bool {
        if self.first_seen.len() >= MAX_FLOWS && !self.first_seen.contains_key(&flow) {
            return false;
        }
        let first = *self.first_seen.entry(flow).or_insert(now);
        confirmed.is_some_and(|confirmed| confirmed >= first)
    }

    /// Forgets flows whose callers have given up.
    pub fn expire(&mut self, now: Moment) {
        self.first_seen.retain(|_, first| now.since(*first) < MEMORY_TIME);
    }
}
