//! An agent's side towards its backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::desk::Desk;
use super::event::Decision;
use super::event::Event;
use super::message::Message;
use super::step::Span;
use super::step::Step;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::connection::segment::Segment;
use crate::connection::served_flows::Established;
use crate::connection::served_flows::Flow;
use crate::connection::served_flows::Opening;
use crate::connection::served_flows::Request;
use crate::connection::served_flows::ServedFlow;
use crate::connection::served_flows::ServedFlows;
use crate::process::vitals::Condition;
use crate::process::vitals::DEAD_AFTER;
use crate::process::vitals::Lifeline;
use crate::process::vitals::Vitals;
use crate::request::load_meter::Load;
use crate::request::load_meter::LoadMeter;
use crate::request::request_queue::QueuedRequest;
use crate::request::request_queue::RequestQueue;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::version::member::Member;
use crate::version::member::Standing;

/// Time for the backend server to answer an opening packet.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Requests passed to the backend server beyond its slots, so that a slot which
/// becomes free is used at once.
const AHEAD: u32 = 1;
/// Time on the way from and to the caller, and for the opening.
const WAY: Duration = Duration::from_millis(12);
/// Time for which an offered packet of an unknown flow may be given back.
const OFFER_LIFE: Duration = Duration::from_secs(1);
/// Unknown flows offered at once at most.
const MAX_OFFERS: usize = 4_096;
/// Time since the first opening packet at which each copy is sent.
const COPIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Flows told in one datagram.
const FLOWS_A_DATAGRAM: usize = 30;

/// Why a packet can't be passed to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServed {
    /// The flow is not in the table, which has all flows.
    Absent,
    /// The flow is not in the table, but the backend server may have it.
    Unknown,
}

/// A packet of an unknown flow that the backend server may give back.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The home that searches for the flow, unless the entry sent it here.
    pub home: Option<SocketAddr>,
    /// Entry that took the packet.
    pub entry: SocketAddr,
    at: Moment,
}

/// The backend server as its agent sees it.
#[derive(Debug)]
pub struct Host {
    member: Option<Arc<Member>>,
    served: ServedFlows,
    offers: HashMap<FlowKey, Offer>,
    waiting: RequestQueue,
    pace: LoadMeter,
    vitals: Vitals,
    // Whether the table has every flow of the backend server.
    complete: bool,
    // The connection to the backend server.
    lifeline: Lifeline,
    // When a packet of the backend server last came, or else this agent started.
    heard: Moment,
    // Since when the roster, which is fresh, has not had the backend server.
    missing: Option<Moment>,
    leaving: bool,
}

impl Host {
    /// Opens for a backend server of which nothing is known.
    pub fn open(complete: bool, now: Moment) -> Self {
        Self {
            member: None,
            served: ServedFlows::default(),
            offers: HashMap::new(),
            waiting: RequestQueue::default(),
            pace: LoadMeter::open(now),
            vitals: Vitals::open(now),
            complete,
            lifeline: Lifeline::Closed,
            heard: now,
            missing: None,
            leaving: false,
        }
    }

    /// Returns the service of the backend server.
    pub fn service<'a>(&'a self, desk: &'a Desk) -> &'a Name {
        self.member.as_ref().map_or(&desk.me.service, |m| &m.service)
    }

    /// Returns the flow table.
    pub fn served(&self) -> &ServedFlows {
        &self.served
    }

    /// Returns whether the backend server takes new flows.
    pub fn takes(&self, now: Moment) -> bool {
        let ready = self.member.as_ref().is_some_and(|m| m.standing == Standing::Ready);
        ready && !self.leaving && self.vitals.takes_work(now)
    }

    /// Returns whether the backend server has answered the flow's opening packet.
    pub fn holds(&self, flow: &FlowKey) -> bool {
        matches!(self.served.get(flow), Some(ServedFlow::Answered(_) | ServedFlow::Established(_)))
    }

    /// Returns whether the table has every flow of the backend server.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the load that others are told.
    pub fn load(&mut self, now: Moment) -> Load {
        self.pace.load(self.slots(), self.waiting.count(), self.served.count(), now)
    }

    /// Takes in a planned stop of the agent.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in what the roster says of the backend server.
    pub fn enforce(&mut self, desk: &mut Desk, now: Moment) {
        let member = desk.view.roster.holder(desk.me.backend).cloned();
        match (&self.member, &member) {
            (Some(old), Some(new)) if !old.same_run(new) => {
                // Another run has the address, so the one before it is gone.
                self.forget_all(desk, now);
                self.complete = true;
                self.vitals = Vitals::open(now);
            }
            (None, Some(_)) => self.vitals = Vitals::open(now),
            _ => {}
        }
        let changed = match (&self.member, &member) {
            (Some(old), Some(new)) => !old.same_run(new) || old.standing != new.standing,
            (old, new) => old.is_some() != new.is_some(),
        };
        if changed {
            let reason = match &member {
                Some(m) if m.standing == Standing::Ready => None,
                _ => Some(Reason::Leaving),
            };
            let event = Event::of(Decision::Registered).value(desk.view.roster.revision());
            desk.record(Event { reason, ..event });
        }
        // A run that is only missing may come back; what it was still counts.
        if member.is_some() || desk.view.fresh {
            self.member = member;
        }
    }

