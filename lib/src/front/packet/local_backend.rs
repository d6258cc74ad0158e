//! The backend server beside an agent: its flows, queued requests and liveness.

mod replies;
mod requests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::action::Action;
use super::backend_health::BackendHealth;
use super::context::AgentContext;
use super::context::Identity;
use super::decline::Decline;
use super::event::Decision;
use super::event::Event;
use super::gate::Gate;
use super::message::Message;
use super::probes::Probe;
use super::probes::Probes;
use super::waiting::Waiting;
use crate::connection::flow::FlowKey;
use crate::connection::overdue::OverdueOpenings;
use crate::connection::placement::RETRANSMIT_DELAYS;
use crate::connection::segment::Packet;
use crate::connection::segment::Segment;
use crate::connection::served_flows::Established;
use crate::connection::served_flows::Flow;
use crate::connection::served_flows::Opening;
use crate::connection::served_flows::Request;
use crate::connection::served_flows::ServedFlow;
use crate::connection::served_flows::ServedFlows;
use crate::process::liveness::KeepAlive;
use crate::request::load_meter::Load;
use crate::request::warm_up::WarmUpLimit;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Time for the backend server to answer an opening packet.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Maximum number of flows listed in one datagram.
const FLOWS_PER_DATAGRAM: usize = 30;

/// Why a packet can't be passed to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServed {
    /// The backend server does not have the flow.
    Absent,
    /// The flow is not in the table, but the backend server may have it.
    Unknown,
}

/// An agent's state of its backend server.
#[derive(Debug)]
pub struct LocalBackend {
    health: BackendHealth,
    gate: Gate,
    warm_up: WarmUpLimit,
    served: ServedFlows,
    overdue: OverdueOpenings,
    probes: Probes,
    waiting: Waiting,
}

impl LocalBackend {
    /// Creates the state of a backend server that is not known yet.
    pub fn open(me: &Identity, now: Moment) -> Self {
        let complete = me.first_start;
        let mut waiting = Waiting::open(now);
        waiting.restart(now);
        Self {
            health: BackendHealth::open(complete, now),
            gate: Gate::open(now),
            warm_up: WarmUpLimit::open(me.allowance, me.first_start, now),
            served: ServedFlows::default(),
            overdue: OverdueOpenings::default(),
            probes: Probes::default(),
            waiting,
        }
    }

    /// Returns the service of the backend server.
    pub fn service<'a>(&'a self, context: &'a AgentContext) -> &'a Name {
        self.health.service(context)
    }

    /// Returns the flow table.
    pub fn served(&self) -> &ServedFlows {
        &self.served
    }

    /// Returns whether the backend server accepts new flows, apart from its warm-up limit.
    pub fn accepts_flows(&self, now: Moment) -> bool {
        self.check_new_flow(now).is_ok()
    }

