//! Placements of flows that wait for the warm-up limit of a backend server.

use std::collections::HashMap;
use std::time::Duration;

use super::flow::FlowKey;
use super::placement::MAX_PLACEMENTS;
use super::placement::Placement;
use crate::value::moment::Moment;

/// Time from its first opening packet for which a caller waits, less the way back to it.
pub const CALLER_PATIENCE: Duration = Duration::from_millis(1_350);

/// Placements that are offered again later, by flow. They have no offer in progress.
#[derive(Debug, Default)]
pub struct ColdPlacements {
    flows: HashMap<FlowKey, (Placement, Moment)>,
}

impl ColdPlacements {
    /// Keeps a placement until `due`; returns it if its caller does not wait for so long, or
    /// if too many are kept.
    pub fn hold(&mut self, placement: Placement, due: Moment) -> Option<Placement> {
        let waits = due < placement.since + CALLER_PATIENCE;
        if !waits || self.flows.len() >= MAX_PLACEMENTS {
            return Some(placement);
        }
        self.flows.insert(placement.packet.segment.flow, (placement, due));
        None
    }

    /// Ends a placement and returns it.
    pub fn end(&mut self, flow: &FlowKey) -> Option<Placement> {
        self.flows.remove(flow).map(|(placement, _)| placement)
    }

    /// Takes out the placements to offer again now.
    pub fn due(&mut self, now: Moment) -> Vec<Placement> {
        self.flows.extract_if(|_, (_, due)| *due <= now).map(|(_, (p, _))| p).collect()
    }

    /// Returns whether no placement is kept.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