    /// Passes an opening packet to the backend server.
    pub fn offer(
        &mut self,
        desk: &mut Desk,
        packet: &Packet,
        entry: SocketAddr,
        placer: Option<SocketAddr>,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        let waited = COPIES.get(usize::from(packet.segment.attempt)).copied().unwrap_or_default();
        let opening = Flow { waited, ..Flow::<Opening>::open(Some(entry), placer, now) };
        if !self.holds(&flow) && !self.served.put(flow, opening) {
            desk.tally.add(Reason::FlowsFull);
        }
        desk.step(Step::Backend(packet.clone()));
    }

    /// Passes a packet of a flow that is served here to the backend server.
    ///
    /// # Errors
    ///
    /// Returns why the packet was not passed on.
    pub fn deliver(
        &mut self,
        desk: &mut Desk,
        packet: &Packet,
        entry: SocketAddr,
        now: Moment,
    ) -> Result<(), NotServed> {
        let segment = &packet.segment;
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
                self.end(desk, &segment.flow, now);
            } else if segment.flags.closes && self.waiting.add_packet(packet) {
                // The caller may still want the answer to what it sent before.
                return Ok(());
            } else if segment.flags.closes {
                self.give_up(&segment.flow, now);
            } else if begins && self.wait(desk, packet, now) {
                self.start_waiting(desk, now);
                return Ok(());
            } else if segment.len > 0 && self.waiting.add_packet(packet) {
                return Ok(());
            }
        }
        desk.step(Step::Backend(packet.clone()));
        Ok(())
    }

    /// Ends the request of a flow without an answer.
    fn give_up(&mut self, flow: &FlowKey, now: Moment) {
        let Some(ServedFlow::Established(f)) = self.served.get_mut(flow) else { return };
        match f.state.request.take() {
            Some(Request::Started(_)) => self.pace.abandon(now),
            Some(Request::Waiting) => drop(self.waiting.remove(flow)),
            None => {}
        }
    }

    /// Lets a request wait for a slot; returns false if it can't.
    fn wait(&mut self, desk: &Desk, packet: &Packet, now: Moment) -> bool {
        let flow = packet.segment.flow;
        let Some(route) = desk.view.routes.route(flow.service) else {
            self.begin(&flow, now);
            return false;
        };
        // Only the first request of a flow can have waited for its opening.
        let waited = match self.served.get_mut(&flow) {
            Some(ServedFlow::Established(f)) => std::mem::take(&mut f.waited) + WAY,
            _ => WAY,
        };
        let waiting = QueuedRequest {
            packets: vec![packet.clone()],
            since: now,
            priority: route.priority,
            target: now + route.aim.saturating_sub(waited),
            deadline: now + route.timeout.saturating_sub(waited),
        };
        let waits = self.waiting.push(flow, waiting);
        if !waits {
            self.begin(&flow, now);
        }
        waits
    }

    /// Takes in that a request is passed to the backend server.
    fn begin(&mut self, flow: &FlowKey, now: Moment) {
        if let Some(ServedFlow::Established(flow)) = self.served.get_mut(flow) {
            flow.start(now);
            self.pace.begin(now);
        }
    }

    /// Passes requests that wait to free slots.
    fn start_waiting(&mut self, desk: &mut Desk, now: Moment) {
        while self.pace.busy() < self.slots().saturating_add(AHEAD) {
            let Some((flow, waiting)) = self.waiting.pop(self.pace.service_time(), now) else {
                return;
            };
            self.begin(&flow, now);
            let held = now.since(waiting.since);
            desk.step(Step::Measured(Span::Held, held));
            if now + self.pace.service_time() > waiting.target {
                let event = Event::of(Decision::Late).why(Reason::Deadline).flow(flow);
                desk.record(event.value(held.as_micros() as u64));
            }
            for packet in waiting.packets {
                desk.step(Step::Backend(packet));
            }
        }
    }

    /// Passes a packet of an unknown flow to the backend server, which gives it
    /// back if it does not have the flow.
    pub fn try_unknown(
        &mut self,
        desk: &mut Desk,
        packet: &Packet,
        entry: SocketAddr,
        home: Option<SocketAddr>,
        now: Moment,
    ) {
        if self.offers.len() >= MAX_OFFERS {
            desk.tally.add(Reason::HeldFull);
            return;
        }
        self.offers.insert(packet.segment.flow, Offer { home, entry, at: now });
        desk.step(Step::Backend(packet.clone()));
    }

    /// Takes out the offer of an unknown flow that was given back.
    pub fn take_offer(&mut self, flow: &FlowKey) -> Option<Offer> {
        self.offers.remove(flow)
    }

    /// Takes in a packet that the backend server sent to a caller.
    ///
    /// Returns the flow's state if others have to be told that it is here.
    pub fn sent(&mut self, desk: &mut Desk, segment: &Segment, now: Moment) -> Option<ServedFlow> {
        self.heard = now;
        if segment.flags.opens {
            self.vitals.heard(now);
        } else {
            // Only the run that took the flow's opening packet has the flow.
            self.proven(desk, now);
        }
        self.offers.remove(&segment.flow);
        let flow = segment.flow;
        if segment.flags.aborts {
            self.end(desk, &flow, now);
            return None;
        }
        let before = self.served.get(&flow).copied();
        let answers = segment.flags.opens;
        let after = match before {
            Some(ServedFlow::Opening(f)) if answers => {
                desk.step(Step::Measured(Span::Opening, now.since(f.state.offered)));
                f.answer(segment.seq, now).into()
            }
            Some(ServedFlow::Answered(f)) if !answers => {
                self.reply(desk, f.establish(now), segment, now)
            }
            Some(ServedFlow::Established(f)) if !answers => self.reply(desk, f, segment, now),
            None if answers => {
                Flow::<Opening>::open(None, None, now).answer(segment.seq, now).into()
            }
            None | Some(ServedFlow::Opening(_)) => {
                let entry = before.and_then(|s| s.entry());
                self.reply(desk, Flow::<Established>::learn(entry, None, now), segment, now)
            }
            Some(served) => served,
        };
        if !self.served.put(flow, after) {
            desk.tally.add(Reason::FlowsFull);
        }
        self.start_waiting(desk, now);
        let news = match &before {
            None | Some(ServedFlow::Opening(_)) => true,
            Some(ServedFlow::Answered(_)) => matches!(after, ServedFlow::Answered(_)),
            Some(ServedFlow::Established(_)) => false,
        };
        news.then_some(after)
    }

    fn reply(
        &mut self,
        desk: &mut Desk,
        mut flow: Flow<Established>,
        segment: &Segment,
        now: Moment,
    ) -> ServedFlow {
        match flow.from_backend(segment, now) {
            // A close without an answer says nothing of the backend server's speed.
            Some(_) if segment.len == 0 => self.pace.abandon(now),
            Some(started) => {
                let took = now.since(started);
                self.pace.end(took, self.slots(), now);
                desk.step(Step::Measured(Span::Service, took));
            }
            None => {}
        }
        flow.into()
    }

    /// Takes in that the backend server gave an opening packet back; returns
    /// the agent that placed the flow.
    pub fn refused_opening(&mut self, flow: &FlowKey) -> Option<Option<SocketAddr>> {
        match self.served.get(flow) {
            Some(ServedFlow::Opening(f)) => {
                let placer = f.placer;
                self.served.remove(flow);
                Some(placer)
            }
            _ => None,
        }
    }

    /// Returns whether a flow that the backend server gave back was its own,
    /// so that it is over.
    pub fn was_ours(&self, flow: &FlowKey) -> bool {
        match self.served.get(flow) {
            Some(ServedFlow::Established(f)) => f.state.proven,
            _ => false,
        }
    }

    /// Takes in a sign of life of the backend server.
    pub fn heard(&mut self, now: Moment) {
        self.heard = now;
        self.vitals.heard(now);
    }

    /// Takes in how the connection to the backend server is.
    pub fn lifeline(&mut self, desk: &mut Desk, lifeline: Lifeline, now: Moment) {
        self.lifeline = lifeline;
        match lifeline {
            Lifeline::Open => self.vitals.connected(now),
            // One that is heard has only too many connections.
            Lifeline::Refused if now.since(self.heard) >= DEAD_AFTER => self.refused(desk, now),
            Lifeline::Refused | Lifeline::Closed => {}
        }
    }

    /// Takes in that the backend server's address refuses packets.
    pub fn refused(&mut self, desk: &mut Desk, now: Moment) {
        if self.vitals.refused(now) {
            self.died(desk, now);
        }
    }

    /// Starts over after a pause of this process.
    pub fn woke(&mut self, now: Moment) {
        self.vitals.woke(now);
    }

    /// Ends a flow.
    pub fn end(&mut self, desk: &mut Desk, flow: &FlowKey, now: Moment) {
        self.give_up(flow, now);
        let Some(served) = self.served.remove(flow) else { return };
        self.ended(desk, flow, &served);
    }

    /// Takes in flows that an earlier run of this agent had.
    pub fn recover(&mut self, desk: &mut Desk, flows: &[(FlowKey, Option<u32>)], now: Moment) {
        let mut count = 0;
        for (flow, isn) in flows {
            if self.served.get(flow).is_none() {
                self.served.put(*flow, Flow::<Established>::learn(None, *isn, now));
                count += 1;
            }
        }
        desk.record(Event::of(Decision::Recovered).value(count));
    }

    /// Returns claims of the flows that `wanted` selects, in datagrams.
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
        flows.chunks(FLOWS_A_DATAGRAM).map(claim).collect()
    }

    /// Does what is due by time; returns opening packets that were not answered.
    pub fn tick(&mut self, desk: &mut Desk, now: Moment) -> Vec<(FlowKey, Flow<Opening>)> {
        for flow in self.waiting.expire(now) {
            let event = Event::of(Decision::Dropped).why(Reason::Expired).flow(flow);
            desk.record(event);
        }
        self.start_waiting(desk, now);
        let late = self.served.unanswered(now - ANSWER_TIMEOUT);
        for (flow, _) in &late {
            self.served.remove(flow);
            if self.vitals.missed(now) {
                let event = Event::of(Decision::BackendSilent).why(Reason::Shed);
                desk.record(event.flow(*flow));
            }
        }
        if self.lifeline == Lifeline::Open {
            self.vitals.connected(now);
        }
        self.look_for_entry(desk, now);
        if self.vitals.tick(desk.me.reuse, now) {
            match self.vitals.condition() {
                Condition::Dead => self.died(desk, now),
                _ => desk.record(Event::of(Decision::BackendUnproven)),
            }
        }
        // An entry that outlasts the heartbeats of a dead backend server is kept
        // up by a living one.
        let lapsed = |since: Moment| desk.view.read >= since + desk.me.lapse;
        let kept_up = self.vitals.doubted().is_some_and(lapsed);
        if kept_up && desk.view.fresh && self.member.is_some() {
            self.proven(desk, now);
        }
        late
    }

    /// Gives up a backend server whose entry was removed and did not come back,
    /// and of which nothing else is heard.
    fn look_for_entry(&mut self, desk: &mut Desk, now: Moment) {
        let absent = desk.view.fresh && desk.view.roster.holder(desk.me.backend).is_none();
        let Some(since) = absent.then(|| *self.missing.get_or_insert(now)) else {
            self.missing = None;
            return;
        };
        let silent = self.heard <= since && self.lifeline != Lifeline::Open;
        if silent && !self.complete && now.since(since) >= desk.me.lapse {
            self.died(desk, now);
        }
    }

    /// Forgets what is no longer used.
    pub fn expire(&mut self, desk: &mut Desk, now: Moment) {
        for (flow, served) in self.served.expire(desk.idle(), now) {
            if let ServedFlow::Established(f) = served
                && let Some(Request::Started(_)) = f.state.request
            {
                self.pace.abandon(now);
            }
            self.ended(desk, &flow, &served);
        }
        self.offers.retain(|_, o| now.since(o.at) < OFFER_LIFE);
    }

    fn slots(&self) -> u32 {
        self.member.as_ref().map_or(1, |m| m.slots)
    }

    fn ended(&self, desk: &mut Desk, flow: &FlowKey, served: &ServedFlow) {
        if matches!(served, ServedFlow::Opening(_)) {
            return;
        }
        let service = self.service(desk).clone();
        for home in desk.homes(&service, flow) {
            if home != desk.me.link {
                desk.send(home, Message::Release { flow: *flow });
            }
        }
    }

    /// Takes in proof that the backend server works.
    fn proven(&mut self, desk: &mut Desk, now: Moment) {
        if self.vitals.condition() != Condition::Working {
            desk.record(Event::of(Decision::BackendBack));
        }
        self.vitals.proven(now);
    }

    /// Takes in that the backend server is gone.
    fn died(&mut self, desk: &mut Desk, now: Moment) {
        desk.record(Event::of(Decision::BackendDead).value(self.served.count() as u64));
        self.forget_all(desk, now);
        self.complete = true;
    }

    /// Resets the flows of a backend server that is gone.
    fn forget_all(&mut self, desk: &mut Desk, now: Moment) {
        let flows: Vec<_> = self.served.drain().collect();
        for (flow, served) in flows {
            if let ServedFlow::Established(f) = &served
                && !f.is_closed()
            {
                desk.record(Event::of(Decision::Reset).why(Reason::NotHere).flow(flow));
                desk.step(Step::Reset { flow, seq: f.state.ack });
            }
            self.ended(desk, &flow, &served);
        }
        self.pace.clear(now);
        self.waiting.clear();
    }
}
