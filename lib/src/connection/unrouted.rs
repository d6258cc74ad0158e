//! Packets that an entry sent to a home which has not answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Packet;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Maximum number of flows.
const MAX_FLOWS: usize = 8_192;
/// Maximum number of packets held of one flow.
const MAX_HELD: usize = 4;
/// Time for a home to answer: a round trip between failure domains takes 2 ms,
/// a VM may be paused for some tens of milliseconds.
pub const HOME_TIMEOUT: Duration = Duration::from_millis(40);

/// A flow whose home has not answered.
#[derive(Clone, Debug)]
pub struct Unrouted {
    /// The service that the packets were routed to.
    pub service: Name,
    /// The held packets in order of arrival.
    pub packets: Vec<Packet>,
    /// The homes that were tried, the last one last.
    pub tried: Vec<SocketAddr>,
    /// When the last try times out.
    pub due: Moment,
}

/// All flows whose home has not answered.
#[derive(Debug, Default)]
pub struct UnroutedFlows {
    flows: HashMap<FlowKey, Unrouted>,
}

impl UnroutedFlows {
    /// Holds a packet of a flow whose home has not answered; returns the home that
    /// was tried last. A packet beyond the limit is not held.
    pub fn hold(&mut self, packet: &Packet) -> Option<SocketAddr> {
        let unrouted = self.flows.get_mut(&packet.segment.flow)?;
        if unrouted.packets.len() < MAX_HELD {
            unrouted.packets.push(packet.clone());
        }
        unrouted.tried.last().copied()
    }

    /// Adds a flow until its home answers; it is dropped if there are too many.
    pub fn start(&mut self, flow: FlowKey, unrouted: Unrouted) {
        if self.flows.len() < MAX_FLOWS {
            self.flows.insert(flow, unrouted);
        }
    }

    /// Removes a flow whose home has answered.
    pub fn end(&mut self, flow: &FlowKey) {
        self.flows.remove(flow);
    }

    /// Takes out the flows whose last try has timed out.
    pub fn overdue(&mut self, now: Moment) -> Vec<Unrouted> {
        self.flows.extract_if(|_, u| u.due <= now).map(|(_, u)| u).collect()
    }

    /// Returns whether every home has answered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
