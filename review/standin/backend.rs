//! A stand-in of a backend: its end of the flows, its health check and its slots.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::record::Random;
use crate::record::Record;
use crate::stream::Part;
use crate::stream::Stream;
use crate::wire;
use crate::wire::ACK;
use crate::wire::FIN;
use crate::wire::Packet;
use crate::wire::RST;
use crate::wire::SYN;
use crate::wire::Sum;

/// The ends of a flow: the client's and the route's.
pub type Key = (SocketAddrV4, SocketAddrV4);

/// Time for which a backend that has started is slow, and how much, as in the site file.
const WARMUP: Duration = Duration::from_secs(2);
const SLOW_START: f64 = 1.6;
/// Retransmissions after which a backend gives up.
const MAX_TRIES: u32 = 8;
/// Time for which an ended flow is remembered.
const REMEMBERED: Duration = Duration::from_secs(3);

struct Flow {
    isn: u32,
    client_isn: u32,
    open: bool,
    // Sequence number of the next byte from the client.
    next: u32,
    input: Vec<u8>,
    // Packets that were not acknowledged; every second one is.
    pending: u32,
    client_closed: bool,
    output: Stream,
    ended: Option<Instant>,
}

struct Job {
    flow: Key,
    id: String,
    work: Duration,
    length: usize,
}

/// What a backend did with a flow.
#[derive(Clone, Debug)]
pub enum Event {
    /// It took the opening packet.
    Taken(Key),
    /// It began to work on a request of the flow.
    Run(Key),
}

struct State {
    flows: HashMap<Key, Flow>,
    queue: VecDeque<Job>,
    running: Vec<(Instant, Job)>,
    random: Random,
    events: Vec<(Duration, Event)>,
}

/// A running backend; clones share it.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub slots: usize,
    pub born: u128,
    started: Instant,
    outbound: SocketAddrV4,
    // None once the backend has crashed.
    socket: Arc<Mutex<Option<Arc<UdpSocket>>>>,
    beats: Arc<AtomicU64>,
    state: Arc<Mutex<State>>,
    draining: Arc<AtomicBool>,
    record: Record,
}

