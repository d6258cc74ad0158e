//! Placement of new flows, whose opening packets are offered to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Packet;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Maximum number of placements in progress.
pub const MAX_PLACEMENTS: usize = 8_192;
/// Maximum number of unanswered offers of one opening packet.
pub const MAX_UNANSWERED: usize = 4;
/// Maximum number of agents that may decline a flow because their slots are taken. Each
/// decline costs about 1.5 ms and two messages; a third one gained nothing.
const MAX_BUSY: usize = 2;
/// Time for an agent to report that its backend server answered: a handshake
/// takes less than 5 ms, a VM may be paused for some tens of milliseconds.
pub const OFFER_TIMEOUT: Duration = Duration::from_millis(40);

/// Time after the first opening packet at which the caller sends each copy.
pub const RETRANSMIT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];

/// An offer of an opening packet to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The agent's datagram address.
    pub link: SocketAddr,
    /// Why the agent declined for certain; if it did not, its backend server may still
    /// answer.
    pub declined: Option<Reason>,
}

impl Offer {
    /// Returns whether the agent declined only because all slots were taken; it accepts a
    /// firm offer.
    fn is_busy(&self) -> bool {
        self.declined == Some(Reason::Busy)
    }
}

/// A placement in progress.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Entry that the opening packet came through.
    pub entry: SocketAddr,
    /// Failure domain of the caller.
    pub domain: Name,
    /// Service that the flow is for.
    pub service: Name,
    /// The opening packet.
    pub packet: Packet,
    /// When the caller sent its first opening packet.
    pub since: Moment,
    /// Whether the flow was certainly offered by this home only, as recorded in `offers`.
    pub sole: bool,
    /// Offers made so far.
    pub offers: Vec<Offer>,
    /// When the last offer times out.
    pub due: Moment,
}

impl Placement {
    /// Adds an offer to the agent at `link` that times out at `due`.
    pub fn offer(&mut self, link: SocketAddr, due: Moment) {
        self.offers.push(Offer { link, declined: None });
        self.due = due;
    }

    /// Returns the offer to the agent at `link`, if it has had one.
    pub fn offer_to(&self, link: SocketAddr) -> Option<&Offer> {
        self.offers.iter().find(|o| o.link == link)
    }

    /// Returns whether the agent at `link` declined only because its slots were taken, and
    /// has had no firm offer.
    pub fn may_offer_firmly(&self, link: SocketAddr) -> bool {
        let mut offers = self.offers.iter().filter(|o| o.link == link);
        offers.next().is_some_and(Offer::is_busy) && offers.next().is_none()
    }

    /// Returns whether the next offer is firm, after enough agents were busy.
    pub fn is_firm(&self) -> bool {
        self.offers.iter().filter(|o| o.is_busy()).count() >= MAX_BUSY
    }

    /// Records why the agent at `link` declined for certain.
    pub fn decline(&mut self, link: SocketAddr, reason: Reason) {
        let offers = self.offers.iter_mut().filter(|o| o.link == link);
        offers.for_each(|o| o.declined = Some(reason));
    }

    /// Removes the offer to the agent at `link`, which declined it for the time being.
    pub fn withdraw(&mut self, link: SocketAddr) {
        self.offers.retain(|o| o.link != link);
    }

    /// Returns whether the flow was certainly offered by this home only. From the time of the
    /// caller's next copy on, another home may have been sent that.
    pub fn is_sole(&self, now: Moment) -> bool {
        let next = RETRANSMIT_DELAYS.get(usize::from(self.packet.segment.attempt) + 1);
        self.sole && next.is_none_or(|delay| now < self.since + *delay)
    }

    /// Returns the number of offers that may still be answered.
    pub fn unanswered(&self) -> usize {
        self.offers.iter().filter(|o| o.declined.is_none()).count()
    }
}

/// Placements in progress, by flow.
#[derive(Debug, Default)]
pub struct Placements {
    flows: HashMap<FlowKey, Placement>,
}

impl Placements {
    /// Adds a placement; it is dropped if too many are in progress.
    pub fn start(&mut self, placement: Placement) {
        if self.flows.len() < MAX_PLACEMENTS {
            self.flows.insert(placement.packet.segment.flow, placement);
        }
    }

    /// Ends a placement and returns it.
    pub fn end(&mut self, flow: &FlowKey) -> Option<Placement> {
        self.flows.remove(flow)
    }

    /// Takes out the placements whose last offer has timed out.
    pub fn overdue(&mut self, now: Moment) -> Vec<Placement> {
        self.flows.extract_if(|_, p| p.due <= now).map(|(_, p)| p).collect()
    }

    /// Returns whether no placement is in progress.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
