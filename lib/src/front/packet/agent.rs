//! Decisions of an agent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::action::Action;
use super::context::AgentContext;
use super::context::Identity;
use super::decline::Decline;
use super::event::Decision;
use super::event::Event;
use super::home::Home;
use super::local_backend::LocalBackend;
use super::local_backend::NotServed;
use super::local_backend::retransmit_delay;
use super::message::KnownVersions;
use super::message::Message;
use super::placer::Placer;
use super::run_evidence::RunEvidence;
use super::unsure_answers::Question;
use super::version_queries::VersionQueries;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::connection::placement::Placement;
use crate::connection::segment::Packet;
use crate::process::ended_runs::EndedRun;
use crate::process::first_run::FirstRun;
use crate::process::liveness::KeepAlive;
use crate::process::neighbours::Neighbour;
use crate::process::neighbours::heartbeat_interval;
use crate::process::pause_detector::PauseDetector;
use crate::process::view::View;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::value::tally::Tally;
use crate::value::wall_time::WallTime;

/// Time between two removals of expired state.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest regular time between two ticks. In what exceeds it, this process did not run,
/// so packets of its backend server wait in the socket.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of ended runs that are passed on to an agent that starts: more than a
/// release takes away within the time for which they are remembered.
const ENDED_PER_HELLO: usize = 32;
/// Number of retransmissions of an opening packet that go to the backend server
/// which answered the first one. The next one comes when the caller has waited
/// for 600 ms, and is placed anew. An owner that is known before the first one comes
/// has an earlier flow between the same addresses.
const COPIES_TO_OWNER: u8 = 1;

/// The agent beside one backend server.
#[derive(Debug)]
pub struct Agent {
    context: AgentContext,
    backend: LocalBackend,
    home: Home,
    placer: Placer,
    evidence: RunEvidence,
    settled: bool,
    detector: PauseDetector,
    pauses: u64,
    hello_sent: bool,
    accepting: bool,
    ticked_at: Moment,
    heartbeat_at: Moment,
    queries: VersionQueries,
    expired_at: Moment,
}

impl Agent {
    /// Creates an agent with an empty view.
    pub fn open(me: Identity, now: Moment) -> Self {
        let run = me.run;
        let queries = VersionQueries::open(Some(me.link), me.link.port(), run.0, now);
        Self {
            backend: LocalBackend::open(&me, now),
            context: AgentContext::open(me, now),
            home: Home::default(),
            placer: Placer::open(run.0),
            evidence: RunEvidence::default(),
            settled: false,
            detector: PauseDetector::open(now),
            pauses: 0,
            hello_sent: false,
            accepting: false,
            ticked_at: now,
            heartbeat_at: now,
            queries,
            expired_at: now,
        }
    }

    /// Tells what the clock of the VM showed at the very start of this process, at the
    /// steady time `at`. Without that no flow table is proved complete by it.
    pub fn track_start(&mut self, started: WallTime, at: Moment) {
        self.evidence.first_run = Some(FirstRun::open(self.context.me.run, started, at));
    }

    /// Tells what the clock of the VM shows, before each [`Self::tick`].
    pub fn update_clock(&mut self, wall: WallTime, now: Moment) {
        self.evidence.update_clock(wall, now);
    }

    /// Applies the routes and the roster that the process knows now.
    pub fn update_view(&mut self, view: View, now: Moment) {
        self.backend.record_run(now);
        let before = std::mem::replace(&mut self.context.view, view);
        self.backend.update_member(&mut self.context, now);
        if before.roster.revision() != self.context.view.roster.revision() {
            self.claim_at_new_homes(&before, now);
        }
        let after = &self.context.view;
        if !Arc::ptr_eq(&before.roster, &after.roster) {
            self.queries.update(&after.roster);
        }
        if before.fresh != after.fresh || !Arc::ptr_eq(&before.roster, &after.roster) {
            self.review_absences(now);
        }
        if !self.hello_sent {
            let service = self.backend.service(&self.context).clone();
            for link in self.context.peers(&service) {
                self.hello_sent = true;
                self.context.send(link, Message::Hello);
            }
        }
        self.follow_runs(now);
    }

    /// Returns the versions that every message carries.
    pub fn known(&self) -> KnownVersions {
        self.context.known()
    }