impl Backend {
    pub fn bind(
        id: &str,
        service: &str,
        address: SocketAddrV4,
        outbound: SocketAddrV4,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address)?);
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let health = TcpListener::bind(address)?;
        health.set_nonblocking(true)?;
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let state = State {
            flows: HashMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            random: Random::open(u64::from(u32::from(*address.ip()))),
            events: Vec::new(),
        };
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: "z".to_owned(),
            slots: 4,
            born: born.map_or(0, |d| d.as_millis()),
            started: Instant::now(),
            outbound,
            socket: Arc::new(Mutex::new(Some(socket))),
            beats: Arc::default(),
            state: Arc::new(Mutex::new(state)),
            draining: Arc::default(),
            record: record.clone(),
        };
        let checked = backend.clone();
        thread::spawn(move || checked.answer_health(&health));
        let served = backend.clone();
        thread::spawn(move || served.serve());
        Ok(backend)
    }

    /// Returns the backend's entry for the store, as its next heartbeat has it.
    pub fn entry(&self) -> String {
        let sequence = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let Self { service, address, zone, slots, born, .. } = self;
        let warmup = WARMUP.saturating_sub(self.started.elapsed()).as_millis();
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"max_concurrency\":{slots},\"state\":\"{state}\",\
             \"warmup_left_ms\":{warmup},\"sequence\":{sequence},\"born\":{born}}}"
        )
    }

    /// Ends the backend's process: its flows are gone and its address refuses packets.
    pub fn crash(&self) {
        *self.socket.lock().unwrap() = None;
        // The threads end within their time-outs.
        thread::sleep(Duration::from_millis(30));
        self.record.line(format!("CRASH of {} of born {}", self.id, self.born));
    }

    /// Starts a crashed backend again under its id.
    pub fn restart(&self) -> std::io::Result<Self> {
        let Self { id, service, address, outbound, record, .. } = self;
        let backend = Self::bind(id, service, *address, *outbound, record)?;
        record.line(format!("RESTART of {id} of born {}", backend.born));
        Ok(backend)
    }

    pub fn is_running(&self) -> bool {
        self.socket.lock().unwrap().is_some()
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the backend holds a flow that is open.
    pub fn holds(&self, flow: &Key) -> bool {
        let state = self.state.lock().unwrap();
        state.flows.get(flow).is_some_and(|f| f.open && f.ended.is_none())
    }

    /// Returns what the backend did, with the times since the start of the record.
    pub fn events(&self) -> Vec<(Duration, Event)> {
        self.state.lock().unwrap().events.clone()
    }

    fn serve(&self) {
        let mut buffer = [0; 2_048];
        loop {
            let Some(socket) = self.socket.lock().unwrap().clone() else { return };
            // An error reports that the node beside the backend did not run.
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length]);
            }
            self.advance();
        }
    }

    fn send_raw(&self, raw: &[u8]) {
        if let Some(socket) = self.socket.lock().unwrap().as_ref() {
            let _ = socket.send_to(raw, self.outbound);
        }
    }

    /// Answers health checks; idle connections stay open until the backend ends.
    fn answer_health(&self, listener: &TcpListener) {
        let mut open = Vec::new();
        while self.is_running() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            open.extend(stream.try_clone());
            let draining = self.draining.clone();
            thread::spawn(move || answer_checks(stream, &draining));
        }
        for stream in open {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn receive(&self, raw: &[u8]) {
        let id = &self.id;
        let Some((packet, Sum::Right)) = Packet::decode(raw) else {
            return self.record.line(format!("WRONG a changed packet reached {id}"));
        };
        let key = (packet.src, packet.dst);
        let mut state = self.state.lock().unwrap();
        if packet.has(SYN) && packet.has(ACK) {
            return self.record.line(format!("WRONG a SYN+ACK reached {id}"));
        }
        if packet.has(SYN) {
            let known = state.flows.get(&key).filter(|f| f.client_isn == packet.seq);
            let isn = match known.map(|f| f.isn) {
                Some(isn) => isn,
                None => {
                    let isn = state.random.next();
                    state.flows.insert(key, Flow::open(isn, packet.seq));
                    isn
                }
            };
            state.events.push((self.record.now(), Event::Taken(key)));
            let (service, from, to) = (&self.service, packet.src, packet.dst);
            self.record.line(format!("SYN {from} to {to} taken by {id} of {service}"));
            drop(state);
            return self.send(&key, SYN | ACK, isn, packet.seq.wrapping_add(1), Vec::new());
        }
        let fits = |f: &Flow| f.open || (packet.has(ACK) && packet.ack == f.isn.wrapping_add(1));
        let Some(flow) = state.flows.get_mut(&key).filter(|f| fits(f)) else {
            drop(state);
            self.record.line(format!("BOUNCED a packet of {} to {} by {id}", key.0, key.1));
            self.send_raw(&wire::bounced(raw));
            return;
        };
        if !flow.open {
            flow.open = true;
            self.record.line(format!("OPEN {} to {} at {id}", key.0, key.1));
        }
        if packet.has(RST) {
            self.record.line(format!("CLIENT-RST {} to {} at {id}", key.0, key.1));
            state.flows.remove(&key);
            return;
        }
        if flow.ended.is_some() {
            let (seq, next) = (flow.output.next(), flow.next);
            drop(state);
            let flags = if packet.data.is_empty() { ACK } else { RST | ACK };
            if packet.has(FIN) || !packet.data.is_empty() {
                self.send(&key, flags, seq, next, Vec::new());
            }
            return;
        }
        flow.output.acked(packet.ack);
        flow.pending += u32::from(!packet.data.is_empty());
        let answers = flow.pending >= 2 || packet.has(FIN);
        flow.pending %= 2;
        if packet.seq == flow.next {
            flow.input.extend(&packet.data);
            flow.next = packet.end();
            if packet.has(FIN) {
                flow.client_closed = true;
                flow.output.close();
            }
        }
        let (seq, next) = (flow.output.next(), flow.next);
        let mut jobs = Vec::new();
        while let Some(job) = parse_request(&key, &mut flow.input) {
            jobs.push(job);
        }
        state.queue.extend(jobs);
        drop(state);
        if answers {
            self.send(&key, ACK, seq, next, Vec::new());
        }
    }

    /// Starts and ends requests, and sends what is due.
    fn advance(&self) {
        let now = Instant::now();
        let mut out = Vec::new();
        let mut state = self.state.lock().unwrap();
        let State { flows, queue, running, events, .. } = &mut *state;
        let (done, still): (Vec<_>, Vec<_>) = running.drain(..).partition(|(at, _)| *at <= now);
        *running = still;
        for (_, job) in done {
            let Some(flow) = flows.get_mut(&job.flow) else { continue };
            flow.output.write(&response(&self.id, &job));
            if self.draining.load(Ordering::SeqCst) {
                flow.output.close();
            }
        }
        while running.len() < self.slots {
            let Some(job) = queue.pop_front() else { break };
            let (from, to) = job.flow;
            self.record.line(format!(
                "RUN {} of {from} to {to} at {} of {}",
                job.id, self.id, self.service
            ));
            events.push((self.record.now(), Event::Run(job.flow)));
            let slow = self.started.elapsed() < WARMUP;
            let work = if slow { job.work.mul_f64(SLOW_START) } else { job.work };
            running.push((now + work, job));
        }
        for (key, flow) in flows.iter_mut().filter(|(_, f)| f.open && f.ended.is_none()) {
            let parts = flow.output.take().into_iter().chain(flow.output.retry());
            out.extend(parts.map(|part| (*key, part, flow.next)));
            if flow.client_closed && flow.output.is_finished() || flow.output.tries > MAX_TRIES {
                flow.ended = Some(now);
                self.record.line(format!("END {} to {} at {}", key.0, key.1, self.id));
            }
        }
        flows.retain(|_, f| f.ended.is_none_or(|at| now.duration_since(at) < REMEMBERED));
        drop(state);
        for (key, Part { seq, data, fin }, next) in out {
            self.send(&key, if fin { FIN | ACK } else { ACK }, seq, next, data);
        }
    }

    fn send(&self, key: &Key, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet { src: key.1, dst: key.0, flags, seq, ack, data };
        self.send_raw(&packet.encode());
    }
}

