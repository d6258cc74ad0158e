//! An agent's role as the home of flows: the directory of their owners, and
//! searches for owners that it lacks.

use std::collections::BTreeMap;
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
use crate::connection::search::Asking;
use crate::connection::search::Scope;
use crate::connection::search::Search;
use crate::connection::search::SearchState;
use crate::connection::searches::Searches;
use crate::connection::segment::Packet;
use crate::connection::unresolved::Unresolved;
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

    /// Returns whether the agent at `link` claimed a flow before `since`, and not again.
    pub fn knew_owner(&self, link: SocketAddr, since: Moment) -> bool {
        self.directory.has_claim(link, since)
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

    /// Resolves unresolved flows that no silent agent is left to own, after a change of the
    /// roster: they are reset, or their searches go on, without another packet of the caller.
    /// Answers the load after a loss of many VMs, when every lost flow is searched for and few
    /// agents can't answer.
    pub fn review_absences(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        now: Moment,
    ) {
        if !context.is_settled(now) {
            return;
        }
        let mut agents: BTreeMap<BTreeSet<Name>, BTreeSet<SocketAddr>> = BTreeMap::new();
        let mut due = Vec::new();
        for (flow, unresolved) in self.searches.unresolved() {
            let services = candidate_services(context, backend, flow);
            let candidates = agents
                .entry(services.clone())
                .or_insert_with_key(|s| candidates(context, backend, neighbours, s, now));
            if !unresolved.is_blocked(candidates) {
                due.push((*flow, services));
            }
        }
        for (flow, services) in due {
            let candidates = &agents[&services];
            self.resolve(context, backend, neighbours, &flow, candidates, now);
        }
    }

    /// Resolves one unresolved flow if no silent agent is left to own it.
    fn review_flow(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        flow: &FlowKey,
        now: Moment,
    ) {
        if context.is_settled(now) {
            let services = candidate_services(context, backend, flow);
            let candidates = candidates(context, backend, neighbours, &services, now);
            self.resolve(context, backend, neighbours, flow, &candidates, now);
        }
    }

    /// Resets an unresolved flow that none of `candidates` is left to own. If only agents are
    /// left that were unsure or not asked, the search goes on with the last packet.
    fn resolve(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        flow: &FlowKey,
        candidates: &BTreeSet<SocketAddr>,
        now: Moment,
    ) {
        let Some(unresolved) = self.searches.unresolved_flow(flow) else { return };
        if unresolved.is_blocked(candidates) {
            return;
        }
        if reset_if_absent(context, backend, unresolved, candidates) {
            self.searches.end(flow);
            return;
        }
        let services = candidate_services(context, backend, flow);
        let same = services == unresolved.scope.services && !services.is_empty();
        if !same || self.searches.is_searched(flow) || !self.searches.has_room() {
            return;
        }
        let remaining = unresolved.remaining(candidates);
        let (unsure, waiting) = remaining.into_iter().partition(|l| unresolved.unsure.contains(l));
        let asking = Asking { carried: false, waiting, unsure };
        let (entry, packet) = (unresolved.entry, unresolved.packet.clone());
        let scope = scope(context, neighbours, services, candidates);
        let search = Search::open(scope, entry, packet, asking, now);
        self.ask(context, backend, neighbours, search, now);
    }

    /// Asks the agent at `link`, which is heard from, for the unresolved flows that it was
    /// silent about. Answers the load of a start of all VMs: a home is asked for flows before
    /// all agents run.
    pub fn ask_again(&self, context: &mut AgentContext, link: SocketAddr) {
        for (flow, unresolved) in self.searches.unresolved() {
            if unresolved.silent.contains(&link) && !self.searches.is_searched(flow) {
                let segment = &unresolved.packet.segment;
                let ack = segment.flags.acks.then_some(segment.ack);
                context.send(link, Message::Ask { flow: *flow, ack });
            }
        }
    }

    /// Returns messages that list the flows which the agent at `link` owned.
    pub fn owned_by(&self, link: SocketAddr) -> Vec<Message> {
        let flows: Vec<_> = self.directory.owned_by(link).map(|(f, o)| (f, o.isn)).collect();
        let owned = |part: &[_]| Message::Owned { flows: part.to_vec() };
        flows.chunks(FLOWS_PER_DATAGRAM).map(owned).collect()
    }

    /// Ends searches that have timed out.
    pub fn tick(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        now: Moment,
    ) {
        for (flow, search) in self.searches.expire(now) {
            self.conclude(context, backend, neighbours, flow, search, now);
            self.review_flow(context, backend, neighbours, &flow, now);
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Moment) {
        self.directory.expire(RECORD_TTL, now);
    }

    /// Asks all agents that may own the flow of a packet and have not ruled it out.
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
        let candidates = candidates(context, backend, neighbours, &services, now);
        let outcome = self.searches.outcome(&packet.segment);
        let outcome = outcome.filter(|u| u.scope.services == services);
        let scope = scope(context, neighbours, services, &candidates);
        // The packet goes only to the few that did not answer a short question.
        let carried = outcome.is_some();
        let waiting = match outcome {
            Some(unresolved) => unresolved.remaining(&candidates),
            None => candidates,
        };
        let asking = Asking { carried, waiting, unsure: BTreeSet::new() };
        let search = Search::open(scope, entry, packet, asking, now);
        self.ask(context, backend, neighbours, search, now);
    }

    /// Starts a search by asking the agents that it waits for.
    fn ask(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        mut search: Search<Asking>,
        now: Moment,
    ) {
        // This agent is a candidate only if it can't tell without a probe.
        search.state.unsure.extend(search.state.waiting.take(&context.me.link));
        let (entry, packet) = (search.entry, &search.packet);
        let flow = packet.segment.flow;
        let range = search.scope.range(context.view.routes.first_version());
        let event = Event::of(Decision::Searched).flow(flow).peer(entry).range(range);
        context.record(event.value(search.state.waiting.len() as u64));
        let ack = packet.segment.flags.acks.then_some(packet.segment.ack);
        for link in &search.state.waiting {
            if search.state.carried {
                context.send_packet(*link, Message::Search { entry, probe: false }, packet);
            } else {
                context.send(*link, Message::Ask { flow, ack });
            }
        }
        self.searches.start(flow, search);
        self.proceed(context, backend, neighbours, &flow, now);
    }

    /// Moves a search on once all agents have answered.
    fn proceed(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        flow: &FlowKey,
        now: Moment,
    ) {
        let waits = match self.searches.get_mut(flow) {
            Some(SearchState::Asking(search)) => !search.state.waiting.is_empty(),
            Some(SearchState::Probing(search)) => !search.state.waiting.is_empty(),
            None => true,
        };
        if waits {
            return;
        }
        match self.searches.take(flow) {
            // Just after the source's return the owner may be missing from the roster.
            Some(SearchState::Asking(search))
                if !search.state.unsure.is_empty() && !context.view.partial =>
            {
                let search = search.probe(now);
                let (entry, packet) = (search.entry, search.packet.clone());
                for link in &search.state.waiting {
                    if *link == context.me.link {
                        backend.probe(context, &packet, entry, Some(*link), now);
                    } else {
                        context.send_packet(*link, Message::Search { entry, probe: true }, &packet);
                    }
                }
                self.searches.start(*flow, search);
            }
            Some(search) => self.conclude(context, backend, neighbours, *flow, search, now),
            None => {}
        }
    }

    /// Ends a search that found no owner: resets the flow if that proves that it does not
    /// exist, and else drops the packet and remembers who has not answered.
    fn conclude(
        &mut self,
        context: &mut AgentContext,
        backend: &LocalBackend,
        neighbours: &Neighbours,
        flow: FlowKey,
        search: SearchState,
        now: Moment,
    ) {
        let unresolved = search.unresolve(now);
        let services = candidate_services(context, backend, &flow);
        let candidates = candidates(context, backend, neighbours, &services, now);
        let settled = context.is_settled(now);
        if settled && reset_if_absent(context, backend, &unresolved, &candidates) {
            self.searches.end(&flow);
            return;
        }
        let event = Event::of(Decision::Dropped).reason(Reason::OwnerUnknown).flow(flow);
        let open = unresolved.silent.len() + unresolved.unsure.len();
        let outcome = Some(unresolved.outcome(&candidates));
        let peer = unresolved.silent.first().or(unresolved.unsure.first()).copied();
        let range = Some(unresolved.scope.range(context.view.routes.first_version()));
        context.record(Event { peer, outcome, range, ..event.value(open as u64) });
        self.searches.unresolve(flow, unresolved);
    }
}

