//! A home's directory of the owners of flows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::hints::Owner;
use super::hints::Owners;
use crate::value::moment::Moment;

/// Maximum number of recorded flows.
pub const MAX_RECORDS: usize = 200_000;

#[derive(Debug)]
struct Record {
    owners: Owners,
    claimed: Moment,
}

/// Flows that other agents claimed at this home.
#[derive(Debug, Default)]
pub struct Directory {
    flows: HashMap<FlowKey, Record>,
}

impl Directory {
    /// Records a claim; returns false if the directory is full.
    pub fn claim(&mut self, flow: FlowKey, owner: Owner, now: Moment) -> bool {
        if self.flows.len() >= MAX_RECORDS && !self.flows.contains_key(&flow) {
            return false;
        }
        let fresh = || Record { owners: Owners::default(), claimed: now };
        let record = self.flows.entry(flow).or_insert_with(fresh);
        record.owners.add(owner);
        record.claimed = now;
        true
    }

    /// Returns the owners of a flow.
    pub fn owners(&self, flow: &FlowKey) -> Option<&Owners> {
        self.flows.get(flow).map(|r| &r.owners)
    }

    /// Removes the agent at `link` from the owners of a flow.
    pub fn release(&mut self, flow: &FlowKey, link: SocketAddr) {
        if self.flows.get_mut(flow).is_some_and(|r| r.owners.remove(link)) {
            self.flows.remove(flow);
        }
    }

    /// Returns the flows that the agent at `link` claimed.
    pub fn owned_by(&self, link: SocketAddr) -> impl Iterator<Item = (FlowKey, Owner)> {
        let owner = move |r: &Record| r.owners.all().iter().find(|o| o.link == link).copied();
        self.flows.iter().filter_map(move |(flow, r)| owner(r).map(|o| (*flow, o)))
    }

    /// Returns whether the agent at `link` claimed a flow before `since`, and not again.
    pub fn has_claim(&self, link: SocketAddr, since: Moment) -> bool {
        let owns = |r: &Record| r.owners.all().iter().any(|o| o.link == link);
        self.flows.values().any(|r| r.claimed < since && owns(r))
    }

    /// Removes flows whose last claim is at least `max_age` old.
    pub fn expire(&mut self, max_age: Duration, now: Moment) {
        self.flows.retain(|_, r| now.since(r.claimed) < max_age);
    }

    /// Returns the number of flows.
    pub fn count(&self) -> usize {
        self.flows.len()
    }
}
