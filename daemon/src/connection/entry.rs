//! A traffic thread of an entry.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::Header;
use lagoonhollow_lib::connection::forwarder::Forwarder;
use lagoonhollow_lib::process::gossip::Comparison;
use lagoonhollow_lib::process::gossip::Gossip;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Forward;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::process::message::Mode;
use lagoonhollow_lib::process::message::Via;
use lagoonhollow_lib::process::notice::Notice;
use lagoonhollow_lib::process::pause_detector::PauseDetector;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::manifest::InForce;
use lagoonhollow_lib::version::manifest::Manifest;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::link::Link;
use super::link::MAX_DATAGRAM;
use super::listener;
use crate::process::traffic_queues::Command;
use crate::process::traffic_queues::Report;
use crate::process::traffic_queues::TrafficOptions;
use crate::process::traffic_queues::TrafficQueues;

/// Receive buffer per service in bytes. Callers' packets have to be shorter, since
/// one that fills the buffer may have been truncated.
const MAX_PACKET: usize = 2_048;
/// Interval between two rounds of timed work.
const TICK: Duration = Duration::from_millis(50);
/// Time to relay answers in flight after the entry has stopped taking packets.
const LINGER: Duration = Duration::from_millis(500);

/// State of a traffic thread, shared by the tasks on that thread.
#[derive(Debug)]
struct EntryThread {
    options: TrafficOptions,
    link: Link,
    via: Via,
    reports: mpsc::Sender<Report>,
    forwarder: RefCell<Option<Forwarder>>,
    gossip: RefCell<Gossip>,
    rng: RefCell<Pcg64Mcg>,
    listeners: RefCell<HashMap<SocketAddr, Listener>>,
    manifest: RefCell<Option<Arc<Manifest<InForce>>>>,
    detector: RefCell<PauseDetector>,
}

/// The socket of a service address and the task that receives from it.
#[derive(Debug)]
struct Listener {
    socket: Rc<UdpSocket>,
    task: JoinHandle<()>,
}

/// Runs a traffic thread until a planned stop is complete.
///
/// # Errors
///
/// Returns an error if the link fails.
pub async fn run(
    options: TrafficOptions,
    link: Link,
    traffic: TrafficQueues,
) -> std::io::Result<()> {
    let now = options.clock.now();
    let via = Via { entry: options.name.clone(), link: link.address()? };
    let TrafficQueues { mut commands, reports, mut current } = traffic;
    let entry = Rc::new(EntryThread {
        gossip: RefCell::new(Gossip::open(options.name.clone(), options.control, true, now)),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.run.0)),
        options,
        link,
        via,
        reports,
        forwarder: RefCell::new(None),
        listeners: RefCell::new(HashMap::new()),
        manifest: RefCell::new(None),
        detector: RefCell::new(PauseDetector::open(now)),
    });
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut stop_at = None;
    entry.enforce(current.borrow_and_update().clone());
    loop {
        tokio::select! {
            received = entry.link.receive(&mut buffer) => {
                let (envelope, source) = received?;
                entry.handle_message(envelope, source);
            }
            changed = current.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                entry.enforce(current.borrow_and_update().clone());
            }
            command = commands.recv() => match command {
                // The network fabric stops routing packets here once it sees
                // that the entry is not ready. Until then all are served.
                Some(Command::Drain) => stop_at = Some(entry.options.clock.now() + entry.options.drain),
                Some(_) => {}
                None => return Ok(()),
            },
            _ = tick.tick() => entry.tick(),
        }
        if stop_at.is_some_and(|at| entry.options.clock.now() >= at) {
            entry.close_listeners();
            let replies = entry.relay_replies(&mut buffer);
            let _ = tokio::time::timeout(LINGER, replies).await;
            let _ = entry.reports.send(Report::Drained).await;
            return Ok(());
        }
    }
}

impl EntryThread {
    fn enforce(self: &Rc<Self>, manifest: Option<Arc<Manifest<InForce>>>) {
        let Some(manifest) = manifest else { return };
        let mut forwarder = self.forwarder.borrow_mut();
        match forwarder.as_mut() {
            Some(forwarder) => forwarder.enforce(manifest.clone()),
            None => *forwarder = Some(Forwarder::open(manifest.clone())),
        }
        drop(forwarder);
        self.update_listeners(&manifest);
        *self.manifest.borrow_mut() = Some(manifest);
    }

    /// Binds the service addresses that the manifest adds and closes those that it
    /// no longer has.
    fn update_listeners(self: &Rc<Self>, manifest: &Manifest<InForce>) {
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain(|address, listener| {
            let kept = manifest.route(*address).is_some();
            if !kept {
                listener.task.abort();
            }
            kept
        });
        for service in manifest.services() {
            let address = service.doc.address;
            if listeners.contains_key(&address) {
                continue;
            }
            match listener::bind(address) {
                Ok(socket) => {
                    let socket = Rc::new(socket);
                    let receiving = self.clone().receive_packets(address, socket.clone());
                    let task = tokio::task::spawn_local(receiving);
                    listeners.insert(address, Listener { socket, task });
                }
                Err(e) => {
                    let service = service.doc.service.as_str();
                    spdlog::error!("bind_failed", kv: { service, address:, error: = e });
                }
            }
        }
    }