/// Returns the agents that may own a flow of some services. This agent is one of them only
/// if its table may be incomplete.
fn candidates(
    context: &AgentContext,
    backend: &LocalBackend,
    neighbours: &Neighbours,
    services: &BTreeSet<Name>,
    now: Moment,
) -> BTreeSet<SocketAddr> {
    let mut agents = BTreeSet::new();
    for service in services {
        agents.extend(context.peers(service));
        agents.extend(neighbours.reachable(service, now));
    }
    agents.retain(|l| !has_ended(context, neighbours, *l));
    agents.remove(&context.me.link);
    if !backend.is_complete() {
        agents.insert(context.me.link);
    }
    agents
}

/// Returns whom a search among `candidates` concerns. Agents whose backend servers have ended
/// are listed and not asked, and a later run at their addresses is.
fn scope(
    context: &AgentContext,
    neighbours: &Neighbours,
    services: BTreeSet<Name>,
    candidates: &BTreeSet<SocketAddr>,
) -> Scope {
    let listed = services.iter().flat_map(|s| context.peers(s));
    let ended = listed.filter(|l| has_ended(context, neighbours, *l)).collect();
    Scope::open(services, context.view.roster.clone(), candidates, ended)
}

/// Returns whether the backend server of the agent at `link` has ended, as that agent said.
fn has_ended(context: &AgentContext, neighbours: &Neighbours, link: SocketAddr) -> bool {
    neighbours.has_ended(link, context.view.roster.on_vm(link.ip()).map(|m| &**m))
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
    let known = context.view.roster.on_vm(link.ip()).is_some() || neighbours.get(link).is_some();
    known && !has_ended(context, neighbours, link)
}

/// Forwards a packet to the owner of its flow, and tells the entry about the owner.
fn forward(context: &mut AgentContext, entry: SocketAddr, owner: Owner, packet: &Packet) {
    let flow = packet.segment.flow;
    context.send(entry, Message::Found { flow, owner });
    context.send_packet(owner.link, Message::Deliver { entry, direct: true }, packet);
}

/// Resets a flow if the agents that ruled it out are all that may own it; returns whether
/// they are.
fn reset_if_absent(
    context: &mut AgentContext,
    backend: &LocalBackend,
    unresolved: &Unresolved,
    candidates: &BTreeSet<SocketAddr>,
) -> bool {
    let segment = &unresolved.packet.segment;
    let services = candidate_services(context, backend, &segment.flow);
    if services.is_empty()
        || services != unresolved.scope.services
        || !unresolved.remaining(candidates).is_empty()
    {
        return false;
    }
    if !segment.flags.aborts {
        let range = unresolved.scope.range(context.view.routes.first_version());
        let event = Event::of(Decision::Reset).reason(Reason::NotHere).flow(segment.flow);
        context.record(event.range(range));
        context.act(Action::Reset { flow: segment.flow, seq: segment.ack });
    }
    true
}
