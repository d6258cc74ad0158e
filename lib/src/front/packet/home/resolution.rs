//! What a home concludes from searches that found no owner.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::super::action::Action;
use super::super::context::AgentContext;
use super::super::event::Decision;
use super::super::event::Event;
use super::super::local_backend::LocalBackend;
use super::super::message::Message;
use super::Home;
use super::candidates::candidates;
use super::candidates::knows_all;
use super::candidates::scope;
use super::search::send_probes;
use crate::connection::flow::FlowKey;
use crate::connection::scope::Reach;
use crate::connection::search::Search;
use crate::connection::search::SearchState;
use crate::connection::search::Widened;
use crate::connection::unresolved::Unresolved;
use crate::process::neighbours::Neighbours;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

impl Home {
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
        if !context.is_settled(now) || !self.searches.has_unresolved() {
            return;
        }
        let candidates = candidates(context, backend, neighbours, &Reach::Fleet, now);
        let open = self.searches.unresolved().filter(|(_, u)| !u.is_blocked(&candidates));
        let open = open.filter(|(_, u)| knows_all(context, u.opened, now));
        let due: Vec<_> = open.map(|(flow, _)| *flow).collect();
        for flow in due {
            self.resolve(context, backend, neighbours, &flow, &candidates, now);
        }
    }

    /// Resolves one unresolved flow if no silent agent is left to own it.
    pub(super) fn review_flow(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        flow: &FlowKey,
        now: Moment,
    ) {
        let Some(unresolved) = self.searches.unresolved_flow(flow) else { return };
        let candidates = candidates(context, backend, neighbours, &Reach::Fleet, now);
        if knows_all(context, unresolved.opened, now) {
            self.resolve(context, backend, neighbours, flow, &candidates, now);
        } else if !unresolved.is_blocked(&candidates) {
            self.confirms.want();
            self.confirm(context, now);
        }
    }

    /// Asks for a read of the registered backend servers, if one is wanted and allowed now.
    fn confirm(&mut self, context: &mut AgentContext, now: Moment) {
        if self.confirms.take(context.view.roster.members().len(), now) {
            context.act(Action::Confirm);
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
        if reset_if_absent(context, unresolved, candidates) {
            self.searches.end(flow);
            return;
        }
        if self.searches.is_searched(flow) || !self.searches.has_room() {
            return;
        }
        let remaining = unresolved.remaining(candidates);
        let (unsure, waiting): (BTreeSet<_>, BTreeSet<_>) =
            remaining.into_iter().partition(|l| unresolved.unsure.contains(l));
        if !self.budget.spend(waiting.len(), now) {
            context.tally.add(Reason::SearchBudget);
            return;
        }
        let (entry, packet, opened) =
            (unresolved.entry, unresolved.packet.clone(), unresolved.opened);
        let scope = scope(context, neighbours, Reach::Fleet, candidates);
        let state = Widened { carried: false, waiting: waiting.clone(), unsure };
        let search = Search { opened, ..Search::open(scope, entry, packet, state, now) };
        self.ask_widened(context, backend, neighbours, search, &waiting, now);
    }

    /// Asks the agent at `link`, which is heard from, for the unresolved flows that it was
    /// silent about. Answers the load of a start of all VMs: a home is asked for flows before
    /// all agents run.
    pub fn ask_again(&self, context: &mut AgentContext, link: SocketAddr) {
        for (flow, unresolved) in self.searches.unresolved() {
            if unresolved.silent.contains(&link) && !self.searches.is_searched(flow) {
                let ack = unresolved.packet.segment.acked();
                context.send(link, Message::Ask { flow: *flow, ack });
            }
        }
    }

    /// Ends searches that have timed out.
    pub fn tick(
        &mut self,
        context: &mut AgentContext,
        backend: &mut LocalBackend,
        neighbours: &Neighbours,
        now: Moment,
    ) {
        self.confirm(context, now);
        for (flow, search) in self.searches.expire(now) {
            match search {
                SearchState::Asking(search) => {
                    self.widen(context, backend, neighbours, search, now);
                }
                search => {
                    // The owner is among those that neither returned nor answered the packet,
                    // and must have the last copy.
                    if let SearchState::Probing(probing) = &search {
                        send_probes(context, backend, probing, now);
                    }
                    self.conclude(context, backend, neighbours, flow, search, now);
                    self.review_flow(context, backend, neighbours, &flow, now);
                }
            }
        }
    }

    /// Ends a search that found no owner: resets the flow if that proves that it does not
    /// exist, and else drops the packet and remembers who has not answered.
    pub(super) fn conclude(
        &mut self,
        context: &mut AgentContext,
        backend: &LocalBackend,
        neighbours: &Neighbours,
        flow: FlowKey,
        search: SearchState,
        now: Moment,
    ) {
        let unresolved = search.unresolve(now);
        let candidates = candidates(context, backend, neighbours, &Reach::Fleet, now);
        let known = knows_all(context, unresolved.opened, now);
        if known && reset_if_absent(context, &unresolved, &candidates) {
            self.searches.end(&flow);
            return;
        }
        let blocked = unresolved.is_blocked(&candidates);
        if !known && !blocked {
            self.confirms.want();
            self.confirm(context, now);
        }
        let reason = if known || blocked { Reason::OwnerUnknown } else { Reason::Unconfirmed };
        let event = Event::of(Decision::Dropped).reason(reason).flow(flow);
        let open = unresolved.silent.len() + unresolved.unsure.len();
        let outcome = Some(unresolved.outcome(&candidates));
        let peer = unresolved.silent.first().or(unresolved.unsure.first()).copied();
        let range = Some(unresolved.scope.range(context.view.routes.first_version()));
        context.record(Event { peer, outcome, range, ..event.value(open as u64) });
        self.searches.unresolve(flow, unresolved);
    }
}

/// Resets a flow if the agents of all backend servers have ruled it out; returns whether they
/// have. Which services its route names proves nothing about open flows.
fn reset_if_absent(
    context: &mut AgentContext,
    unresolved: &Unresolved,
    candidates: &BTreeSet<SocketAddr>,
) -> bool {
    if !unresolved.scope.is_whole() || !unresolved.remaining(candidates).is_empty() {
        return false;
    }
    let segment = &unresolved.packet.segment;
    if !segment.flags.aborts {
        let range = unresolved.scope.range(context.view.routes.first_version());
        let event = Event::of(Decision::Reset).reason(Reason::NotHere).flow(segment.flow);
        context.record(event.range(range));
        context.act(Action::Reset { flow: segment.flow, seq: segment.ack });
    }
    true
}
