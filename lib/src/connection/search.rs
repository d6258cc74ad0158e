//! Searches for the owner of a flow that its home has no record of.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Packet;
use crate::value::moment::Moment;

/// Maximum number of searches in progress.
const MAX_SEARCHES: usize = 4_096;
/// Maximum number of packets held during the search for one flow.
const MAX_HELD: usize = 4;
/// Time after which a search is abandoned; the caller's retransmission starts
/// another one.
pub const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// A search in progress.
#[derive(Debug)]
pub struct Search {
    /// Entry that the packet came through.
    pub entry: SocketAddr,
    /// The packet that was sent with the search.
    pub packet: Packet,
    /// Packets of the flow that came after it.
    pub held: Vec<Packet>,
    /// Agents that have not answered.
    pub waiting: BTreeSet<SocketAddr>,
    /// Whether all agents that can own the flow were asked.
    pub complete: bool,
    started: Moment,
}

/// Searches in progress, by flow.
#[derive(Debug, Default)]
pub struct Searches {
    flows: HashMap<FlowKey, Search>,
}

impl Search {
    /// Opens a search among the agents in `waiting`.
    pub fn open(
        entry: SocketAddr,
        packet: Packet,
        waiting: BTreeSet<SocketAddr>,
        complete: bool,
        now: Moment,
    ) -> Self {
        Self { entry, packet, held: Vec::new(), waiting, complete, started: now }
    }

    /// Returns whether every agent that can own the flow has answered that it does
    /// not.
    pub fn proves_absence(&self) -> bool {
        self.complete && self.waiting.is_empty()
    }
}

impl Searches {
    /// Returns whether another search can be started.
    pub fn has_room(&self) -> bool {
        self.flows.len() < MAX_SEARCHES
    }

    /// Starts a search.
    pub fn start(&mut self, flow: FlowKey, search: Search) {
        self.flows.insert(flow, search);
    }

    /// Holds a packet until the search for its flow ends; returns false if there is
    /// no search. A packet beyond the limit is dropped.
    pub fn hold(&mut self, packet: &Packet) -> bool {
        let Some(search) = self.flows.get_mut(&packet.segment.flow) else { return false };
        if search.held.len() < MAX_HELD {
            search.held.push(packet.clone());
        }
        true
    }

    /// Ends a search and returns it.
    pub fn end(&mut self, flow: &FlowKey) -> Option<Search> {
        self.flows.remove(flow)
    }

    /// Records that the agent at `link` does not own the flow; returns the search
    /// if no agent is left to answer.
    pub fn not_owner(&mut self, flow: &FlowKey, link: SocketAddr) -> Option<Search> {
        let search = self.flows.get_mut(flow)?;
        search.waiting.remove(&link);
        if search.waiting.is_empty() { self.flows.remove(flow) } else { None }
    }

    /// Takes out the searches that have timed out.
    pub fn expire(&mut self, now: Moment) -> Vec<(FlowKey, Search)> {
        self.flows.extract_if(|_, s| now.since(s.started) >= SEARCH_TIMEOUT).collect()
    }

    /// Returns whether no search is in progress.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
