//! The backend server beside an agent: its flows, queued requests and liveness.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::action::Action;
use super::action::Phase;
use super::context::AgentContext;
use super::event::Decision;
use super::event::Event;
use super::message::Message;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Flags;
use crate::connection::segment::Packet;
use crate::connection::segment::Segment;
use crate::connection::served_flows::Established;
use crate::connection::served_flows::Flow;
use crate::connection::served_flows::Opening;
use crate::connection::served_flows::Request;
use crate::connection::served_flows::ServedFlow;
use crate::connection::served_flows::ServedFlows;
use crate::process::liveness::Condition;
use crate::process::liveness::DEAD_AFTER;
use crate::process::liveness::KeepAlive;
use crate::process::liveness::Liveness;
use crate::process::own_entry::OwnEntry;
use crate::request::load_meter::Load;
use crate::request::load_meter::LoadMeter;
use crate::request::request_queue::QueuedRequest;
use crate::request::request_queue::RequestQueue;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::version::member::Member;
use crate::version::member::MemberState;

/// Time for the backend server to answer an opening packet.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Requests passed to the backend server beyond its slots, so that a slot is
/// used again at once when it becomes free.
const QUEUE_AHEAD: u32 = 1;
/// Allowance for the way from and to the caller and for opening the flow; a
/// request's time limits are shortened by it.
const TRANSIT_TIME: Duration = Duration::from_millis(12);
/// Time within which the backend server may return the packet of a probe.
const PROBE_TTL: Duration = Duration::from_secs(1);
/// Maximum number of outstanding probes.
const MAX_PROBES: usize = 4_096;
/// Time after the first opening packet at which the caller sends each copy.
const RETRANSMIT_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
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

/// A packet of an unknown flow that was passed to the backend server, which
/// returns it if it does not have the flow.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The home that searches for the flow; none if the packet came directly
    /// from an entry.
    pub home: Option<SocketAddr>,
    /// Entry that received the packet.
    pub entry: SocketAddr,
    at: Moment,
}

/// An agent's state of its backend server.
#[derive(Debug)]
pub struct LocalBackend {
    member: Option<Arc<Member>>,
    own_entry: OwnEntry,
    served: ServedFlows,
    probes: HashMap<FlowKey, Probe>,
    queue: RequestQueue,
    meter: LoadMeter,
    liveness: Liveness,
    // Whether the table has every flow of the backend server.
    complete: bool,
    // State of the keep-alive connection to the backend server.
    keep_alive: KeepAlive,
    // When the last packet of the backend server came, or this agent started.
    last_heard: Moment,
    // Since when the fresh roster has not listed the backend server.
    missing_since: Option<Moment>,
    leaving: bool,
}

impl LocalBackend {
    /// Creates the state of a backend server that is not known yet. `complete`
    /// tells that it has no flows.
    pub fn open(complete: bool, now: Moment) -> Self {
        Self {
            member: None,
            own_entry: OwnEntry::default(),
            served: ServedFlows::default(),
            probes: HashMap::new(),
            queue: RequestQueue::default(),
            meter: LoadMeter::open(now),
            liveness: Liveness::open(now),
            complete,
            keep_alive: KeepAlive::Closed,
            last_heard: now,
            missing_since: None,
            leaving: false,
        }
    }

    /// Returns the service of the backend server.
    pub fn service<'a>(&'a self, context: &'a AgentContext) -> &'a Name {
        self.member.as_ref().map_or(&context.me.service, |m| &m.service)
    }

    /// Returns the flow table.
    pub fn served(&self) -> &ServedFlows {
        &self.served
    }

    /// Returns whether the backend server accepts new flows.
    pub fn accepts_flows(&self, now: Moment) -> bool {
        let ready = self.member.as_ref().is_some_and(|m| m.standing == MemberState::Ready);
        ready && !self.leaving && self.liveness.takes_work(now)
    }

    /// Returns whether the routes in force send the flow, if it is new, to the backend
    /// server's service.
    pub fn is_routed(&self, context: &AgentContext, flow: &FlowKey) -> bool {
        let route = context.view.routes.route(flow.service);
        route.and_then(|r| r.service(flow.hash())) == Some(self.service(context))
    }