    /// Takes the actions queued since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.context.take_actions()
    }

    /// Returns the counts per reason.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.context.tally
    }

    /// Returns the number of flows of the backend server.
    pub fn flows(&self) -> usize {
        self.backend.served().count()
    }

    /// Returns the number of flows whose owners this agent records as their home.
    pub fn records(&self) -> usize {
        self.home.records()
    }

    /// Returns the owner of a flow if this agent knows it.
    pub fn owner(&self, flow: &FlowKey) -> Option<Owner> {
        let own = self.backend.served().get(flow);
        let own = own.map(|s| Owner { link: self.context.me.link, isn: s.isn() });
        own.or_else(|| self.home.owner(flow))
    }

    /// Returns whether placements or searches are in progress, which time out
    /// after tens of milliseconds.
    pub fn has_pending(&self) -> bool {
        self.placer.has_pending() || self.home.has_pending()
    }

    /// Returns whether the backend server accepts new flows.
    pub fn accepts_flows(&self, now: Moment) -> bool {
        self.backend.accepts_flows(now)
    }

    /// Returns the rate in requests per second that the backend server bears and until when it
    /// is cold, if it is and there is a limit.
    pub fn cold(&self, now: Moment) -> Option<(f64, Moment)> {
        self.backend.cold(now)
    }

    /// Begins a planned stop: other agents place no more flows here.
    pub fn leave(&mut self, now: Moment) {
        self.backend.leave();
        self.send_heartbeats(now);
    }

    /// Handles a message of another process, with the packet that it carries, if any.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        known: KnownVersions,
        message: Message,
        packet: Option<Packet>,
        now: Moment,
    ) {
        self.backend.record_run(now);
        self.placer.neighbours.touch(from, now);
        if known.exceed(&self.context.known()) {
            self.context.act(Action::Behind { peer: from, known });
        }
        match packet {
            Some(packet) => self.handle_relayed(from, message, packet, now),
            None if matches!(message, Message::VersionReply { .. }) => {
                self.handle_reply(from, known, &message, now);
            }
            None => self.handle_control(from, message, now),
        }
    }

    /// Handles a packet of the backend server.
    pub fn handle_backend_packet(&mut self, packet: Packet, now: Moment) {
        if packet.segment.flags.returned {
            self.backend.heard(now);
            self.handle_returned(packet, now);
            return;
        }
        let segment = packet.segment;
        if let Some(served) = self.backend.handle_reply(&mut self.context, &segment, now) {
            self.placer.confirm(&segment.flow);
            let event = Event::of(Decision::Opened).flow(segment.flow);
            if segment.flags.opens {
                self.context.record(event.value(u64::from(segment.seq)));
            }
            self.announce(&segment.flow, served.entry(), served.isn(), now);
            if let Some(search) = self.home.finish_search(&mut self.context, &segment.flow) {
                let entry = search.entry();
                for packet in search.into_held() {
                    self.deliver(entry, false, packet, now);
                }
            }
        }
        self.context.act(Action::Caller(packet));
    }

    /// Handles a refusal of packets by the backend server's address.
    pub fn handle_refusal(&mut self, now: Moment) {
        self.backend.handle_refusal(&mut self.context, now);
    }

    /// Updates the state of the keep-alive connection to the backend server.
    pub fn update_keep_alive(&mut self, keep_alive: KeepAlive, now: Moment) {
        self.backend.update_keep_alive(&mut self.context, keep_alive, now);
    }

    /// Handles timeouts and periodic work.
    pub fn tick(&mut self, now: Moment) {
        let stalled = now.since(self.ticked_at).saturating_sub(TICK_INTERVAL);
        self.ticked_at = now;
        self.backend.record_run(now);
        self.backend.stalled(stalled, now);
        let pauses = self.detector.record_tick(now);
        if pauses != self.pauses {
            self.pauses = pauses;
            self.backend.woke(now);
        }
        for (flow, opening) in self.backend.tick(&mut self.context, now) {
            match opening.placer {
                Some(placer) => {
                    self.context.send(placer, Message::Declined { flow, why: Decline::Silent });
                }
                None => self.placer.retry(&mut self.context, &mut self.backend, &flow, now),
            }
        }
        self.placer.tick(&mut self.context, &mut self.backend, now);
        self.home.tick(&mut self.context, &mut self.backend, &self.placer.neighbours, now);
        self.follow_runs(now);
        if now.since(self.expired_at) >= EXPIRE_INTERVAL {
            self.expired_at = now;
            self.backend.expire(&mut self.context, now);
            self.home.expire(now);
            self.placer.neighbours.expire(now);
            self.evidence.known.expire(now);
            self.placer.cold.expire(now);
            self.review_absences(now);
        }
        self.query_versions(now);
        let service = self.backend.service(&self.context).clone();
        let others = self.context.peers(&service).len();
        let before = std::mem::replace(&mut self.accepting, self.backend.accepts_flows(now));
        if before != self.accepting || now.since(self.heartbeat_at) >= heartbeat_interval(others) {
            self.send_heartbeats(now);
        }
    }

    /// Handles a message that carries a packet.
    fn handle_relayed(&mut self, from: SocketAddr, message: Message, packet: Packet, now: Moment) {
        match message {
            Message::Route { service, domain } if packet.segment.is_opening() => {
                self.open_flow(from, service, domain, packet, now);
            }
            Message::Route { .. } => self.route(from, packet, now),
            Message::Deliver { entry, direct } => {
                let entry = if entry.port() == 0 { from } else { entry };
                self.deliver(entry, direct, packet, now);
            }
            Message::Place { entry, service, firm } => {
                self.handle_place(from, entry, service, firm, packet, now)
            }
            Message::Search { entry, probe } => self.handle_search(from, entry, probe, packet, now),
            _ => self.context.tally.add(Reason::Malformed),
        }
    }

    /// Handles a message without a packet.
    fn handle_control(&mut self, from: SocketAddr, message: Message, now: Moment) {
        match message {
            Message::Claim { flows, load } => {
                self.placer.neighbours.update_load(from, load);
                self.placer.cold.report(from, load.openings, now);
                for (flow, isn) in flows {
                    self.placer.confirm(&flow);
                    self.home.claim(&mut self.context, flow, Owner { link: from, isn }, now);
                }
            }
            Message::Release { flow } => self.home.release(&flow, from),
            Message::NotHere { flow } => {
                let (context, backend) = (&mut self.context, &mut self.backend);
                self.home.not_owner(context, backend, &self.placer.neighbours, &flow, from, now);
            }
            Message::Ask { flow, ack } => self.handle_ask(from, flow, ack, now),
            Message::Unsure { flow } => {
                let (context, backend) = (&mut self.context, &mut self.backend);
                self.home.unsure(context, backend, &self.placer.neighbours, &flow, from, now);
            }
            Message::Declined { flow, why } => {
                let (context, backend) = (&mut self.context, &mut self.backend);
                if why.is_certain() {
                    self.placer.decline(context, backend, &flow, (from, why), now);
                } else {
                    self.placer.neighbours.suspect(from, now);
                    self.placer.retry(context, backend, &flow, now);
                }
            }
            Message::Heartbeat { run, service, load, accepting } => {
                self.evidence.known.heard(from, run, now);
                let neighbour = Neighbour { run, service, load, accepting, heard: now, charged: 0 };
                self.placer.neighbours.heard(from, neighbour);
                self.placer.cold.report(from, load.openings, now);
                self.home.ask_again(&mut self.context, from);
            }
            Message::Hello => {
                self.home.ask_again(&mut self.context, from);
                self.send_recovery(from, now);
            }
            Message::VersionQuery { number } => {
                let age_ms = self.context.view.age_ms(now);
                self.context.send(from, Message::VersionReply { number, age_ms });
            }
            Message::RunQuery { run, token, age_ms } => {
                let started = now - Duration::from_millis(age_ms.into());
                let earlier = self.evidence.known.heard(from, run, now)
                    || self.home.knew_owner(from, started)
                    || self.backend.had_placer(from, started);
                if let Some(wall) = self.evidence.wall(now) {
                    self.context.send(from, Message::RunReply { token, wall, earlier });
                }
            }
            Message::RunReply { token, wall, earlier } => {
                if let Some(first_run) = &mut self.evidence.first_run {
                    first_run.replied(from, token, wall, earlier, now);
                }
                self.follow_runs(now);
            }
            Message::Ended { link, run, ended } => {
                let born = ended.as_ref().map_or(0, |run| run.start);
                let ended = EndedRun { agent: run, run: ended };
                if self.placer.neighbours.end(link, ended, now) {
                    self.context.record(Event::of(Decision::PeerRunEnded).peer(link).value(born));
                    self.review_absences(now);
                }
            }
            Message::Owned { flows } => {
                if flows.iter().any(|(f, _)| self.backend.served().get(f).is_none()) {
                    self.evidence.refute();
                }
                self.backend.recover(&mut self.context, &flows, now);
            }
            _ => self.context.tally.add(Reason::Malformed),
        }
    }

    /// Places a new flow, as its home.
    fn open_flow(
        &mut self,
        entry: SocketAddr,
        service: Name,
        domain: Name,
        packet: Packet,
        now: Moment,
    ) {
        let segment = packet.segment;
        let flow = segment.flow;
        self.context.send(entry, Message::Accepted { flow });
        if segment.attempt == 0 {
            self.home.forget(&flow);
        }
        let to_owner = segment.attempt <= COPIES_TO_OWNER;
        if to_owner && self.backend.deliver(&mut self.context, &packet, entry, now).is_ok() {
            return;
        }
        if let Some(owner) = self.home.owner(&flow).filter(|_| to_owner && segment.attempt > 0) {
            let message = Message::Deliver { entry, direct: true };
            self.context.send_packet(owner.link, message, &packet);
            return;
        }
        let offers = self.placer.cancel(&flow).map(|p| p.offers).unwrap_or_default();
        let since = now - retransmit_delay(&segment);
        let placement = Placement { entry, domain, service, packet, since, offers, due: now };
        self.placer.place(&mut self.context, &mut self.backend, placement, now);
    }

    /// Forwards a packet of an established flow to its owner, as its home.
    fn route(&mut self, entry: SocketAddr, packet: Packet, now: Moment) {
        let flow = packet.segment.flow;
        match self.backend.deliver(&mut self.context, &packet, entry, now) {
            Ok(()) => self.notify_entry(entry, &flow),
            Err(_) => {
                self.context.send(entry, Message::Accepted { flow });
                self.locate(entry, packet, now);
            }
        }
    }

    /// Passes a packet to the backend server, as the flow's owner.
    fn deliver(&mut self, entry: SocketAddr, direct: bool, packet: Packet, now: Moment) {
        let flow = packet.segment.flow;
        match self.backend.deliver(&mut self.context, &packet, entry, now) {
            Ok(()) if direct => {}
            Ok(()) => self.notify_entry(entry, &flow),
            // A retransmitted opening packet of a flow that was removed here.
            Err(_) if packet.segment.is_opening() => {
                let check = match self.backend.is_routed(&self.context, &flow) {
                    true => self.backend.check_opening(now),
                    false => Err(Decline::WrongService),
                };
                match check {
                    Ok(()) => self.backend.offer(&mut self.context, &packet, entry, None, now),
                    Err(why) => {
                        // The caller's next copy is placed anew by the flow's home.
                        let event = Event::of(Decision::Dropped).reason(why.reason()).flow(flow);
                        self.context.record(event);
                        self.context.send(entry, Message::NotOwner { flow });
                    }
                }
            }
            Err(NotServed::Unknown) => {
                self.backend.probe(&mut self.context, &packet, entry, None, now);
            }
            Err(NotServed::Absent) => {
                self.context.send(entry, Message::NotOwner { flow });
                self.locate(entry, packet, now);
            }
        }
    }

    /// Accepts or declines a flow that its home offers.
    fn handle_place(
        &mut self,
        home: SocketAddr,
        entry: SocketAddr,
        service: Name,
        firm: bool,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        let check = match *self.backend.service(&self.context) == service {
            false => Err(Decline::WrongService),
            // Another home may have placed the flow here already.
            true if self.backend.has_answered(&packet.segment) => Ok(()),
            true if !firm && self.backend.is_busy(now) => {
                Err(Decline::Busy { load: self.backend.load(now) })
            }
            true => self.backend.check_opening(now),
        };
        match check {
            Ok(()) => self.backend.offer(&mut self.context, &packet, entry, Some(home), now),
            Err(why) => {
                let event = Event::of(Decision::Declined).reason(why.reason());
                self.context.record(event.flow(flow).peer(home));
                self.context.send(home, Message::Declined { flow, why });
            }
        }
    }

    /// Answers a home that asks for a flow's owner.
    fn handle_ask(&mut self, home: SocketAddr, flow: FlowKey, ack: Option<u32>, now: Moment) {
        match self.backend.owns(&flow, ack) {
            Ok(()) => {
                for claim in self.backend.claims(|f| *f == flow, now) {
                    self.context.send(home, claim);
                }
            }
            Err(NotServed::Absent) => self.context.send(home, Message::NotHere { flow }),
            Err(NotServed::Unknown) => {
                self.evidence.unsure.add(Question { home, flow, ack }, now);
                self.context.send(home, Message::Unsure { flow });
            }
        }
    }

    /// Answers a home that searches for a flow's owner with its packet.
    fn handle_search(
        &mut self,
        home: SocketAddr,
        entry: SocketAddr,
        probe: bool,
        packet: Packet,
        now: Moment,
    ) {
        let flow = packet.segment.flow;
        match self.backend.deliver(&mut self.context, &packet, entry, now) {
            Ok(()) => {
                self.notify_entry(entry, &flow);
                for claim in self.backend.claims(|f| *f == flow, now) {
                    self.context.send(home, claim);
                }
            }
            Err(NotServed::Absent) => self.context.send(home, Message::NotHere { flow }),
            Err(NotServed::Unknown) if probe => {
                self.backend.probe(&mut self.context, &packet, entry, Some(home), now);
            }
            Err(NotServed::Unknown) => {
                let ack = packet.segment.flags.acks.then_some(packet.segment.ack);
                self.evidence.unsure.add(Question { home, flow, ack }, now);
                self.context.send(home, Message::Unsure { flow });
            }
        }
    }

    /// Handles a packet that the backend server returned.
    fn handle_returned(&mut self, packet: Packet, now: Moment) {
        let segment = packet.segment;
        let flow = segment.flow;
        if segment.is_opening() {
            match self.backend.take_refused(&flow, now) {
                Some(Some(placer)) => {
                    self.context.send(placer, Message::Declined { flow, why: Decline::Full });
                }
                Some(None) => {
                    let link = self.context.me.link;
                    let by = (link, Decline::Full);
                    self.placer.decline(&mut self.context, &mut self.backend, &flow, by, now);
                }
                None => {}
            }
            return;
        }
        if let Some(probe) = self.backend.take_probe(&flow) {
            match probe.home {
                Some(home) if home == self.context.me.link => {
                    let (context, backend) = (&mut self.context, &mut self.backend);
                    let neighbours = &self.placer.neighbours;
                    self.home.not_owner(context, backend, neighbours, &flow, home, now);
                }
                Some(home) => self.context.send(home, Message::NotHere { flow }),
                None => {
                    self.context.send(probe.entry, Message::NotOwner { flow });
                    self.locate(probe.entry, packet, now);
                }
            }
            return;
        }
        if self.backend.is_proven(&flow) {
            self.backend.end(&mut self.context, &flow, now);
            if !segment.flags.aborts {
                let event = Event::of(Decision::Reset).reason(Reason::NotHere).flow(flow);
                self.context.record(event);
                self.context.act(Action::Reset { flow, seq: segment.ack });
            }
        } else if let Some(entry) = self.backend.served().get(&flow).and_then(|s| s.entry()) {
            // Other agents reported the flow as owned here, but it is not.
            self.backend.end(&mut self.context, &flow, now);
            self.context.send(entry, Message::NotOwner { flow });
            self.locate(entry, packet, now);
        }
    }

    fn locate(&mut self, entry: SocketAddr, packet: Packet, now: Moment) {
        let (home, backend) = (&mut self.home, &mut self.backend);
        home.locate(&mut self.context, backend, &self.placer.neighbours, entry, packet, now);
    }

    /// Resolves the flows that no silent agent is left to own.
    fn review_absences(&mut self, now: Moment) {
        let neighbours = &self.placer.neighbours;
        self.home.review_absences(&mut self.context, &mut self.backend, neighbours, now);
    }

    /// Follows what is known about runs. Once the flow table is complete, or the agents that
    /// started with this one are known, what waits for that is resolved.
    fn follow_runs(&mut self, now: Moment) {
        let completed = self.evidence.follow(&mut self.context, &mut self.backend, now);
        if completed {
            let questions: Vec<_> = self.evidence.unsure.take(now).collect();
            for Question { home, flow, ack } in questions {
                self.handle_ask(home, flow, ack, now);
            }
        }
        let settled = self.context.is_settled(now);
        let before = std::mem::replace(&mut self.settled, settled);
        if completed || settled && !before {
            self.review_absences(now);
        }
    }

    /// Tells an entry that this agent owns the flow.
    fn notify_entry(&mut self, entry: SocketAddr, flow: &FlowKey) {
        let isn = self.backend.served().get(flow).and_then(|s| s.isn());
        let owner = Owner { link: self.context.me.link, isn };
        self.context.send(entry, Message::Found { flow: *flow, owner });
    }

    /// Tells the flow's homes and its entry that this agent owns the flow.
    fn announce(
        &mut self,
        flow: &FlowKey,
        entry: Option<SocketAddr>,
        isn: Option<u32>,
        now: Moment,
    ) {
        if let Some(entry) = entry {
            self.notify_entry(entry, flow);
        }
        let service = self.backend.service(&self.context).clone();
        let load = self.backend.load(now);
        for home in self.context.homes(&service, flow) {
            if home != self.context.me.link {
                let flows = vec![(*flow, isn)];
                self.context.send(home, Message::Claim { flows, load });
            }
        }
    }

    /// Claims flows at the homes that they gained by a change of the roster.
    fn claim_at_new_homes(&mut self, before: &View, now: Moment) {
        let service = self.backend.service(&self.context).clone();
        let mut gained: BTreeMap<SocketAddr, BTreeSet<FlowKey>> = BTreeMap::new();
        for (flow, _) in self.backend.served().iter() {
            let old = self.context.homes_in(&before.roster, &service, flow);
            for home in self.context.homes(&service, flow) {
                if home != self.context.me.link && !old.contains(&home) {
                    gained.entry(home).or_default().insert(*flow);
                }
            }
        }
        for (home, flows) in gained {
            for claim in self.backend.claims(|flow| flows.contains(flow), now) {
                self.context.send(home, claim);
            }
        }
    }

    /// Sends an agent that has just started the flows that its earlier run
    /// owned, and claims those that it is a home of.
    fn send_recovery(&mut self, link: SocketAddr, now: Moment) {
        for owned in self.home.owned_by(link) {
            self.context.send(link, owned);
        }
        for (agent, ended) in self.placer.neighbours.ended().take(ENDED_PER_HELLO) {
            let (run, ended) = (ended.agent, ended.run.clone());
            self.context.send(link, Message::Ended { link: agent, run, ended });
        }
        let service = self.backend.service(&self.context).clone();
        let context = &self.context;
        let claims = self.backend.claims(|f| context.homes(&service, f).contains(&link), now);
        for claim in claims {
            self.context.send(link, claim);
        }
    }

    /// Asks observers whether this process's knowledge is current, if that is due.
    fn query_versions(&mut self, now: Moment) {
        if !self.queries.is_due(now) {
            return;
        }
        let any = self.placer.random_member(&self.context.view.roster);
        let any = any.map(|m| self.context.link(&m));
        for (link, number) in self.queries.ask(&self.context.view, any, now) {
            self.context.send(link, Message::VersionQuery { number });
        }
    }

    /// Handles the answer to a version query.
    fn handle_reply(
        &mut self,
        peer: SocketAddr,
        known: KnownVersions,
        message: &Message,
        now: Moment,
    ) {
        let mine = self.context.known();
        if let Some(action) = self.queries.handle_reply(peer, known, mine, message, now) {
            self.context.act(action);
        }
    }

    /// Sends heartbeats to the other agents of the service.
    fn send_heartbeats(&mut self, now: Moment) {
        self.heartbeat_at = now;
        let service = self.backend.service(&self.context).clone();
        let load = self.backend.load(now);
        let (run, accepting) = (self.context.me.run, self.backend.accepts_flows(now));
        for link in self.context.peers(&service) {
            let service = service.clone();
            self.context.send(link, Message::Heartbeat { run, service, load, accepting });
        }
    }
}
