//! The traffic thread of an agent.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::delayed_acks::DelayedAcks;
use lagoonhollow_lib::process::action::Action;
use lagoonhollow_lib::process::agent::Agent;
use lagoonhollow_lib::process::gossip::Comparison;
use lagoonhollow_lib::process::gossip::Gossip;
use lagoonhollow_lib::process::live_vms::LiveVms;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::process::message::Via;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_wire::caller;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use tokio::sync::mpsc;

use super::link::Link;
use super::link::MAX_DATAGRAM;
use crate::process::traffic_queues::Command;
use crate::process::traffic_queues::CurrentManifest;
use crate::process::traffic_queues::Report;
use crate::process::traffic_queues::TrafficOptions;
use crate::process::traffic_queues::TrafficQueues;
use crate::request::backend_socket::BackendSocket;

/// Interval between two rounds of timed work.
const TICK: Duration = Duration::from_millis(20);
/// Time for the notice of a planned stop to reach the peers.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// State of the traffic thread.
struct AgentThread {
    options: TrafficOptions,
    link: Link,
    backend: BackendSocket,
    reports: mpsc::Sender<Report>,
    agent: Option<Agent>,
    gossip: Gossip,
    acks: DelayedAcks,
    live: LiveVms,
    rng: Pcg64Mcg,
    version: u64,
    shutdown: Option<Shutdown>,
    health: (bool, bool),
}

/// A planned stop in progress.
struct Shutdown {
    since: Moment,
    handed_over: bool,
}

/// Runs the traffic thread until a planned stop is complete.
///
/// # Errors
///
/// Returns an error if a socket fails.
pub async fn run(
    options: TrafficOptions,
    link: Link,
    backend: BackendSocket,
    traffic: TrafficQueues,
) -> io::Result<()> {
    let TrafficQueues { mut commands, reports, mut current } = traffic;
    let now = options.clock.now();
    let mut thread = AgentThread {
        gossip: Gossip::open(options.name.clone(), options.control, false, now),
        rng: Pcg64Mcg::seed_from_u64(options.run.0),
        options,
        link,
        backend,
        reports,
        agent: None,
        acks: DelayedAcks::default(),
        live: LiveVms::default(),
        version: 0,
        shutdown: None,
        health: (false, false),
    };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut datagram, mut answer) = (vec![0; MAX_DATAGRAM], vec![0; MAX_DATAGRAM]);
    let first = current.borrow_and_update().clone();
    thread.enforce(first);
    loop {
        tokio::select! {
            received = thread.link.receive(&mut datagram) => {
                let (envelope, source) = received?;
                thread.handle_message(envelope, Some(source));
            }
            (id, answer) = thread.backend.receive(&mut answer) => {
                let now = thread.options.clock.now();
                thread.with_agent(|agent| agent.backend(id, answer, now));
            }
            changed = current.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let manifest = current.borrow_and_update().clone();
                thread.enforce(manifest);
            }
            command = commands.recv() => match command {
                Some(command) => thread.handle_command(command),
                None => return Ok(()),
            },
            _ = tick.tick() => {
                thread.tick();
                if thread.is_drained() {
                    let _ = thread.reports.send(Report::Drained).await;
                    return Ok(());
                }
            }
        }
    }
}

impl AgentThread {
    /// Lets the agent decide and carries out its actions, once there is an agent.
    fn with_agent(&mut self, decide: impl FnOnce(&mut Agent) -> Vec<Action>) {
        if let Some(agent) = self.agent.as_mut() {
            let actions = decide(agent);
            self.execute(actions);
        }
    }

    /// Puts a manifest in force; the first one that has this agent opens it.
    fn enforce(&mut self, manifest: CurrentManifest) {
        let Some(manifest) = manifest else { return };
        self.version = manifest.version();
        let now = self.options.clock.now();
        if self.agent.is_some() {
            self.with_agent(|agent| agent.enforce(manifest, now));
        } else if let Some(service) = manifest.service_of(&self.options.name).cloned() {
            let (me, run) = (self.options.name.clone(), self.options.run);
            let agent = Agent::open(me, run, manifest, &service, run.0, now);
            self.agent = Some(agent);
        }
    }

    fn handle_message(&mut self, envelope: Envelope, source: Option<SocketAddr>) {
        let now = self.options.clock.now();
        let newer = envelope.version > self.version;
        let from = envelope.from.clone();
        match envelope.message {
            Message::Forward(forward) => {
                if forward.via.entry == from {
                    self.acks.received(&forward.via, now);
                }
                match caller::decode(&forward.raw) {
                    Ok(content) => {
                        self.with_agent(|agent| agent.packet(&from, forward, content, now));
                    }
                    Err(_) => self.options.metrics.count(Reason::Malformed),
                }
            }
            Message::Gossip { control, notices, wants_reply } => {
                for notice in notices {
                    if self.gossip.spread(&notice)
                        && let Some(agent) = self.agent.as_mut()
                    {
                        agent.notice(&notice);
                    }
                }
                let comparison =
                    self.gossip.compare(self.version, envelope.version, control, wants_reply);
                self.handle_comparison(&from, source, comparison);
                return;
            }
            message => {
                let envelope = Envelope { message, ..envelope };
                self.with_agent(|agent| agent.message(envelope, now));
            }
        }
        if newer {
            let backend = self.agent.as_ref().and_then(|a| a.context().backend(&from));
            if let Some(control) = backend.map(|b| b.control) {
                self.report(Report::Behind(control));
            }
        }
    }

