//! Packets that an entry sent to a home which has not answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Packet;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Flows at once at most.
const MAX_FLOWS: usize = 8_192;
/// Packets kept of one flow.
const MAX_HELD: usize = 4;
/// Time for a home to answer: a round trip between failure domains takes 2 ms,
/// a VM may stand still for some tens.
pub const HOME_TIMEOUT: Duration = Duration::from_millis(40);

/// A flow whose home has not answered.
#[derive(Clone, Debug)]
pub struct Unrouted {
    /// The service that the packets were routed to.
    pub service: Name,
    /// The packets, the first first.
    pub packets: Vec<Packet>,
    /// The homes that were tried.
    pub tried: Vec<SocketAddr>,
    /// When the last try is overdue.
    pub due: Moment,
}

/// All flows whose home has not answered.
#[derive(Debug, Default)]
pub struct UnroutedFlows {
    flows: HashMap<FlowKey, Unrouted>,
}

impl UnroutedFlows {
    /// Returns the home that was tried last for a flow, and keeps the packet.
    pub fn hold(&mut self, packet: &Packet) -> Option<SocketAddr> {
        let unrouted = self.flows.get_mut(&packet.segment.flow)?;
        if unrouted.packets.len() < MAX_HELD {
            unrouted.packets.push(packet.clone());
        }
        unrouted.tried.last().copied()
    }

    /// Keeps a flow until its home answers.
    pub fn start(&mut self, flow: FlowKey, unrouted: Unrouted) {
        if self.flows.len() < MAX_FLOWS {
            self.flows.insert(flow, unrouted);
        }
    }

    /// Takes in that a home has answered.
    pub fn end(&mut self, flow: &FlowKey) {
        self.flows.remove(flow);
    }

    /// Takes out flows whose home is overdue.
    pub fn overdue(&mut self, now: Moment) -> Vec<Unrouted> {
        self.flows.extract_if(|_, u| u.due <= now).map(|(_, u)| u).collect()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
