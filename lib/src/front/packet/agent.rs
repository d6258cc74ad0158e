//! Decisions of an agent.

mod flows;
mod messages;

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
use super::message::KnownVersions;
use super::message::Message;
use super::placer::Placer;
use super::run_exchange::RunExchange;
use super::unsure_answers::Question;
use super::version_queries::VersionQueries;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::connection::segment::Packet;
use crate::process::first_run::FirstRun;
use crate::process::liveness::KeepAlive;
use crate::process::neighbours::heartbeat_interval;
use crate::process::pause_detector::PauseDetector;
use crate::process::view::View;
use crate::value::moment::Moment;
use crate::value::reason::Reason;
use crate::value::tally::Tally;
use crate::value::wall_time::WallTime;

/// Time between two removals of expired state.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest regular time between two ticks. In what exceeds it, this process did not run,
/// so packets of its backend server wait in the socket.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The agent beside one backend server.
#[derive(Debug)]
pub struct Agent {
    context: AgentContext,
    backend: LocalBackend,
    home: Home,
    placer: Placer,
    exchange: RunExchange,
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
            exchange: RunExchange::default(),
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
        self.exchange.first_run = Some(FirstRun::open(self.context.me.run, started, at));
    }

    /// Tells what the clock of the VM shows, before each [`Self::tick`].
    pub fn update_clock(&mut self, wall: WallTime, now: Moment) {
        self.exchange.update_clock(wall, now);
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
        let confirmed = before.members_at != after.members_at && self.home.has_unresolved();
        if confirmed || before.fresh != after.fresh || !Arc::ptr_eq(&before.roster, &after.roster) {
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

    /// Returns whether placements, searches or a notice to all agents are in progress, whose
    /// next step is due after tens of milliseconds at most.
    pub fn has_pending(&self) -> bool {
        self.placer.has_pending() || self.home.has_pending() || self.exchange.has_pending()
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
        // All agents that are behind would read changes from a process that stops.
        let stops = matches!(message, Message::Ended { link, .. } if link == from);
        if !stops && known.exceed(&self.context.known()) {
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
        let probe = self.backend.take_probe(&segment.flow);
        if let Some(served) = self.backend.handle_reply(&mut self.context, &segment, now) {
            self.placer.confirm(&segment.flow);
            let event = Event::of(Decision::Opened).flow(segment.flow);
            if segment.flags.opens {
                self.context.record(event.value(u64::from(segment.seq)));
            }
            self.announce(&segment.flow, served.entry(), served.isn(), now);
            self.claim_probed(&segment.flow, probe.and_then(|p| p.home), now);
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
            self.exchange.known.expire(now);
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
            Message::Route { service, domain, sole } if packet.segment.is_opening() => {
                self.open_flow(from, (service, domain), sole, packet, now);
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
        let completed = self.exchange.follow(&mut self.context, &mut self.backend, now);
        if completed {
            let questions: Vec<_> = self.exchange.unsure.take(now).collect();
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

    /// Tells the home that had the backend server probed that this agent owns the flow. It need
    /// not be one of the flow's homes in this agent's service.
    fn claim_probed(&mut self, flow: &FlowKey, home: Option<SocketAddr>, now: Moment) {
        if let Some(home) = home.filter(|home| *home != self.context.me.link) {
            for claim in self.backend.claims(|f| f == flow, now) {
                self.context.send(home, claim);
            }
        }
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
}