impl Flow {
    fn open(isn: u32, client_isn: u32) -> Self {
        Self {
            isn,
            client_isn,
            open: false,
            next: client_isn.wrapping_add(1),
            input: Vec::new(),
            pending: 0,
            client_closed: false,
            output: Stream::open(isn.wrapping_add(1)),
            ended: None,
        }
    }
}

/// Takes a whole request out of the bytes that have arrived.
fn parse_request(flow: &Key, input: &mut Vec<u8>) -> Option<Job> {
    let end = input.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let header = |name: &str| {
        let line = head.lines().find(|l| l.to_ascii_lowercase().starts_with(name))?;
        line.split_once(": ").map(|(_, v)| v.trim().to_owned())
    };
    let body = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    if input.len() < end + body {
        return None;
    }
    input.drain(..end + body);
    let number = |name: &str| header(name).and_then(|v| v.parse::<u64>().ok());
    Some(Job {
        flow: *flow,
        id: header("x-lagoonhollow-request-id").unwrap_or_default(),
        work: Duration::from_millis(number("x-work-ms").unwrap_or(5)),
        length: number("x-answer-bytes").unwrap_or(600) as usize,
    })
}

fn response(backend: &str, job: &Job) -> Vec<u8> {
    let Job { id, length, .. } = job;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\
         X-Lagoonhollow-Backend-Signature: {backend}-{id}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes
}

fn answer_checks(mut stream: TcpStream, draining: &AtomicBool) {
    let mut buffer = [0; 1_024];
    while let Ok(1..) = stream.read(&mut buffer) {
        let status = if draining.load(Ordering::SeqCst) { 503 } else { 200 };
        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
