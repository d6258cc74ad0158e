//! An agent's role as the home of flows: the directory of their owners, and
//! searches for owners that it lacks.

mod candidates;
mod resolution;
mod search;

use std::net::SocketAddr;
use std::time::Duration;

use super::context::AgentContext;
use super::event::Decision;
use super::event::Event;
use super::local_backend::LocalBackend;
use super::message::Message;
use crate::connection::directory::Directory;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::connection::search::SearchState;
use crate::connection::search_budget::SearchBudget;
use crate::connection::searches::Searches;
use crate::connection::segment::Packet;
use crate::process::confirm_limit::ConfirmLimit;
use crate::process::neighbours::Neighbours;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Time for which a record is kept without a new claim. Owners release their
/// flows; this removes the records of owners that were lost.
const RECORD_TTL: Duration = Duration::from_secs(120);
/// Maximum number of flows listed in one datagram.
const FLOWS_PER_DATAGRAM: usize = 30;

/// Records and searches of a home.
#[derive(Debug, Default)]
pub struct Home {
    directory: Directory,
    searches: Searches,
    budget: SearchBudget,
    confirms: ConfirmLimit,
}

impl Home {
    /// Returns the number of recorded flows.
    pub fn records(&self) -> usize {
        self.directory.count()
    }

    /// Returns the most recently recorded owner of a flow.
    pub fn owner(&self, flow: &FlowKey) -> Option<Owner> {
        self.directory.owners(flow)?.latest()
    }

    /// Returns whether the agent at `link` claimed a flow before `since`, and not again.
    pub fn knew_owner(&self, link: SocketAddr, since: Moment) -> bool {
        self.directory.has_claim(link, since)
    }

    /// Returns whether flows wait for proof that they are open nowhere.
    pub fn has_unresolved(&self) -> bool {
        self.searches.has_unresolved()
    }

    /// Returns whether searches are in progress.
    pub fn has_pending(&self) -> bool {
        !self.searches.is_empty()
    }

    /// Forwards a packet of an established flow to its owner, which is not this
    /// agent, or searches for the owner.
    pub fn locate(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        entry: SocketAddr,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        let owner = self.directory.owners(&flow).and_then(|o| o.choose(&packet.segment));
        match owner.filter(|o| o.link != context.me.link) {
            Some(owner) if candidates::is_reachable(context, neighbours, owner.link) => {
                forward(context, entry, owner, &packet);
                return;
            }
            Some(owner) => self.directory.release(&flow, owner.link),
            None => {}
        }
        if self.searches.hold(&packet) {
            return;
        }
        self.search(context, backend, neighbours, entry, packet, now);
    }

    /// Records that the agent at `owner.link` claims a flow, and ends the
    /// search for it.
    pub fn claim(&mut self, context: &mut AgentContext, flow: FlowKey, owner: Owner, now: Moment) {
        if !self.directory.claim(flow, owner, now) {
            context.tally.add(Reason::FlowsFull);
        }
        let Some(search) = self.searches.end(&flow) else { return };
        context.record(Event::of(Decision::FoundOwner).flow(flow).peer(owner.link));
        let entry = search.entry();
        for packet in search.into_held() {
            forward(context, entry, owner, &packet);
        }
    }

    /// Ends the search for a flow that this agent's backend server has; returns
    /// it with the packets that waited and the entry that they came through.
    pub fn finish_search(
        &mut self,
        context: &mut AgentContext,
        flow: &FlowKey,
    ) -> Option<SearchState> {
        let search = self.searches.end(flow)?;
        context.record(Event::of(Decision::FoundOwner).flow(*flow).peer(context.me.link));
        Some(search)
    }

    /// Removes the record that an agent owns a flow.
    pub fn release(&mut self, flow: &FlowKey, link: SocketAddr) {
        self.directory.release(flow, link);
    }

    /// Forgets what searches for an earlier flow with the same addresses have shown.
    pub fn forget(&mut self, flow: &FlowKey) {
        self.searches.end(flow);
    }

    /// Handles the answer of an agent that it does not own a flow.
    pub fn not_owner(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        flow: &FlowKey,
        link: SocketAddr,
        now: Moment,
    ) {
        self.directory.release(flow, link);
        if let Some(search) = self.searches.get_mut(flow) {
            search.not_owner(link);
            self.proceed(context, backend, neighbours, flow, now);
        } else if self.searches.rule_out(flow, link) {
            self.review_flow(context, backend, neighbours, flow, now);
        }
    }

    /// Handles the answer of an agent that its backend server may have a flow.
    pub fn unsure(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        flow: &FlowKey,
        link: SocketAddr,
        now: Moment,
    ) {
        if let Some(search) = self.searches.get_mut(flow) {
            search.unsure(link);
            self.proceed(context, backend, neighbours, flow, now);
        } else if self.searches.unsure(flow, link) {
            self.review_flow(context, backend, neighbours, flow, now);
        }
    }

    /// Returns messages that list the flows which the agent at `link` owned.
    pub fn owned_by(&self, link: SocketAddr) -> Vec<Message> {
        let flows: Vec<_> = self.directory.owned_by(link).map(|(f, o)| (f, o.isn)).collect();
        let owned = |part: &[_]| Message::Owned { flows: part.to_vec() };
        flows.chunks(FLOWS_PER_DATAGRAM).map(owned).collect()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Moment) {
        self.directory.expire(RECORD_TTL, now);
    }
}

/// Forwards a packet to the owner of its flow, and tells the entry about the owner.
fn forward(context: &mut AgentContext, entry: SocketAddr, owner: Owner, packet: &Packet) {
    let flow = packet.segment.flow;
    context.send(entry, Message::Found { flow, owner });
    context.send_packet(owner.link, Message::Deliver { entry, direct: true }, packet);
}
