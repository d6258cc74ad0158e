//! An entry's memory of which agent owns a flow.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::flow::FlowKey;
use super::segment::Segment;
use crate::value::moment::Moment;

/// Flows remembered at most; one that is forgotten is asked for at its home.
pub const MAX_HINTS: usize = 100_000;
/// Owners remembered for one flow: an opening packet may have been offered to several.
const MAX_OWNERS: usize = 3;

/// An agent whose backend server answered a flow's opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The agent's address for datagrams.
    pub link: SocketAddr,
    /// Where its backend server began to count, if that was seen.
    pub isn: Option<u32>,
}

/// The owners that are possible for one flow, the latest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners(Vec<Owner>);

#[derive(Debug)]
struct Hint {
    owners: Owners,
    used: Moment,
}

/// Hints, which nothing depends on: they spare a packet the way over its home.
#[derive(Debug, Default)]
pub struct Hints {
    flows: HashMap<FlowKey, Hint>,
}

impl Owners {
    /// Adds an owner, or what is newly known of it.
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

    /// Returns the owner whose backend server's first number is closest below
    /// what `segment` acknowledges, or the one whose first number is not known.
    pub fn choose(&self, segment: &Segment) -> Option<Owner> {
        let count = |o: &&Owner| o.isn.and_then(|isn| segment.acked_bytes(isn));
        let nearest = self.0.iter().filter(|o| count(o).is_some());
        let matching = nearest.min_by_key(|o| count(o));
        let unknown = || self.0.iter().find(|o| o.isn.is_none());
        let any = || self.0.first().filter(|_| !segment.flags.acks);
        matching.or_else(unknown).or_else(any).copied()
    }

    /// Returns the owner heard of last.
    pub fn latest(&self) -> Option<Owner> {
        self.0.first().copied()
    }

    /// Returns all owners.
    pub fn all(&self) -> &[Owner] {
        &self.0
    }
}

impl Hints {
    /// Takes in that `owner` has the flow.
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

    /// Forgets that the agent at `link` owns the flow.
    pub fn remove(&mut self, flow: &FlowKey, link: SocketAddr) {
        if self.flows.get_mut(flow).is_some_and(|h| h.owners.remove(link)) {
            self.flows.remove(flow);
        }
    }

    /// Forgets flows that were not used for `idle`.
    pub fn expire(&mut self, idle: Duration, now: Moment) {
        self.flows.retain(|_, h| now.since(h.used) < idle);
    }

    /// Returns the number of flows.
    pub fn count(&self) -> usize {
        self.flows.len()
    }
}
