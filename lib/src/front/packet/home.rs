//! An agent's role as the home of flows: the directory of their owners, and
//! searches for owners that it lacks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::action::Action;
use super::context::AgentContext;
use super::event::Decision;
use super::event::Event;
use super::local_backend::LocalBackend;
use super::message::Message;
use crate::connection::directory::Directory;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::connection::search::Search;
use crate::connection::search::Searches;
use crate::connection::segment::Packet;
use crate::process::neighbours::Neighbours;
use crate::value::moment::Moment;
use crate::value::name::Name;
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
            Some(owner) if is_reachable(context, neighbours, owner.link) => {
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
        // The owner has delivered the packet that the search carried.
        for packet in &search.held {
            forward(context, search.entry, owner, packet);
        }
    }

    /// Ends the search for a flow that this agent's backend server has; returns
    /// it with the packets that waited and the entry that they came through.
    pub fn finish_search(&mut self, context: &mut AgentContext, flow: &FlowKey) -> Option<Search> {
        let search = self.searches.end(flow)?;
        context.record(Event::of(Decision::FoundOwner).flow(*flow).peer(context.me.link));
        Some(search)
    }

    /// Removes the record that an agent owns a flow.
    pub fn release(&mut self, flow: &FlowKey, link: SocketAddr) {
        self.directory.release(flow, link);
    }

    /// Handles the answer of an agent that it does not own a flow.
    pub fn not_owner(&mut self, context: &mut AgentContext, flow: &FlowKey, link: SocketAddr) {
        self.directory.release(flow, link);
        if let Some(search) = self.searches.not_owner(flow, link) {
            conclude_absent(context, &search);
        }
    }

    /// Returns messages that list the flows which the agent at `link` owned.
    pub fn owned_by(&self, link: SocketAddr) -> Vec<Message> {
        let flows: Vec<_> = self.directory.owned_by(link).map(|(f, o)| (f, o.isn)).collect();
        let owned = |part: &[_]| Message::Owned { flows: part.to_vec() };
        flows.chunks(FLOWS_PER_DATAGRAM).map(owned).collect()
    }

    /// Ends searches that have timed out.
    pub fn tick(&mut self, context: &mut AgentContext, now: Moment) {
        for (flow, search) in self.searches.expire(now) {
            let event = Event::of(Decision::Dropped).reason(Reason::OwnerUnknown).flow(flow);
            let event = event.value(search.waiting.len() as u64);
            context.record(match search.waiting.first() {
                Some(silent) => event.peer(*silent),
                None => event,
            });
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Moment) {
        self.directory.expire(RECORD_TTL, now);
    }

    /// Asks all agents that may own the flow of a packet, and probes the backend
    /// server beside this one if its flow table may be incomplete.
    fn search(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        entry: SocketAddr,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        if !self.searches.has_room() {
            context.record(Event::of(Decision::Dropped).reason(Reason::HeldFull).flow(flow));
            return;
        }
        let services = candidate_services(context, backend, &flow);
        let mut waiting = BTreeSet::new();
        for service in &services {
            waiting.extend(context.peers(service));
            waiting.extend(neighbours.reachable(service, now));
        }
        waiting.remove(&context.me.link);
        // An agent that is out of reach may own the flow; then no other backend
        // server is probed with the packet.
        let probe = waiting.iter().all(|l| neighbours.get(*l).is_some());
        let event = Event::of(Decision::Searched).flow(flow).peer(entry);
        context.record(event.value(waiting.len() as u64));
        for link in &waiting {
            context.send_packet(*link, Message::Search { entry, probe }, &packet);
        }
        if !backend.is_complete() {
            waiting.insert(context.me.link);
            if probe {
                backend.probe(context, &packet, entry, Some(context.me.link), now);
            }
        }
        let complete = context.is_settled(now) && !services.is_empty();
        let search = Search::open(entry, packet, waiting, complete, now);
        if search.waiting.is_empty() {
            conclude_absent(context, &search);
        } else {
            self.searches.start(flow, search);
        }
    }
}

/// Returns the services whose backend servers may own a flow.
fn candidate_services(
    context: &AgentContext,
    backend: &LocalBackend,
    flow: &FlowKey,
) -> BTreeSet<Name> {
    match context.view.routes.route(flow.service) {
        Some(route) => route.holders().cloned().collect(),
        None => BTreeSet::from([backend.service(context).clone()]),
    }
}

/// Returns whether an agent is registered or was heard from recently.
fn is_reachable(context: &AgentContext, neighbours: &Neighbours, link: SocketAddr) -> bool {
    context.view.roster.on_vm(link.ip()).is_some() || neighbours.get(link).is_some()
}

/// Forwards a packet to the owner of its flow, and tells the entry about the owner.
fn forward(context: &mut AgentContext, entry: SocketAddr, owner: Owner, packet: &Packet) {
    let flow = packet.segment.flow;
    context.send(entry, Message::Found { flow, owner });
    context.send_packet(owner.link, Message::Deliver { entry, direct: true }, packet);
}

/// Ends a search in which no agent owned the flow: resets the flow if that
/// proves that it does not exist, and else drops the packet.
fn conclude_absent(context: &mut AgentContext, search: &Search) {
    let segment = &search.packet.segment;
    if !search.proves_absence() {
        let event = Event::of(Decision::Dropped).reason(Reason::OwnerUnknown);
        context.record(event.flow(segment.flow));
        return;
    }
    if segment.flags.aborts {
        return;
    }
    context.record(Event::of(Decision::Reset).reason(Reason::NotHere).flow(segment.flow));
    context.act(Action::Reset { flow: segment.flow, seq: segment.ack });
}
