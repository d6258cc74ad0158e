//! Opening packets that were offered to a backend server and not yet answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Packet;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Placements at once at most.
pub const MAX_PLACINGS: usize = 8_192;
/// Backend servers that one opening packet is offered to at most.
pub const MAX_OFFERS: usize = 4;
/// Time for an agent to report that its backend server answered: a handshake
/// takes less than 5 ms, a VM may stand still for some tens.
pub const OFFER_TIMEOUT: Duration = Duration::from_millis(40);

/// One placement.
#[derive(Clone, Debug)]
pub struct Placing {
    /// Entry that the opening packet came through.
    pub entry: SocketAddr,
    /// Failure domain of the caller.
    pub domain: Name,
    /// The service.
    pub service: Name,
    /// The opening packet.
    pub packet: Packet,
    /// Agents that it was offered to.
    pub tried: Vec<SocketAddr>,
    /// When the last offer is overdue.
    pub due: Moment,
}

/// Placements that are going on.
#[derive(Debug, Default)]
pub struct Placings {
    flows: HashMap<FlowKey, Placing>,
}

impl Placings {
    /// Keeps a placement until it is answered.
    pub fn start(&mut self, placing: Placing) {
        if self.flows.len() < MAX_PLACINGS {
            self.flows.insert(placing.packet.segment.flow, placing);
        }
    }

    /// Ends a placement.
    pub fn end(&mut self, flow: &FlowKey) -> Option<Placing> {
        self.flows.remove(flow)
    }

    /// Takes out placements that are overdue.
    pub fn overdue(&mut self, now: Moment) -> Vec<Placing> {
        self.flows.extract_if(|_, p| p.due <= now).map(|(_, p)| p).collect()
    }

    /// Returns whether none is going on.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
