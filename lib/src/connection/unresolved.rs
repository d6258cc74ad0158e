//! The outcome of a search that some agents did not answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::search::Scope;
use super::segment::Segment;
use crate::value::moment::Moment;

/// Distance of two acknowledgement numbers beyond which they belong to two flows, of which
/// the later one uses the caller's address again.
const MAX_ACK_DISTANCE: u32 = 1 << 24;

/// A flow whose owner is unknown, because agents that may own it are out of reach. All
/// others have ruled it out, so retransmissions need not ask them again: a flow that was
/// open then is opened nowhere else later.
#[derive(Clone, Debug)]
pub struct Unresolved {
    /// The last packet of the flow.
    pub segment: Segment,
    /// Whom the search concerned; later members were not asked.
    pub scope: Scope,
    /// Agents that have not answered.
    pub silent: BTreeSet<SocketAddr>,
    /// When the last search for the flow ended.
    pub since: Moment,
}

impl Unresolved {
    /// Returns whether a packet belongs to this flow rather than to a later one between the
    /// same addresses.
    pub fn matches(&self, segment: &Segment) -> bool {
        let ahead = segment.ack.wrapping_sub(self.segment.ack);
        let behind = self.segment.ack.wrapping_sub(segment.ack);
        segment.flags.acks == self.segment.flags.acks && ahead.min(behind) <= MAX_ACK_DISTANCE
    }

    /// Returns which of the agents that may own the flow now have not ruled it out.
    pub fn remaining(&self, candidates: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
        let new = |l: &SocketAddr| !self.scope.covers(l);
        candidates.iter().filter(|l| self.silent.contains(l) || new(l)).copied().collect()
    }
}
