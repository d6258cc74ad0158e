//! An agent as the home of flows: who owns them, as far as owners claimed it.

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

/// Time for which a record is kept without being claimed again. Owners release
/// their flows; this bounds what a lost owner leaves behind.
const RECORD_TTL: Duration = Duration::from_secs(120);
/// Flows told in one datagram.
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

    /// Returns the recorded owner of a flow heard of last.
    pub fn owner(&self, flow: &FlowKey) -> Option<Owner> {
        self.directory.owners(flow)?.latest()
    }

    /// Returns whether searches are going on.
    pub fn has_pending(&self) -> bool {
        !self.searches.is_empty()
    }

    /// Sends a packet of an established flow to its owner, which is not this
    /// agent, or searches for it.
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

    /// Takes in that the agent at `owner.link` claims a flow.
    pub fn claim(&mut self, context: &mut AgentContext, flow: FlowKey, owner: Owner, now: Moment) {
        if !self.directory.claim(flow, owner, now) {
            context.tally.add(Reason::FlowsFull);
        }
        let Some(search) = self.searches.end(&flow) else { return };
        context.record(Event::of(Decision::FoundOwner).flow(flow).peer(owner.link));
        // The packet that was sent with the search was delivered by the owner.
        for packet in &search.held {
            forward(context, search.entry, owner, packet);
        }
    }

    /// Takes in that this agent's backend server has a flow; returns the packets
    /// that waited for its owner, with the entry that they came through.
    pub fn finish_search(&mut self, context: &mut AgentContext, flow: &FlowKey) -> Option<Search> {
        let search = self.searches.end(flow)?;
        context.record(Event::of(Decision::FoundOwner).flow(*flow).peer(context.me.link));
        Some(search)
    }

    /// Takes in that an agent no longer owns a flow.
    pub fn release(&mut self, flow: &FlowKey, link: SocketAddr) {
        self.directory.release(flow, link);
    }

    /// Takes in that a flow is not at an agent.
    pub fn not_owner(&mut self, context: &mut AgentContext, flow: &FlowKey, link: SocketAddr) {
        self.directory.release(flow, link);
        if let Some(search) = self.searches.not_owner(flow, link) {
            conclude_absent(context, &search);
        }
    }

    /// Returns messages with the flows that the agent at `link` owned.
    pub fn owned_by(&self, link: SocketAddr) -> Vec<Message> {
        let flows: Vec<_> = self.directory.owned_by(link).map(|(f, o)| (f, o.isn)).collect();
        let owned = |part: &[_]| Message::Owned { flows: part.to_vec() };
        flows.chunks(FLOWS_PER_DATAGRAM).map(owned).collect()
    }

    /// Does what is due by time.
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

    /// Forgets what is no longer used.
    pub fn expire(&mut self, now: Moment) {
        self.directory.expire(RECORD_TTL, now);
    }

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
        // While an agent is out of reach, the flow may be its own; then other
        // backend servers are not asked by passing them the packet.
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

/// Returns the services whose backend servers may have a flow.
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

/// Returns whether an agent is registered or was heard lately.
fn is_reachable(context: &AgentContext, neighbours: &Neighbours, link: SocketAddr) -> bool {
    context.view.roster.on_vm(link.ip()).is_some() || neighbours.get(link).is_some()
}

fn forward(context: &mut AgentContext, entry: SocketAddr, owner: Owner, packet: &Packet) {
    let flow = packet.segment.flow;
    context.send(entry, Message::Found { flow, owner });
    context.send_packet(owner.link, Message::Deliver { entry, direct: true }, packet);
}

/// Ends a search that everybody answered with no.
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
