//! An entry's cache of the owners of flows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::flow::FlowKey;
use super::segment::Segment;
use crate::value::moment::Moment;

/// Maximum number of cached flows; the packets of all others go through their
/// homes.
pub const MAX_HINTS: usize = 100_000;
/// Maximum number of owners cached for one flow: its opening packet may have been
/// offered to several agents.
const MAX_OWNERS: usize = 3;

/// An agent whose backend server answered a flow's opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The agent's datagram address.
    pub link: SocketAddr,
    /// Initial sequence number of its backend server, if it is known.
    pub isn: Option<u32>,
}

/// The possible owners of one flow, the latest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners(Vec<Owner>);

#[derive(Debug)]
struct Hint {
    owners: Owners,
    used: Moment,
}

/// Cached owners. They only save the hop through a flow's home; no flow depends
/// on them.
#[derive(Debug, Default)]
pub struct Hints {
    flows: HashMap<FlowKey, Hint>,
}

impl Owners {
    /// Adds an owner, or updates a known one.
    pub fn add(&mut self, owner: Owner) {
        let known = self.0.iter().find(|o| o.link == owner.link).and_then(|o| o.isn);
        self.0.retain(|o| o.link != owner.link);
        self.0.insert(0, Owner { isn: owner.isn.or(known), ..owner });
        self.0.truncate(MAX_OWNERS);
    }

    /// Removes the owner at `link`; returns whether none is left.
    pub fn remove(&mut self, link: SocketAddr) -> bool {
        self.0.retain(|o| o.link != link);
        self.0.is_empty()
    }

    /// Returns the owner whose initial sequence number is the closest below the
    /// acknowledgement number of `segment`, or else one whose number is not known.
    /// If there is neither and `segment` acknowledges nothing, returns the latest owner.
    pub fn choose(&self, segment: &Segment) -> Option<Owner> {
        let count = |o: &&Owner| o.isn.and_then(|isn| segment.acked_bytes(isn));
        let nearest = self.0.iter().filter(|o| count(o).is_some());
        let matching = nearest.min_by_key(|o| count(o));
        let unknown = || self.0.iter().find(|o| o.isn.is_none());
        let any = || self.0.first().filter(|_| !segment.flags.acks);
        matching.or_else(unknown).or_else(any).copied()
    }

    /// Returns the owner that was added or updated last.
    pub fn latest(&self) -> Option<Owner> {
        self.0.first().copied()
    }

    /// Returns all owners.
    pub fn all(&self) -> &[Owner] {
        &self.0
    }
}

impl Hints {
    /// Adds an owner of a flow; a new flow is ignored while the cache is full.
    pub fn add(&mut self, flow: FlowKey, owner: Owner, now: Moment) {
        if self.flows.len() >= MAX_HINTS && !self.flows.contains_key(&flow) {
            return;
        }
        let fresh = || Hint { owners: Owners::default(), used: now };
        let hint = self.flows.entry(flow).or_insert_with(fresh);
        hint.owners.add(owner);
        hint.used = now;
    }

    /// Returns the owner of a packet's flow.
    pub fn find(&mut self, segment: &Segment, now: Moment) -> Option<Owner> {
        let hint = self.flows.get_mut(&segment.flow)?;
        hint.used = now;
        hint.owners.choose(segment)
    }

    /// Returns the latest owner of a flow without marking it as used.
    pub fn peek(&self, flow: &FlowKey) -> Option<Owner> {
        self.flows.get(flow)?.owners.latest()
    }

    /// Removes the agent at `link` from the owners of a flow.
    pub fn remove(&mut self, flow: &FlowKey, link: SocketAddr) {
        if self.flows.get_mut(flow).is_some_and(|h| h.owners.remove(link)) {
            self.flows.remove(flow);
        }
    }

    /// Removes flows that have not been used for `idle`.
    pub fn expire(&mut self, idle: Duration, now: Moment) {
        self.flows.retain(|_, h| now.since(h.used) < idle);
    }

    /// Returns the number of flows.
    pub fn count(&self) -> usize {
        self.flows.len()
    }
}
