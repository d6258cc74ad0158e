//! The outcome of a search that some agents did not answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::scope::Scope;
use super::segment::Packet;
use super::segment::Segment;
use crate::value::moment::Moment;

/// How the agents that have not ruled a flow out stand, by their number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Agents that did not answer.
    pub silent: u32,
    /// Agents that can't tell without a probe.
    pub unsure: u32,
    /// Agents that became known only after the question.
    pub unasked: u32,
}

/// A flow whose owner is unknown, because agents that may own it are out of reach or were not
/// asked, or because it is not known yet whether these are all. The others have ruled it out, so
/// retransmissions need not ask them again: a flow that was open then is opened nowhere else later.
#[derive(Clone, Debug)]
pub struct Unresolved {
    /// The last packet of the flow, with which a search can go on.
    pub packet: Packet,
    /// Entry that the search's packet came through.
    pub entry: SocketAddr,
    /// Whom the search concerned; later members were not asked.
    pub scope: Scope,
    /// Agents that have not answered.
    pub silent: BTreeSet<SocketAddr>,
    /// Agents that answered that they can't tell without a probe.
    pub unsure: BTreeSet<SocketAddr>,
    /// When the first packet came that was searched for; the flow was open before.
    pub opened: Moment,
    /// When the last search for the flow ended.
    pub since: Moment,
}

impl Unresolved {
    /// Returns whether a packet belongs to this flow rather than to a later one between the
    /// same addresses.
    pub fn matches(&self, segment: &Segment) -> bool {
        self.packet.segment.is_near(segment)
    }

    /// Returns which of the agents that may own the flow now have not ruled it out.
    pub fn remaining(&self, candidates: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
        let open = |l: &SocketAddr| self.silent.contains(l) || self.unsure.contains(l);
        candidates.iter().filter(|l| open(l) || !self.scope.covers(l)).copied().collect()
    }

    /// Returns whether some of the agents that may own the flow now are silent.
    pub fn is_blocked(&self, candidates: &BTreeSet<SocketAddr>) -> bool {
        self.silent.iter().any(|l| candidates.contains(l))
    }

    /// Returns how the agents that may own the flow now have answered.
    pub fn outcome(&self, candidates: &BTreeSet<SocketAddr>) -> SearchOutcome {
        let count = |agents: &BTreeSet<SocketAddr>| agents.intersection(candidates).count() as u32;
        let unasked = candidates.iter().filter(|l| !self.scope.covers(l)).count() as u32;
        SearchOutcome { silent: count(&self.silent), unsure: count(&self.unsure), unasked }
    }
}
