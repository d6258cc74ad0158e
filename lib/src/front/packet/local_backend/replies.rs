//! Packets of the backend server.

use super::LocalBackend;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Segment;
use crate::connection::served_flows::Established;
use crate::connection::served_flows::Flow;
use crate::connection::served_flows::Opening;
use crate::connection::served_flows::ServedFlow;
use crate::front::packet::action::Action;
use crate::front::packet::action::Phase;
use crate::front::packet::context::AgentContext;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

impl LocalBackend {
    /// Handles a packet that the backend server sent to a caller.
    ///
    /// Returns the flow's state if its homes and its entry must be told that
    /// this agent owns it.
    pub fn handle_reply(
        &mut self,
        context: &mut AgentContext,
        segment: &Segment,
        now: Moment,
    ) -> Option<ServedFlow> {
        self.warm_up.record_packet(now);
        if segment.flags.opens {
            self.health.heard(now);
        } else {
            // Only the run that accepted the flow's opening packet has the flow.
            self.health.heard_run(context, now);
        }
        let flow = segment.flow;
        if segment.flags.aborts {
            self.end(context, &flow, now);
            return None;
        }
        let before = self.served.get(&flow).copied();
        let answers = segment.flags.opens;
        if answers {
            self.measure_opening(context, &flow, now);
        }
        let after = match before {
            Some(ServedFlow::Opening(f)) if answers => f.answer(segment.seq, now).into(),
            Some(ServedFlow::Answered(f)) if !answers => {
                self.apply_reply(context, f.establish(now), segment, now)
            }
            Some(ServedFlow::Established(f)) if !answers => {
                self.apply_reply(context, f, segment, now)
            }
            None if answers => {
                Flow::<Opening>::open(None, None, now).answer(segment.seq, now).into()
            }
            None | Some(ServedFlow::Opening(_)) => {
                let entry = before.and_then(|s| s.entry());
                self.apply_reply(
                    context,
                    Flow::<Established>::learn(entry, None, now),
                    segment,
                    now,
                )
            }
            Some(served) => served,
        };
        if !self.served.put(flow, after) {
            context.tally.add(Reason::FlowsFull);
        }
        self.start_queued(context, now);
        let changed = match &before {
            None | Some(ServedFlow::Opening(_)) => true,
            Some(ServedFlow::Answered(_)) => matches!(after, ServedFlow::Answered(_)),
            Some(ServedFlow::Established(_)) => false,
        };
        changed.then_some(after)
    }

    /// Measures the time until the backend server answered an opening packet, also if its
    /// answer is overdue.
    pub(super) fn measure_opening(
        &mut self,
        context: &mut AgentContext,
        flow: &FlowKey,
        now: Moment,
    ) {
        let opening = match self.served.get(flow) {
            Some(ServedFlow::Opening(f)) => Some(f.state.offered),
            _ => None,
        };
        if let Some(offered) = self.overdue.take(flow).or(opening) {
            context.act(Action::Measured(Phase::Opening, now.since(offered)));
        }
    }

    /// Applies a packet of the backend server to its flow, and ends the request
    /// that it begins to answer.
    pub(super) fn apply_reply(
        &mut self,
        context: &mut AgentContext,
        mut flow: Flow<Established>,
        segment: &Segment,
        now: Moment,
    ) -> ServedFlow {
        match flow.from_backend(segment, now) {
            // A close without an answer says nothing about the backend server's speed.
            Some(_) if segment.len == 0 => self.waiting.abandon(now),
            Some(started) => {
                let took = now.since(started);
                let route = segment.flow.service;
                self.waiting.end(route, took, self.health.slots(), now);
                context.act(Action::Measured(Phase::Service, took));
            }
            None => {}
        }
        flow.into()
    }
}
