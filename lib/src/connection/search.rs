//! Searches for the owner of a flow that its home has no record of.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::segment::Packet;
use crate::value::moment::Moment;

/// Searches at once at most.
const MAX_SEARCHES: usize = 4_096;
/// Packets of one flow that wait for the search's end.
const MAX_HELD: usize = 4;
/// Time after which a search is given up; the caller sends again, which starts
/// another one.
pub const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// One search.
#[derive(Debug)]
pub struct Search {
    /// Entry that the packet came through.
    pub entry: SocketAddr,
    /// The packet that was sent with the search.
    pub packet: Packet,
    /// Packets that came after it.
    pub held: Vec<Packet>,
    /// Agents that have not answered.
    pub waiting: BTreeSet<SocketAddr>,
    /// Whether all that can own the flow were asked.
    pub complete: bool,
    started: Moment,
}

/// Searches that are going on.
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

    /// Returns whether everybody answered that the flow is not there.
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

    /// Lets a packet wait for a search that is going on; returns false if there is none.
    pub fn hold(&mut self, packet: &Packet) -> bool {
        let Some(search) = self.flows.get_mut(&packet.segment.flow) else { return false };
        if search.held.len() < MAX_HELD {
            search.held.push(packet.clone());
        }
        true
    }

    /// Ends a search.
    pub fn end(&mut self, flow: &FlowKey) -> Option<Search> {
        self.flows.remove(flow)
    }

    /// Takes in that the agent at `link` does not own the flow; returns the
    /// search if everybody has answered.
    pub fn not_owner(&mut self, flow: &FlowKey, link: SocketAddr) -> Option<Search> {
        let search = self.flows.get_mut(flow)?;
        search.waiting.remove(&link);
        if search.waiting.is_empty() { self.flows.remove(flow) } else { None }
    }

    /// Takes out searches that took too long.
    pub fn expire(&mut self, now: Moment) -> Vec<(FlowKey, Search)> {
        self.flows.extract_if(|_, s| now.since(s.started) >= SEARCH_TIMEOUT).collect()
    }

    /// Returns whether no search is going on.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
