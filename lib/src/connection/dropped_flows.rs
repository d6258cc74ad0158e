//! Flows that an entry received packets of, whose route its version of the routes dropped.

use std::collections::HashMap;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Segment;
use crate::value::moment::Moment;

/// Maximum number of flows; the packets of others are dropped. Load: a version drops the
/// route of all standing flows, and each of their callers sends at once.
const MAX_FLOWS: usize = 50_000;
/// Time after which a flow is forgotten; callers retransmit more often.
const MEMORY_TIME: Duration = Duration::from_secs(10);

/// The first packet of a flow, and when it came.
#[derive(Clone, Copy, Debug)]
struct First {
    segment: Segment,
    seen: Moment,
}

/// When the first packet came of each flow whose route was dropped and of which the entry
/// does not know that it was opened before.
#[derive(Debug, Default)]
pub struct DroppedFlows {
    first: HashMap<FlowKey, First>,
}

impl DroppedFlows {
    /// Records a packet of a flow; returns whether the flow is over: the routes that were in
    /// force at `confirmed`, which lack its route, are as late as those that it was opened
    /// under, since it was open when its first packet came.
    pub fn is_over(&mut self, segment: &Segment, confirmed: Option<Moment>, now: Moment) -> bool {
        let flow = segment.flow;
        if self.first.len() >= MAX_FLOWS && !self.first.contains_key(&flow) {
            return false;
        }
        let present = First { segment: *segment, seen: now };
        let first = self.first.entry(flow).or_insert(present);
        // A later flow between the same addresses may have opened under later routes.
        if !first.segment.is_near(segment) {
            *first = present;
        }
        confirmed.is_some_and(|confirmed| confirmed >= first.seen)
    }

    /// Forgets flows whose callers have given up.
    pub fn expire(&mut self, now: Moment) {
        self.first.retain(|_, first| now.since(first.seen) < MEMORY_TIME);
    }
}
