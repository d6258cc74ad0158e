//! Searches of a home, by flow.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::flow::FlowKey;
use super::search::Search;
use super::search::SearchState;
use super::segment::Packet;
use super::segment::Segment;
use super::unresolved::Unresolved;
use crate::value::moment::Moment;

/// Maximum number of searches in progress.
const MAX_SEARCHES: usize = 4_096;
/// Maximum number of unresolved flows.
const MAX_UNRESOLVED: usize = 8_192;
/// Time after which a search or its probes are abandoned; the caller's retransmission
/// starts another one.
pub const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which the outcome of a search is used; callers that still wait have
/// retransmitted by then.
const UNRESOLVED_TTL: Duration = Duration::from_secs(10);

/// Searches in progress, and flows whose last search some agents did not answer.
#[derive(Debug, Default)]
pub struct Searches {
    flows: HashMap<FlowKey, SearchState>,
    unresolved: HashMap<FlowKey, Unresolved>,
}

impl Searches {
    /// Returns whether another search can be started.
    pub fn has_room(&self) -> bool {
        self.flows.len() < MAX_SEARCHES
    }

    /// Starts a search, or its next phase.
    pub fn start<S>(&mut self, flow: FlowKey, search: Search<S>)
    where
        SearchState: From<Search<S>>,
    {
        self.flows.insert(flow, search.into());
    }

    /// Holds a packet until the search for its flow ends; returns false if there is
    /// no search. A packet beyond the limit is dropped. A search for an earlier flow between
    /// the same addresses ends: its answers say nothing about the later one.
    pub fn hold(&mut self, packet: &Packet) -> bool {
        let flow = &packet.segment.flow;
        let Some(search) = self.flows.get_mut(flow) else { return false };
        if !search.matches(&packet.segment) {
            self.end(flow);
            return false;
        }
        search.hold(packet);
        true
    }

    /// Ends a search and returns it. The flow is no longer unresolved either.
    pub fn end(&mut self, flow: &FlowKey) -> Option<SearchState> {
        self.unresolved.remove(flow);
        self.flows.remove(flow)
    }

    /// Takes out a search in progress, for its next phase or its end.
    pub fn take(&mut self, flow: &FlowKey) -> Option<SearchState> {
        self.flows.remove(flow)
    }

    /// Returns a search in progress.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut SearchState> {
        self.flows.get_mut(flow)
    }

    /// Takes out the searches that have timed out.
    pub fn expire(&mut self, now: Moment) -> Vec<(FlowKey, SearchState)> {
        self.unresolved.retain(|_, u| now.since(u.since) < UNRESOLVED_TTL);
        self.flows.extract_if(|_, s| now.since(s.since()) >= SEARCH_TIMEOUT).collect()
    }

    /// Returns the outcome of the last search for a packet's flow, if it was unresolved.
    pub fn outcome(&self, segment: &Segment) -> Option<&Unresolved> {
        self.unresolved.get(&segment.flow).filter(|u| u.matches(segment))
    }

    /// Records the outcome of a search; none beyond the limit.
    pub fn unresolve(&mut self, flow: FlowKey, outcome: Unresolved) {
        if self.unresolved.len() < MAX_UNRESOLVED || self.unresolved.contains_key(&flow) {
            self.unresolved.insert(flow, outcome);
        }
    }

    /// Records a late answer that the agent at `link` does not own an unresolved flow;
    /// returns whether the flow is unresolved.
    pub fn rule_out(&mut self, flow: &FlowKey, link: SocketAddr) -> bool {
        let Some(unresolved) = self.unresolved.get_mut(flow) else { return false };
        unresolved.silent.remove(&link) | unresolved.unsure.remove(&link)
    }

    /// Records a late answer that the agent at `link` can't tell; returns whether the flow is
    /// unresolved.
    pub fn unsure(&mut self, flow: &FlowKey, link: SocketAddr) -> bool {
        let Some(unresolved) = self.unresolved.get_mut(flow) else { return false };
        unresolved.silent.remove(&link) && unresolved.unsure.insert(link)
    }

    /// Returns the outcome of the last search for a flow, if it was unresolved.
    pub fn unresolved_flow(&self, flow: &FlowKey) -> Option<&Unresolved> {
        self.unresolved.get(flow)
    }

    /// Returns whether a search for a flow is in progress.
    pub fn is_searched(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    /// Returns the unresolved flows.
    pub fn unresolved(&self) -> impl Iterator<Item = (&FlowKey, &Unresolved)> {
        self.unresolved.iter()
    }

    /// Returns whether there are unresolved flows.
    pub fn has_unresolved(&self) -> bool {
        !self.unresolved.is_empty()
    }

    /// Returns whether no search is in progress.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
