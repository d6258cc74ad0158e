//! Searches of a home for the owners of flows that its directory lacks.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::super::context::AgentContext;
use super::super::event::Decision;
use super::super::event::Event;
use super::super::local_backend::LocalBackend;
use super::super::message::Message;
use super::Home;
use super::candidates::candidates;
use super::candidates::knows_all;
use super::candidates::likely_services;
use super::candidates::scope;
use crate::connection::flow::FlowKey;
use crate::connection::scope::Reach;
use crate::connection::search::Asking;
use crate::connection::search::Probing;
use crate::connection::search::Search;
use crate::connection::search::SearchState;
use crate::connection::search::Widened;
use crate::connection::segment::Packet;
use crate::process::neighbours::Neighbours;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

impl Home {
    /// Asks the agents that probably own the flow of a packet and have not ruled it out.
    pub(super) fn search(
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
        let outcome = self.searches.outcome(&packet.segment);
        let opened = outcome.map_or(now, |u| u.opened);
        let whole = outcome.is_some_and(|u| u.scope.is_whole());
        let reach = match whole {
            true => Reach::Fleet,
            false => likely_services(context, backend, &flow),
        };
        let candidates = candidates(context, backend, neighbours, &reach, now);
        let scope = scope(context, neighbours, reach, &candidates);
        // The packet goes only to the few that did not answer a short question.
        let carried = whole;
        let waiting = match outcome {
            Some(unresolved) => unresolved.remaining(&candidates),
            None => candidates,
        };
        let unsure = BTreeSet::new();
        if whole {
            let state = Widened { carried, waiting, unsure };
            let asked = state.waiting.clone();
            let search = Search { opened, ..Search::open(scope, entry, packet, state, now) };
            self.ask_widened(context, backend, neighbours, search, &asked, now);
        } else {
            let state = Asking { carried, waiting, unsure };
            let search = Search::open(scope, entry, packet, state, now);
            let mut search = Search { opened, ..search };
            // This agent is a candidate only if it can't tell without a probe.
            search.state.unsure.extend(search.state.waiting.take(&context.me.link));
            send_questions(context, Decision::Searched, &search, carried, &search.state.waiting);
            self.searches.start(flow, search);
            self.proceed(context, backend, neighbours, &flow, now);
        }
    }

    /// Goes on with a search of the whole fleet by asking the agents in `asked`, which are among
    /// those that it waits for.
    pub(super) fn ask_widened(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        mut search: Search<Widened>,
        asked: &BTreeSet<SocketAddr>,
        now: Moment,
    ) {
        let flow = search.packet.segment.flow;
        search.state.unsure.extend(search.state.waiting.take(&context.me.link));
        send_questions(context, Decision::Widened, &search, search.state.carried, asked);
        self.searches.start(flow, search);
        self.proceed(context, backend, neighbours, &flow, now);
    }

    /// Moves a search on once all agents have answered.
    pub(super) fn proceed(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        flow: &FlowKey,
        now: Moment,
    ) {
        if self.searches.get_mut(flow).is_none_or(|search| search.waits()) {
            return;
        }
        match self.searches.take(flow) {
            Some(SearchState::Asking(search)) => {
                self.widen(context, backend, neighbours, search, now);
            }
            // Without the owner among them, the flow's packet would only reach others.
            Some(SearchState::Widened(search))
                if !search.state.unsure.is_empty() && knows_all(context, search.opened, now) =>
            {
                let search = search.probe(now);
                send_probes(context, backend, &search, now);
                self.searches.start(*flow, search);
            }
            Some(search) => self.conclude(context, backend, neighbours, *flow, search, now),
            None => {}
        }
    }

    /// Goes on to the agents that were not asked, whatever their service. Those that have not
    /// answered yet are still waited for.
    pub(super) fn widen(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        search: Search<Asking>,
        now: Moment,
    ) {
        let all = candidates(context, backend, neighbours, &Reach::Fleet, now);
        let rest: BTreeSet<_> = all.iter().filter(|l| !search.scope.covers(l)).copied().collect();
        if !self.budget.spend(rest.len(), now) {
            let flow = search.packet.segment.flow;
            context.tally.add(Reason::SearchBudget);
            self.conclude(context, backend, neighbours, flow, search.into(), now);
            return;
        }
        let scope = scope(context, neighbours, Reach::Fleet, &all);
        let search = search.widen(scope, &rest, now);
        self.ask_widened(context, backend, neighbours, search, &rest, now);
    }
}

/// Asks other agents whether they own the flow of a search, with the packet if `carried`, and
/// logs that as `what`.
fn send_questions<S>(
    context: &mut AgentContext,
    what: Decision,
    search: &Search<S>,
    carried: bool,
    agents: &BTreeSet<SocketAddr>,
) {
    let (entry, packet) = (search.entry, &search.packet);
    let (flow, ack) = (packet.segment.flow, packet.segment.acked());
    let others: Vec<_> = agents.iter().filter(|l| **l != context.me.link).collect();
    let range = search.scope.range(context.view.routes.first_version());
    let event = Event::of(what).flow(flow).peer(entry).range(range);
    context.record(event.value(others.len() as u64));
    for link in others {
        if carried {
            context.send_packet(*link, Message::Search { entry, probe: false }, packet);
        } else {
            context.send(*link, Message::Ask { flow, ack });
        }
    }
}

/// Passes the packet of a search to the backend servers that have neither returned nor answered
/// it.
pub(super) fn send_probes(
    context: &mut AgentContext,
    backend: &mut LocalBackend,
    search: &Search<Probing>,
    now: Moment,
) {
    let (entry, packet) = (search.entry, &search.packet);
    for link in &search.state.waiting {
        if *link == context.me.link {
            backend.probe(context, packet, entry, Some(*link), now);
        } else {
            context.send_packet(*link, Message::Search { entry, probe: true }, packet);
        }
    }
}