    /// Returns whether the backend server has answered the flow's opening packet.
    pub fn has_answered(&self, flow: &FlowKey) -> bool {
        matches!(self.served.get(flow), Some(ServedFlow::Answered(_) | ServedFlow::Established(_)))
    }

    /// Returns whether the table has every flow of the backend server.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the load that is reported to other agents.
    pub fn load(&mut self, now: Moment) -> Load {
        self.meter.load(self.slots(), self.queue.count(), self.served.count(), now)
    }

    /// Begins a planned stop of the agent: no new flows are accepted.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Applies the roster's entry of the backend server.
    pub fn update_member(&mut self, context: &mut AgentContext, now: Moment) {
        let confirmed = self.own_entry.is_confirmed();
        let (me, view) = (&context.me, &context.view);
        let listed = view.roster.holder(me.backend);
        let member = self.own_entry.check(listed, &me.service, view, me.entry_ttl, now);
        match (&self.member, &member) {
            (Some(old), Some(new)) if !old.same_run(new) && !confirmed => {
                // The flows may be those of the run that was there all the while; if not,
                // the backend server returns their packets.
                self.liveness = Liveness::open(now);
            }
            (Some(old), Some(new)) if !old.same_run(new) => {
                // Another run has the address, so the one before it is gone.
                self.reset_flows(context, now);
                self.complete = true;
                self.liveness = Liveness::open(now);
            }
            (None, Some(_)) => self.liveness = Liveness::open(now),
            _ => {}
        }
        let changed = match (&self.member, &member) {
            (Some(old), Some(new)) => !old.same_run(new) || old.standing != new.standing,
            (old, new) => old.is_some() != new.is_some(),
        };
        if changed {
            let reason = match &member {
                Some(m) if m.standing == MemberState::Ready => None,
                _ => Some(Reason::Leaving),
            };
            let event =
                Event::of(Decision::Registered).value(context.view.roster.revision().number);
            context.record(Event { reason, ..event });
        }
        // A backend server that a stale roster lacks may come back, so its last
        // entry still applies.
        if member.is_some() || context.view.fresh {
            self.member = member;
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
        let waited =
            RETRANSMIT_DELAYS.get(usize::from(packet.segment.attempt)).copied().unwrap_or_default();
        self.end_followed(context, &packet.segment, now);
        let caller_isn = Some(packet.segment.seq);
        let opening = Flow::<Opening>::open(Some(entry), placer, now);
        let opening = Flow { waited, caller_isn, ..opening };
        if !self.has_answered(&flow) && !self.served.put(flow, opening) {
            context.tally.add(Reason::FlowsFull);
        }
        context.act(Action::Backend(packet.clone()));
    }

    /// Passes a packet of a flow that is served here to the backend server, or queues it.
    ///
    /// # Errors
    ///
    /// Returns why the packet was not passed on.
    pub fn deliver(
        &mut self,
        context: &mut AgentContext,
        packet: &Packet,
        entry: SocketAddr,
        now: Moment,
    ) -> Result<(), NotServed> {
        let segment = &packet.segment;
        self.end_followed(context, segment, now);
        let missing = if self.complete { NotServed::Absent } else { NotServed::Unknown };
        let served = self.served.get_mut(&segment.flow).ok_or(missing)?;
        match served {
            ServedFlow::Opening(flow) => flow.entry = Some(entry),
            ServedFlow::Answered(flow) if segment.is_opening() => flow.entry = Some(entry),
            ServedFlow::Answered(flow) if segment.completes_handshake(flow.state.isn) => {
                *served = flow.establish(now).into();
            }
            // The caller chose another backend server that answered too.
            ServedFlow::Answered(_) => return Err(NotServed::Absent),
            ServedFlow::Established(flow) => {
                let other = |isn| segment.flags.acks && segment.acked_bytes(isn).is_none();
                if flow.state.isn.is_some_and(other) {
                    return Err(NotServed::Absent);
                }
            }
        }
        if let ServedFlow::Established(flow) = served {
            flow.entry = Some(entry);
            let begins = flow.from_caller(segment, now);
            if segment.flags.aborts {
                self.end(context, &segment.flow, now);
            } else if segment.flags.closes && self.queue.add_packet(packet) {
                // The caller may still wait for the answer to its queued request.
                return Ok(());
            } else if segment.flags.closes {
                self.cancel_request(&segment.flow, now);
            } else if begins && self.enqueue(context, packet, now) {
                self.start_queued(context, now);
                return Ok(());
            } else if segment.len > 0 && self.queue.add_packet(packet) {
                return Ok(());
            }
        }
        context.act(Action::Backend(packet.clone()));
        Ok(())
    }

    /// Returns whether the backend server has the flow of a caller's packet with
    /// acknowledgement number `ack`.
    ///
    /// # Errors
    ///
    /// Returns why it does not, or why that is not known.
    pub fn owns(&self, flow: &FlowKey, ack: Option<u32>) -> Result<(), NotServed> {
        let flags = Flags { acks: ack.is_some(), ..Flags::default() };
        let ack = ack.unwrap_or_default();
        let segment = Segment { flow: *flow, flags, seq: 0, ack, len: 0, attempt: 0 };
        let owned = match self.served.get(flow) {
            Some(ServedFlow::Opening(_)) => return Err(NotServed::Unknown),
            Some(ServedFlow::Answered(f)) => segment.completes_handshake(f.state.isn),
            Some(ServedFlow::Established(f)) => {
                let acked = |isn| segment.acked_bytes(isn).is_some();
                !flags.acks || f.state.isn.is_none_or(acked)
            }
            None if !self.complete => return Err(NotServed::Unknown),
            None => false,
        };
        if owned { Ok(()) } else { Err(NotServed::Absent) }
    }

    /// Ends a flow if a packet opens a later one between the same addresses.
    fn end_followed(&mut self, context: &mut AgentContext, segment: &Segment, now: Moment) {
        if self.served.get(&segment.flow).is_some_and(|s| s.is_followed_by(segment)) {
            self.end(context, &segment.flow, now);
        }
    }

    /// Cancels the request of a flow that gets no answer.
    fn cancel_request(&mut self, flow: &FlowKey, now: Moment) {
        let Some(ServedFlow::Established(f)) = self.served.get_mut(flow) else { return };
        match f.state.request.take() {
            Some(Request::Started(_)) => self.meter.abandon(now),
            Some(Request::Waiting) => drop(self.queue.remove(flow)),
            None => {}
        }
    }

    /// Queues a request until a slot is free; returns false if it can't be queued.
    fn enqueue(&mut self, context: &AgentContext, packet: &Packet, now: Moment) -> bool {
        let flow = packet.segment.flow;
        let Some(route) = context.view.routes.route(flow.service) else {
            self.begin_request(&flow, now);
            return false;
        };
        // Only the first request of a flow can have waited for its opening.
        let waited = match self.served.get_mut(&flow) {
            Some(ServedFlow::Established(f)) => std::mem::take(&mut f.waited) + TRANSIT_TIME,
            _ => TRANSIT_TIME,
        };
        let request = QueuedRequest {
            packets: vec![packet.clone()],
            since: now,
            priority: route.priority,
            target: now + route.target_latency.saturating_sub(waited),
            deadline: now + route.timeout.saturating_sub(waited),
        };
        let queued = self.queue.push(flow, request);
        if !queued {
            self.begin_request(&flow, now);
        }
        queued
    }

    /// Records that a request is passed to the backend server.
    fn begin_request(&mut self, flow: &FlowKey, now: Moment) {
        if let Some(ServedFlow::Established(flow)) = self.served.get_mut(flow) {
            flow.start(now);
            self.meter.begin(now);
        }
    }

    /// Passes queued requests to the backend server while it has free slots.
    fn start_queued(&mut self, context: &mut AgentContext, now: Moment) {
        while self.meter.busy() < self.slots().saturating_add(QUEUE_AHEAD) {
            let Some((flow, request)) = self.queue.pop(self.meter.service_time(), now) else {
                return;
            };
            self.begin_request(&flow, now);
            let held = now.since(request.since);
            context.act(Action::Measured(Phase::Held, held));
            if now + self.meter.service_time() > request.target {
                let event = Event::of(Decision::Late).reason(Reason::Deadline).flow(flow);
                context.record(event.value(held.as_micros() as u64));
            }
            for packet in request.packets {
                context.act(Action::Backend(packet));
            }
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
        if self.probes.len() >= MAX_PROBES {
            context.tally.add(Reason::HeldFull);
            return;
        }
        let flow = packet.segment.flow;
        self.probes.insert(flow, Probe { home, entry, at: now });
        context.record(Event::of(Decision::Probed).flow(flow).peer(home.unwrap_or(entry)));
        context.act(Action::Backend(packet.clone()));
    }

    /// Removes the probe of a flow whose packet the backend server returned.
    pub fn take_probe(&mut self, flow: &FlowKey) -> Option<Probe> {
        self.probes.remove(flow)
    }

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
        self.last_heard = now;
        if segment.flags.opens {
            self.liveness.heard(now);
        } else {
            // Only the run that accepted the flow's opening packet has the flow.
            self.mark_working(context, now);
        }
        self.probes.remove(&segment.flow);
        let flow = segment.flow;
        if segment.flags.aborts {
            self.end(context, &flow, now);
            return None;
        }
        let before = self.served.get(&flow).copied();
        let answers = segment.flags.opens;
        let after = match before {
            Some(ServedFlow::Opening(f)) if answers => {
                context.act(Action::Measured(Phase::Opening, now.since(f.state.offered)));
                f.answer(segment.seq, now).into()
            }
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

    /// Applies a packet of the backend server to its flow, and ends the request
    /// that it begins to answer.
    fn apply_reply(
        &mut self,
        context: &mut AgentContext,
        mut flow: Flow<Established>,
        segment: &Segment,
        now: Moment,
    ) -> ServedFlow {
        match flow.from_backend(segment, now) {
            // A close without an answer says nothing about the backend server's speed.
            Some(_) if segment.len == 0 => self.meter.abandon(now),
            Some(started) => {
                let took = now.since(started);
                self.meter.end(took, self.slots(), now);
                context.act(Action::Measured(Phase::Service, took));
            }
            None => {}
        }
        flow.into()
    }

    /// Removes a flow whose opening packet the backend server returned. Returns
    /// the agent that placed the flow, which is `Some(None)` for this one, or
    /// `None` if the flow was not opening.
    pub fn take_refused(&mut self, flow: &FlowKey) -> Option<Option<SocketAddr>> {
        match self.served.get(flow) {
            Some(ServedFlow::Opening(f)) => {
                let placer = f.placer;
                self.served.remove(flow);
                Some(placer)
            }
            _ => None,
        }
    }

    /// Returns whether packets of both ends have shown that the backend server
    /// has the flow. If it returns a packet of such a flow, the flow is over.
    pub fn is_proven(&self, flow: &FlowKey) -> bool {
        match self.served.get(flow) {
            Some(ServedFlow::Established(f)) => f.state.proven,
            _ => false,
        }
    }

    /// Records a packet that any run of the backend server may have sent.
    pub fn heard(&mut self, now: Moment) {
        self.last_heard = now;
        self.liveness.heard(now);
    }

    /// Updates the state of the keep-alive connection to the backend server.
    pub fn update_keep_alive(
        &mut self,
        context: &mut AgentContext,
        keep_alive: KeepAlive,
        now: Moment,
    ) {
        self.keep_alive = keep_alive;
        match keep_alive {
            KeepAlive::Open => self.liveness.connected(now),
            // A backend server that still sends packets has merely too many connections.
            KeepAlive::Refused if now.since(self.last_heard) >= DEAD_AFTER => {
                self.handle_refusal(context, now)
            }
            KeepAlive::Refused | KeepAlive::Closed => {}
        }
    }

    /// Handles a refusal of packets by the backend server's address.
    pub fn handle_refusal(&mut self, context: &mut AgentContext, now: Moment) {
        if self.liveness.refused(now) {
            self.mark_dead(context, now);
        }
    }

    /// Leaves a time in which this process did not run out of the backend server's
    /// silence.
    pub fn stalled(&mut self, time: Duration, now: Moment) {
        self.liveness.stalled(time, now);
    }

    /// Restarts timeouts after a pause of this process.
    pub fn woke(&mut self, now: Moment) {
        self.liveness.woke(now);
    }

    /// Ends a flow.
    pub fn end(&mut self, context: &mut AgentContext, flow: &FlowKey, now: Moment) {
        self.cancel_request(flow, now);
        let Some(served) = self.served.remove(flow) else { return };
        self.release(context, flow, &served);
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
        let claimed = |s: &ServedFlow| !matches!(s, ServedFlow::Opening(_));
        let flows: Vec<_> = self
            .served
            .iter()
            .filter(|(flow, served)| claimed(served) && wanted(flow))
            .map(|(flow, served)| (*flow, served.isn()))
            .collect();
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
        for flow in self.queue.expire(now) {
            let event = Event::of(Decision::Dropped).reason(Reason::Expired).flow(flow);
            context.record(event);
        }
        self.start_queued(context, now);
        let late = self.served.unanswered(now - ANSWER_TIMEOUT);
        for (flow, _) in &late {
            self.served.remove(flow);
            if self.liveness.missed(now) {
                let event = Event::of(Decision::BackendSilent).reason(Reason::Shed);
                context.record(event.flow(*flow));
            }
        }
        if self.keep_alive == KeepAlive::Open {
            self.liveness.connected(now);
        }
        self.check_entry(context, now);
        if self.liveness.tick(context.me.reuse_delay, now) {
            match self.liveness.condition() {
                Condition::Dead => self.mark_dead(context, now),
                _ => context.record(Event::of(Decision::BackendUnproven)),
            }
        }
        // The entry of a dead backend server is removed after `entry_ttl`, so
        // one that is still there belongs to a running backend server.
        let expired = |since: Moment| context.view.read_at >= since + context.me.entry_ttl;
        let renewed = self.liveness.suspect_since().is_some_and(expired);
        if renewed && context.view.fresh && self.member.is_some() {
            self.mark_working(context, now);
        }
        late
    }

    /// Declares a backend server dead whose entry was removed and did not come
    /// back, if nothing else shows that it runs.
    fn check_entry(&mut self, context: &mut AgentContext, now: Moment) {
        let absent = context.view.fresh && context.view.roster.holder(context.me.backend).is_none();
        let Some(since) = absent.then(|| *self.missing_since.get_or_insert(now)) else {
            self.missing_since = None;
            return;
        };
        let silent = self.last_heard <= since && self.keep_alive != KeepAlive::Open;
        if silent && !self.complete && now.since(since) >= context.me.entry_ttl {
            self.mark_dead(context, now);
        }
    }

    /// Removes expired flows and probes.
    pub fn expire(&mut self, context: &mut AgentContext, now: Moment) {
        for (flow, served) in self.served.expire(context.idle(), now) {
            if let ServedFlow::Established(f) = served
                && let Some(Request::Started(_)) = f.state.request
            {
                self.meter.abandon(now);
            }
            self.release(context, &flow, &served);
        }
        self.probes.retain(|_, p| now.since(p.at) < PROBE_TTL);
    }

    fn slots(&self) -> u32 {
        self.member.as_ref().map_or(1, |m| m.slots)
    }

    /// Tells the homes of a flow that its owner no longer has it.
    fn release(&self, context: &mut AgentContext, flow: &FlowKey, served: &ServedFlow) {
        if matches!(served, ServedFlow::Opening(_)) {
            return;
        }
        let service = self.service(context).clone();
        for home in context.homes(&service, flow) {
            if home != context.me.link {
                context.send(home, Message::Release { flow: *flow });
            }
        }
    }

    /// Records proof that the registered run of the backend server works.
    fn mark_working(&mut self, context: &mut AgentContext, now: Moment) {
        if self.liveness.condition() != Condition::Working {
            context.record(Event::of(Decision::BackendBack));
        }
        self.liveness.proven(now);
    }

    /// Records that the backend server is dead, and resets its flows.
    fn mark_dead(&mut self, context: &mut AgentContext, now: Moment) {
        context.record(Event::of(Decision::BackendDead).value(self.served.count() as u64));
        self.reset_flows(context, now);
        self.complete = true;
    }

    /// Resets the flows of a backend server that is gone.
    fn reset_flows(&mut self, context: &mut AgentContext, now: Moment) {
        let flows: Vec<_> = self.served.drain().collect();
        for (flow, served) in flows {
            if let ServedFlow::Established(f) = &served
                && !f.is_closed()
            {
                context.record(Event::of(Decision::Reset).reason(Reason::NotHere).flow(flow));
                context.act(Action::Reset { flow, seq: f.state.ack });
            }
            self.release(context, &flow, &served);
        }
        self.meter.clear(now);
        self.queue.clear();
    }
}