    fn handle_comparison(
        &mut self,
        from: &Name,
        source: Option<SocketAddr>,
        comparison: Comparison,
    ) {
        match comparison {
            Comparison::Same => {}
            Comparison::Pull(control) => self.report(Report::Behind(control)),
            Comparison::Push => {
                let Some(source) = source else { return };
                let message = self.gossip.reply();
                self.link.send(from, source, self.version, message);
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.options.clock.now();
        match command {
            Command::Envelope(envelope) => self.handle_message(envelope, None),
            Command::LiveVms(list) => self.update_live(&list),
            Command::Health { leaving, cold } => {
                self.health = (leaving, cold);
                self.update_health();
            }
            Command::Explain { flow, reply } => {
                if let Some(agent) = self.agent.as_mut() {
                    let _ = reply.send(agent.explain(&flow));
                }
            }
            Command::Drain => {
                self.shutdown.get_or_insert(Shutdown { since: now, handed_over: false });
                self.update_health();
            }
        }
    }

    fn update_health(&mut self) {
        let (leaving, cold) = self.health;
        let stopping = self.shutdown.is_some();
        if let Some(agent) = self.agent.as_mut() {
            agent.update_health(leaving || stopping, cold);
        }
    }

    fn update_live(&mut self, list: &BTreeSet<Name>) {
        let now = self.options.clock.now();
        let Some(agent) = self.agent.as_mut() else { return };
        let peers = &agent.context().peers;
        let silent = peers.names().filter(|n| !peers.is_alive(n)).cloned().collect();
        for name in self.live.read(list, &silent, now) {
            spdlog::info!("vm_gone", kv: { agent: = name.as_str() });
            agent.removed(&name, now);
        }
    }

    fn tick(&mut self) {
        let now = self.options.clock.now();
        self.with_agent(|agent| agent.tick(now));
        for via in self.acks.due(now) {
            self.link.send(&via.entry, via.link, self.version, Message::Ack);
        }
        if self
            .shutdown
            .as_ref()
            .is_some_and(|s| !s.handed_over && now.since(s.since) >= PROPAGATION_TIME)
        {
            self.hand_over(now);
        }
        let Some(agent) = self.agent.as_mut() else { return };
        self.options.metrics.add(&mut agent.take_tally());
        self.options.metrics.set_gauges(&agent.gauges(now));
        let manifest = agent.context().manifest.clone();
        for peer in self.gossip.due(&manifest, &mut self.rng, now) {
            let message = self.gossip.message();
            self.link.send(&peer.name, peer.link, self.version, message);
        }
    }

    fn hand_over(&mut self, now: Moment) {
        let Some(agent) = self.agent.as_mut() else { return };
        let (all, actions) = agent.hand_over(now);
        self.execute(actions);
        if let Some(shutdown) = self.shutdown.as_mut() {
            shutdown.handed_over = all;
        }
    }

    /// Returns whether a planned stop is complete or its time is over.
    fn is_drained(&mut self) -> bool {
        let Some(shutdown) = &self.shutdown else { return false };
        let now = self.options.clock.now();
        if now.since(shutdown.since) >= self.options.drain {
            return true;
        }
        let open = self.agent.as_mut().map_or(0, |a| a.gauges(now).requests);
        // Channels that were handed over need time to arrive and be claimed.
        shutdown.handed_over && open == 0 && now.since(shutdown.since) >= PROPAGATION_TIME * 2
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(&to, message),
                Action::Answer { via, flow, id, answer } => {
                    self.reply(via, flow, caller::encode_answer(id, &answer));
                }
                Action::Notify { via, flow, id, answer } => {
                    self.reply(via, flow, caller::encode_notification(id, &answer));
                }
                Action::Run { id, request, deadline } => {
                    let remaining = deadline.since(self.options.clock.now());
                    self.backend.run(id, &request, remaining);
                }
                Action::Cancel { id } => self.backend.cancel(id),
                Action::Spread(notice) => {
                    let agent = notice.agent.as_str();
                    spdlog::info!("peer_state", kv: { agent, down = notice.down });
                    self.gossip.spread(&notice);
                }
            }
        }
    }

    fn send(&mut self, to: &Name, message: Message) {
        let backend = self.agent.as_ref().and_then(|a| a.context().backend(to));
        let Some((link, control)) = backend.map(|b| (b.link, b.control)) else {
            self.options.metrics.count(Reason::NoBackend);
            return;
        };
        if !message.is_bulk() {
            self.link.send(to, link, self.version, message);
        } else if let Some(sealed) = self.link.seal(to, self.version, message) {
            self.report(Report::Deliver { control, sealed });
        }
    }

    fn reply(
        &mut self,
        via: Via,
        flow: lagoonhollow_lib::connection::flow::FlowKey,
        raw: Result<Vec<u8>, lagoonhollow_wire::coap::CoapError>,
    ) {
        let Ok(raw) = raw else {
            self.options.metrics.count(Reason::Malformed);
            return;
        };
        self.acks.answered(&via);
        self.options.metrics.answered.inc();
        let message = Message::Reply { flow, raw: raw.into() };
        self.link.send(&via.entry, via.link, self.version, message);
    }

    fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            self.options.metrics.count(Reason::ChannelFull);
        }
    }
}
