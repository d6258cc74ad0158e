//! Opening packets that were offered to a backend server and not yet answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Packet;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Placements at once at most.
pub const MAX_PLACEMENTS: usize = 8_192;
/// Offers of one opening packet that are unanswered at most.
pub const MAX_UNANSWERED: usize = 4;
/// Time for an agent to report that its backend server answered: a handshake
/// takes less than 5 ms, a VM may stand still for some tens.
pub const OFFER_TIMEOUT: Duration = Duration::from_millis(40);

/// One offer of an opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The agent.
    pub link: SocketAddr,
    /// Whether it was declined for certain. The backend server may still answer
    /// one that was not.
    pub declined: bool,
}

/// One placement.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Entry that the opening packet came through.
    pub entry: SocketAddr,
    /// Failure domain of the caller.
    pub domain: Name,
    /// The service.
    pub service: Name,
    /// The opening packet.
    pub packet: Packet,
    /// Offers made so far.
    pub offers: Vec<Offer>,
    /// When the last offer is overdue.
    pub due: Moment,
}

impl Placement {
    /// Adds an offer that is due then.
    pub fn offer(&mut self, link: SocketAddr, due: Moment) {
        self.offers.push(Offer { link, declined: false });
        self.due = due;
    }

    /// Returns whether it was offered to an agent.
    pub fn was_offered(&self, link: SocketAddr) -> bool {
        self.offers.iter().any(|o| o.link == link)
    }

    /// Takes in that an agent declined for certain.
    pub fn decline(&mut self, link: SocketAddr) {
        let offers = self.offers.iter_mut().filter(|o| o.link == link);
        offers.for_each(|o| o.declined = true);
    }

    /// Returns the number of offers that may still be answered.
    pub fn unanswered(&self) -> usize {
        self.offers.iter().filter(|o| !o.declined).count()
    }
}

/// Placements that are going on.
#[derive(Debug, Default)]
pub struct Placements {
    flows: HashMap<FlowKey, Placement>,
}

impl Placements {
    /// Keeps a placement until it is answered.
    pub fn start(&mut self, placement: Placement) {
        if self.flows.len() < MAX_PLACEMENTS {
            self.flows.insert(placement.packet.segment.flow, placement);
        }
    }

    /// Ends a placement.
    pub fn end(&mut self, flow: &FlowKey) -> Option<Placement> {
        self.flows.remove(flow)
    }

    /// Takes out placements that are overdue.
    pub fn overdue(&mut self, now: Moment) -> Vec<Placement> {
        self.flows.extract_if(|_, p| p.due <= now).map(|(_, p)| p).collect()
    }

    /// Returns whether none is going on.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