    /// Checks whether a new flow may open at the backend server now.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub fn check_opening(&mut self, now: Moment) -> Result<(), Decline> {
        self.check_new_flow(now)?;
        match self.warm_up.wait(now) {
            Duration::ZERO => Ok(()),
            wait => Err(Decline::cold(wait)),
        }
    }

    /// Returns the rate that the backend server bears and until when it is cold, if it is
    /// and there is a limit.
    pub fn cold(&self, now: Moment) -> Option<(f64, Moment)> {
        self.warm_up.cold(now)
    }

    fn check_new_flow(&self, now: Moment) -> Result<(), Decline> {
        self.gate.check(now)?;
        if self.health.accepts_flows(now) { Ok(()) } else { Err(Decline::Leaving) }
    }

    /// Returns whether the routes in force send the flow, if it is new, to the backend
    /// server's service.
    pub fn is_routed(&self, context: &AgentContext, flow: &FlowKey) -> bool {
        let route = context.view.routes.route(flow.service);
        route.and_then(|r| r.service(flow.hash())) == Some(self.service(context))
    }

    /// Returns the registration and condition of the backend server.
    pub fn health(&self) -> &BackendHealth {
        &self.health
    }

    /// Returns whether the agent at `link` placed a flow before `since` that is still opening.
    pub fn had_placer(&self, link: SocketAddr, since: Moment) -> bool {
        let placed = |s: &ServedFlow| match s {
            ServedFlow::Opening(f) => f.placer == Some(link) && f.state.offered < since,
            _ => false,
        };
        self.served.iter().any(|(_, served)| placed(served))
    }

    /// Records proof that the table has every flow of the registered run.
    pub fn prove_complete(&mut self) {
        self.health.prove_complete();
    }

    /// Returns whether the backend server has answered this opening packet or a copy of it.
    pub fn has_answered(&self, opening: &Segment) -> bool {
        let served = self.served.get(&opening.flow);
        served.is_some_and(|s| s.is_answered() && !s.is_followed_by(opening))
    }

    /// Returns whether the table has every flow of the backend server.
    pub fn is_complete(&self) -> bool {
        self.health.is_complete()
    }

    /// Returns the load that is reported to other agents.
    pub fn load(&mut self, now: Moment) -> Load {
        let load = self.waiting.load(self.health.slots(), self.served.count(), now);
        Load { openings: self.warm_up.openings(now), ..load }
    }

    /// Returns whether a new flow had better go to a backend server with free slots.
    pub fn is_busy(&self, now: Moment) -> bool {
        self.waiting.is_busy(self.health.slots(), now)
    }

    /// Begins a planned stop of the agent: no new flows are accepted.
    pub fn leave(&mut self) {
        self.health.leave();
    }

    /// Applies the roster's entry of the backend server. Flows that were certainly opened at
    /// an earlier run are reset. Others may belong to the present one; if they do not, the
    /// backend server returns their next packet.
    pub fn update_member(&mut self, context: &mut AgentContext, now: Moment) {
        // The flows are released at the homes of the service that they belong to.
        let service = self.service(context).clone();
        if let Some(ended) = self.health.update_member(context, now) {
            let over = self.served.iter().filter(|(_, s)| s.is_answered_before(ended));
            let over: Vec<_> = over.map(|(flow, _)| *flow).collect();
            for flow in &over {
                self.cancel_request(flow, now);
                if let Some(served) = self.served.remove(flow) {
                    reset(context, &service, flow, &served);
                }
            }
            context.record(Event::of(Decision::RunEnded).value(over.len() as u64));
        }
        let member = self.health.member().map(Arc::as_ref);
        let domains = [&context.me.domain].into_iter().chain(member.map(|m| &m.domain));
        self.gate.update(&context.view, domains);
        let warm_up = context.view.routes.published().warm_up(self.health.service(context));
        self.warm_up.update(warm_up, member, now);
    }

    /// Records that the agent runs.
    pub fn record_run(&mut self, now: Moment) {
        let stalled = self.gate.record_run(now);
        if !stalled.is_zero() {
            self.warm_up.stalled(stalled, now);
        }
    }

    /// Passes an opening packet to the backend server.
    pub fn offer(
        &mut self,
        context: &mut AgentContext,
        packet: &Packet,
        entry: SocketAddr,
        placer: Option<SocketAddr>,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        if !self.pass_opening(context, &flow, now) {
            return;
        }
        let waited = retransmit_delay(&packet.segment);
        self.end_followed(context, &packet.segment, now);
        let caller_isn = Some(packet.segment.seq);
        let opening = Flow::<Opening>::open(Some(entry), placer, now);
        let opening = Flow { waited, caller_isn, ..opening };
        if !self.has_answered(&packet.segment) {
            self.waiting.expect(flow, now);
            if !self.served.put(flow, opening) {
                context.tally.add(Reason::FlowsFull);
            }
        }
        context.act(Action::Backend(packet.clone()));
    }

    /// Returns whether the backend server has the flow of a caller's packet with
    /// acknowledgement number `ack`.
    ///
    /// # Errors
    ///
    /// Returns why it does not, or why that is not known.
    pub fn owns(&self, flow: &FlowKey, ack: Option<u32>) -> Result<(), NotServed> {
        match self.served.get(flow) {
            Some(ServedFlow::Opening(_)) => Err(NotServed::Unknown),
            Some(served) if served.is_acked_by(ack) => Ok(()),
            None if !self.health.is_complete() => Err(NotServed::Unknown),
            _ => Err(NotServed::Absent),
        }
    }

    /// Ends a flow if a packet opens a later one between the same addresses.
    fn end_followed(&mut self, context: &mut AgentContext, segment: &Segment, now: Moment) {
        if self.served.get(&segment.flow).is_some_and(|s| s.is_followed_by(segment)) {
            self.end(context, &segment.flow, now);
        }
    }

    /// Passes a packet of an unknown flow to the backend server, which returns
    /// it if it does not have the flow.
    pub fn probe(
        &mut self,
        context: &mut AgentContext,
        packet: &Packet,
        entry: SocketAddr,
        home: Option<SocketAddr>,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        if !self.probes.add(flow, entry, home, now) {
            context.tally.add(Reason::HeldFull);
            return;
        }
        context.record(Event::of(Decision::Probed).flow(flow).peer(home.unwrap_or(entry)));
        context.act(Action::Backend(packet.clone()));
    }

    /// Removes the probe of a flow whose packet the backend server returned.
    pub fn take_probe(&mut self, flow: &FlowKey) -> Option<Probe> {
        self.probes.take(flow)
    }

    /// Removes a flow whose opening packet the backend server returned. Returns
    /// the agent that placed the flow, which is `Some(None)` for this one, or
    /// `None` if the flow was not opening.
    pub fn take_refused(&mut self, flow: &FlowKey, now: Moment) -> Option<Option<SocketAddr>> {
        match self.served.get(flow) {
            Some(ServedFlow::Opening(f)) => {
                let placer = f.placer;
                self.served.remove(flow);
                self.waiting.cancel(flow);
                self.waiting.lost(self.health.slots(), now);
                Some(placer)
            }
            _ => None,
        }
    }

    /// Returns whether packets of both ends have shown that the backend server
    /// has the flow. If it returns a packet of such a flow, the flow is over.
    pub fn is_proven(&self, flow: &FlowKey) -> bool {
        self.served.get(flow).is_some_and(ServedFlow::is_proven)
    }

    /// Records a packet that any run of the backend server may have sent.
    pub fn heard(&mut self, now: Moment) {
        self.warm_up.record_packet(now);
        self.health.heard(now);
    }

    /// Updates the state of the keep-alive connection to the backend server.
    pub fn update_keep_alive(
        &mut self,
        context: &mut AgentContext,
        keep_alive: KeepAlive,
        now: Moment,
    ) {
        match keep_alive {
            KeepAlive::Open if self.health.keep_alive() != KeepAlive::Open => {
                self.warm_up.record_start(now);
            }
            KeepAlive::Closed if self.health.keep_alive() == KeepAlive::Open => {
                self.warm_up.record_end();
            }
            KeepAlive::Refused => self.warm_up.record_absence(now),
            KeepAlive::Open | KeepAlive::Closed => {}
        }
        if self.health.update_keep_alive(keep_alive, now) {
            self.mark_dead(context, now);
        }
    }

    /// Handles a refusal of packets by the backend server's address.
    pub fn handle_refusal(&mut self, context: &mut AgentContext, now: Moment) {
        self.warm_up.record_absence(now);
        if self.health.refused(now) {
            self.mark_dead(context, now);
        }
    }

    /// Leaves a time in which this process did not run out of the backend server's
    /// silence.
    pub fn stalled(&mut self, time: Duration, now: Moment) {
        self.health.stalled(time, now);
    }

    /// Restarts timeouts after a pause of this process.
    pub fn woke(&mut self, now: Moment) {
        self.health.woke(now);
    }

    /// Ends a flow.
    pub fn end(&mut self, context: &mut AgentContext, flow: &FlowKey, now: Moment) {
        self.cancel_request(flow, now);
        let Some(served) = self.served.remove(flow) else { return };
        let service = self.service(context).clone();
        release(context, &service, flow, &served);
    }

    /// Adds flows that an earlier run of this agent owned.
    pub fn recover(
        &mut self,
        context: &mut AgentContext,
        flows: &[(FlowKey, Option<u32>)],
        now: Moment,
    ) {
        let mut count = 0;
        for (flow, isn) in flows {
            if self.served.get(flow).is_none() {
                self.served.put(*flow, Flow::<Established>::learn(None, *isn, now));
                count += 1;
            }
        }
        context.record(Event::of(Decision::Recovered).value(count));
    }

    /// Returns claims of the flows that `wanted` selects, one message for each datagram.
    pub fn claims(&mut self, wanted: impl Fn(&FlowKey) -> bool, now: Moment) -> Vec<Message> {
        let load = self.load(now);
        let answered = self.served.iter().filter(|(flow, s)| s.is_answered() && wanted(flow));
        let flows: Vec<_> = answered.map(|(flow, served)| (*flow, served.isn())).collect();
        let claim = |part: &[_]| Message::Claim { flows: part.to_vec(), load };
        flows.chunks(FLOWS_PER_DATAGRAM).map(claim).collect()
    }

    /// Handles timeouts; returns the flows whose opening packets were not
    /// answered in time.
    pub fn tick(
        &mut self,
        context: &mut AgentContext,
        now: Moment,
    ) -> Vec<(FlowKey, Flow<Opening>)> {
        for flow in self.waiting.expire(now) {
            let event = Event::of(Decision::Dropped).reason(Reason::Expired).flow(flow);
            context.record(event);
        }
        self.start_queued(context, now);
        let late = self.served.unanswered(now - ANSWER_TIMEOUT);
        for (flow, opening) in &late {
            self.served.remove(flow);
            self.overdue.add(*flow, opening.state.offered);
            self.waiting.cancel(flow);
            self.waiting.lost(self.health.slots(), now);
            if self.health.missed(now) {
                let event = Event::of(Decision::BackendSilent).reason(Reason::Shed);
                context.record(event.flow(*flow));
            }
        }
        if self.health.tick(context, now) {
            self.mark_dead(context, now);
        }
        late
    }

    /// Removes expired flows and probes.
    pub fn expire(&mut self, context: &mut AgentContext, now: Moment) {
        let service = self.service(context).clone();
        for (flow, served) in self.served.expire(context.idle(), now) {
            if let ServedFlow::Established(f) = served
                && let Some(Request::Started(_)) = f.state.request
            {
                self.waiting.abandon(now);
            }
            release(context, &service, &flow, &served);
        }
        self.overdue.expire(now);
        self.probes.expire(now);
    }

    /// Records that the backend server is dead, and resets its flows.
    fn mark_dead(&mut self, context: &mut AgentContext, now: Moment) {
        context.record(Event::of(Decision::BackendDead).value(self.served.count() as u64));
        let service = self.service(context).clone();
        for (flow, served) in self.served.drain() {
            reset(context, &service, &flow, &served);
        }
        self.waiting.clear(now);
        self.health.bury();
    }
}

/// Resets a flow of `service` that is over.
fn reset(context: &mut AgentContext, service: &Name, flow: &FlowKey, served: &ServedFlow) {
    if let ServedFlow::Established(f) = served
        && !f.is_closed()
    {
        context.record(Event::of(Decision::Reset).reason(Reason::NotHere).flow(*flow));
        context.act(Action::Reset { flow: *flow, seq: f.state.ack });
    }
    release(context, service, flow, served);
}

/// Returns how long its caller had waited when it sent an opening packet.
pub fn retransmit_delay(opening: &Segment) -> Duration {
    RETRANSMIT_DELAYS.get(usize::from(opening.attempt)).copied().unwrap_or_default()
}

/// Tells the homes of a flow of `service` that its owner no longer has it.
fn release(context: &mut AgentContext, service: &Name, flow: &FlowKey, served: &ServedFlow) {
    if matches!(served, ServedFlow::Opening(_)) {
        return;
    }
    for home in context.homes(service, flow) {
        if home != context.me.link {
            context.send(home, Message::Release { flow: *flow });
        }
    }
}