    async fn receive_packets(self: Rc<Self>, address: SocketAddr, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_PACKET];
        let mut pauses = self.count_pauses();
        loop {
            // The error belongs to an earlier packet, to a caller that has gone.
            let Ok((length, caller)) = socket.recv_from(&mut buffer).await else { continue };
            let pauses_now = self.count_pauses();
            if pauses != pauses_now {
                pauses = pauses_now;
                self.discard_queued(&socket, &mut buffer);
                continue;
            }
            if length == MAX_PACKET {
                // It may have been truncated.
                self.options.metrics.count(Reason::Malformed);
                continue;
            }
            self.handle_packet(Header::udp(caller, address), &buffer[..length]);
        }
    }

    /// Drops the packet just received and those still queued: they arrived while
    /// this process was paused, and their callers retransmit them.
    fn discard_queued(&self, socket: &UdpSocket, buffer: &mut [u8]) {
        self.options.metrics.count(Reason::Stale);
        while socket.try_recv_from(buffer).is_ok() {
            self.options.metrics.count(Reason::Stale);
        }
    }

    /// Records that the process is running; returns the number of pauses so far.
    fn count_pauses(&self) -> u64 {
        self.detector.borrow_mut().record_tick(self.options.clock.now())
    }

    fn handle_packet(&self, header: Header, raw: &[u8]) {
        self.options.metrics.received.inc();
        let mut forwarder = self.forwarder.borrow_mut();
        let Some(forwarder) = forwarder.as_mut() else { return };
        let seen = self.options.clock.now();
        let target = forwarder.forward(&header, seen);
        if let Ok(target) = target {
            let via = self.via.clone();
            let mode = Mode::Route;
            let forward = Forward { header, raw: raw.into(), via, seen, mode, hops: 0 };
            self.link.send(
                &target.agent,
                target.link,
                forwarder.version(),
                Message::Forward(forward),
            );
        }
    }

    fn handle_message(&self, envelope: Envelope, source: SocketAddr) {
        let Envelope { from, version, message, .. } = envelope;
        let own_version = self.forwarder.borrow().as_ref().map_or(0, Forwarder::version);
        if let Some(forwarder) = self.forwarder.borrow_mut().as_mut() {
            forwarder.answered(&from);
        }
        match message {
            Message::Reply { flow, raw } => self.reply(flow.service, flow.caller, &raw),
            Message::Gossip { control, notices, wants_reply } => {
                for notice in &notices {
                    self.handle_notice(notice);
                }
                let comparison =
                    self.gossip.borrow().compare(own_version, version, control, wants_reply);
                self.handle_comparison(&from, source, comparison);
                return;
            }
            Message::Ack => {}
            _ => self.options.metrics.count(Reason::WrongService),
        }
        if version > own_version {
            let manifest = self.manifest.borrow();
            if let Some(backend) = manifest.as_ref().and_then(|m| m.backend(&from)) {
                self.report(Report::Behind(backend.control));
            }
        }
    }

    fn reply(&self, service: SocketAddr, caller: SocketAddr, raw: &[u8]) {
        let listeners = self.listeners.borrow();
        let Some(listener) = listeners.get(&service) else {
            self.options.metrics.count(Reason::NoService);
            return;
        };
        self.options.metrics.answered.inc();
        if listener.socket.try_send_to(raw, caller).is_err() {
            self.options.metrics.count(Reason::ChannelFull);
        }
    }

    fn handle_notice(&self, notice: &Notice) {
        let news = self.gossip.borrow_mut().spread(notice);
        if let Some(forwarder) = self.forwarder.borrow_mut().as_mut().filter(|_| news) {
            forwarder.notice(notice.clone());
        }
    }

    fn handle_comparison(&self, from: &Name, source: SocketAddr, comparison: Comparison) {
        match comparison {
            Comparison::Same => {}
            Comparison::Pull(control) => self.report(Report::Behind(control)),
            Comparison::Push => {
                let message = self.gossip.borrow_mut().reply();
                let version = self.forwarder.borrow().as_ref().map_or(0, Forwarder::version);
                self.link.send(from, source, version, message);
            }
        }
    }

    fn tick(&self) {
        self.count_pauses();
        let now = self.options.clock.now();
        if let Some(forwarder) = self.forwarder.borrow_mut().as_mut() {
            self.options.metrics.add(forwarder.tally());
        }
        let manifest = self.manifest.borrow();
        let Some(manifest) = manifest.as_ref() else { return };
        let mut gossip = self.gossip.borrow_mut();
        for backend in gossip.due(manifest, &mut *self.rng.borrow_mut(), now) {
            let message = gossip.message();
            self.link.send(&backend.name, backend.link, manifest.version(), message);
        }
    }

    fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            self.options.metrics.count(Reason::ChannelFull);
        }
    }

    fn close_listeners(&self) {
        for listener in self.listeners.borrow_mut().values() {
            listener.task.abort();
        }
    }

    async fn relay_replies(&self, buffer: &mut [u8]) -> std::io::Result<()> {
        loop {
            let (envelope, source) = self.link.receive(buffer).await?;
            self.handle_message(envelope, source);
        }
    }
}
