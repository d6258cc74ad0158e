//! A backend: flows over UDP at `app`, the health port over TCP, and its entry in the store.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Record;
use crate::Rng;
use crate::packet;
use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Flow;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which a backend that has just started is slow.
const WARM_UP: Duration = Duration::from_millis(2_000);
/// How many times as long its work takes then.
const COLD: f64 = 1.6;
/// Time after which the HTTP server at the health port closes an idle connection.
const IDLE_CLOSE: Duration = Duration::from_secs(12);

#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub slots: usize,
    /// Unix milliseconds of its start by the clock of its machine.
    pub born: u64,
}

/// A request that the backend began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// When the opening packet of its flow was accepted.
    pub opened: f64,
    pub at: f64,
    /// When it was answered.
    pub done: Option<f64>,
}

struct Held {
    isn: u32,
    client_isn: u32,
    open: bool,
    opened: f64,
    next: u32,
    sent: u32,
    acked: u32,
    fin: bool,
    client_fin: bool,
    // Data packets since the last acknowledgement.
    unacked: u32,
    pending: Option<(Packet, Instant, Duration, u32)>,
}

struct Job {
    flow: Flow,
    run: usize,
    work: Duration,
    end: Option<Instant>,
}

pub struct Backend {
    pub plan: Plan,
    pub runs: Arc<Mutex<Vec<Run>>>,
    stop: Arc<AtomicBool>,
    beating: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    // Number of its writes to the store.
    written: Arc<AtomicU64>,
    store: Store,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Backend {
    pub fn start(plan: Plan, store: &Store, record: &Record, seed: u64) -> Self {
        let socket = UdpSocket::bind(plan.app).expect("the backend's address is free");
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let health = TcpListener::bind(plan.app).expect("the backend's health port is free");
        health.set_nonblocking(true).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let (beating, draining) = (Arc::new(AtomicBool::new(true)), Arc::default());
        let runs = Arc::new(Mutex::new(Vec::new()));
        record.line(&format!("backend {} starts at {} born {}", plan.id, plan.app, plan.born));
        let mut threads = Vec::new();
        {
            let (stop, plan) = (stop.clone(), plan.clone());
            let (runs, record): (Arc<Mutex<Vec<Run>>>, _) = (runs.clone(), record.clone());
            let draining: Arc<AtomicBool> = Arc::clone(&draining);
            threads.push(thread::spawn(move || {
                serve(&socket, &plan, &stop, &draining, &runs, &record, seed);
            }));
        }
        {
            let stop = stop.clone();
            threads.push(thread::spawn(move || accept(health, &stop)));
        }
        let store = store.clone();
        let backend =
            Self { plan, runs, stop, beating, draining, written: Arc::default(), store, threads };
        backend.spawn_heartbeats();
        backend
    }

    fn spawn_heartbeats(&self) {
        let (stop, beating) = (self.stop.clone(), self.beating.clone());
        let written = self.written.clone();
        let (plan, store, draining) =
            (self.plan.clone(), self.store.clone(), self.draining.clone());
        thread::spawn(move || {
            let start = Instant::now();
            while !stop.load(SeqCst) {
                if beating.load(SeqCst) {
                    let sequence = written.fetch_add(1, SeqCst) + 1;
                    write_entry(&plan, &store, draining.load(SeqCst), start, sequence);
                }
                let due = Instant::now() + HEARTBEAT;
                while Instant::now() < due && !stop.load(SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
            }
        });
    }

    /// Reports that it drains; returns once the store has accepted that.
    pub fn drain(&self) {
        self.draining.store(true, SeqCst);
        let sequence = self.written.fetch_add(1, SeqCst) + 1;
        write_entry(&self.plan, &self.store, true, Instant::now() - WARM_UP, sequence);
    }

    /// Ends it; its flows and requests are lost. Its entry stays until it lapses.
    pub fn crash(mut self) -> Vec<Run> {
        self.stop.store(true, SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.runs.lock().unwrap().clone()
    }

    /// Leaves as planned: it ends and its entry is removed.
    pub fn leave(self) -> Vec<Run> {
        let (store, key) = (self.store.clone(), format!("servers/{}", self.plan.id));
        let runs = self.crash();
        store.remove(&key);
        runs
    }
}

fn write_entry(plan: &Plan, store: &Store, draining: bool, start: Instant, sequence: u64) {
    let state = if draining { "draining" } else { "ready" };
    let cold = WARM_UP.saturating_sub(start.elapsed()).as_millis();
    let value = format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"max_concurrency\":{},\"state\":\"{state}\",\"warmup_left_ms\":{cold},\
         \"born\":{},\"sequence\":{sequence}}}",
        plan.service, plan.app, plan.zone, plan.slots, plan.born
    );
    store.renew(&format!("servers/{}", plan.id), &value);
}

fn accept(health: TcpListener, stop: &AtomicBool) {
    let mut open: Vec<(TcpStream, Instant)> = Vec::new();
    while !stop.load(SeqCst) {
        if let Ok((stream, _)) = health.accept() {
            open.push((stream, Instant::now()));
        }
        open.retain(|(_, at)| at.elapsed() < IDLE_CLOSE);
        thread::sleep(Duration::from_millis(2));
    }
}

fn serve(
    socket: &UdpSocket,
    plan: &Plan,
    stop: &AtomicBool,
    draining: &AtomicBool,
    runs: &Mutex<Vec<Run>>,
    record: &Record,
    seed: u64,
) {
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut flows: HashMap<Flow, Held> = HashMap::new();
    let mut queue: VecDeque<Job> = VecDeque::new();
    let mut buffer = [0; 2_048];
    let started = Instant::now();
    let send = |p: &Packet| {
        let _ = socket.send_to(&packet::encode(p, false), plan.outbound);
    };
    while !stop.load(SeqCst) {
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            let raw = &buffer[..length];
            match packet::decode(raw, true) {
                Ok((p, _)) => {
                    if !take(&p, plan, &mut flows, &mut queue, runs, record, &mut rng, &send) {
                        let _ = socket.send_to(&packet::bounced(raw), plan.outbound);
                    }
                }
                Err(e) => record.line(&format!("VIOLATION UNASKED {} got a packet: {e}", plan.id)),
            }
        }
        let now = Instant::now();
        for job in queue.iter_mut().take(plan.slots).filter(|j| j.end.is_none()) {
            let factor = if started.elapsed() < WARM_UP { COLD } else { 1.0 };
            job.end = Some(now + job.work.mul_f64(factor));
        }
        while let Some(i) = queue.iter().position(|j| j.end.is_some_and(|end| end <= now)) {
            let Some(job) = queue.remove(i) else { break };
            let id = {
                let mut runs = runs.lock().unwrap();
                runs[job.run].done = Some(record.now());
                runs[job.run].id.clone()
            };
            record.line(&format!("{} answers {id}", plan.id));
            let Some(held) = flows.get_mut(&job.flow) else { continue };
            let last = draining.load(SeqCst);
            let data = response(&id, &plan.id);
            let flags = if last { ACK | FIN } else { ACK };
            let (seq, length) = (held.sent, data.len() as u32);
            let p = Packet { flow: job.flow, flags, seq, ack: held.next, data };
            held.sent = seq.wrapping_add(length).wrapping_add(u32::from(last));
            held.fin |= last;
            held.unacked = 0;
            send(&p);
            held.pending = Some((p, now, Duration::from_millis(200), 0));
        }
        flows.retain(|_, held| {
            let Some((p, at, wait, count)) = &mut held.pending else { return true };
            if held.acked == held.sent {
                held.pending = None;
            } else if at.elapsed() >= *wait {
                if *count >= 8 {
                    return false;
                }
                send(p);
                (*at, *wait, *count) =
                    (now, (*wait * 2).min(Duration::from_millis(1_600)), *count + 1);
            }
            true
        });
    }
}

/// Handles a packet; returns false if it is to be returned.
#[allow(clippy::too_many_arguments)]
fn take(
    p: &Packet,
    plan: &Plan,
    flows: &mut HashMap<Flow, Held>,
    queue: &mut VecDeque<Job>,
    runs: &Mutex<Vec<Run>>,
    record: &Record,
    rng: &mut Rng,
    send: &impl Fn(&Packet),
) -> bool {
    if p.opens() {
        let fresh = flows.get(&p.flow).is_none_or(|h| h.client_isn != p.seq);
        if fresh {
            let isn = rng.draw() as u32;
            let next = p.seq.wrapping_add(1);
            let held = Held {
                isn,
                client_isn: p.seq,
                open: false,
                opened: record.now(),
                next,
                sent: isn.wrapping_add(1),
                acked: isn,
                fin: false,
                client_fin: false,
                unacked: 0,
                pending: None,
            };
            record.line(&format!("{} takes the opening of port {}", plan.id, p.flow.client.1));
            flows.insert(p.flow, held);
        }
        let held = &flows[&p.flow];
        send(&Packet {
            flow: p.flow,
            flags: SYN | ACK,
            seq: held.isn,
            ack: held.next,
            data: Vec::new(),
        });
        return true;
    }
    let Some(held) = flows.get_mut(&p.flow) else { return false };
    if !held.open {
        if p.ack != held.isn.wrapping_add(1) {
            return false;
        }
        held.open = true;
        held.acked = p.ack;
    }
    if p.has(RST) {
        flows.remove(&p.flow);
        return true;
    }
    if p.has(ACK) && (p.ack.wrapping_sub(held.acked) as i32) > 0 {
        held.acked = p.ack;
    }
    let ack = |held: &Held| Packet {
        flow: p.flow,
        flags: ACK,
        seq: held.sent,
        ack: held.next,
        data: Vec::new(),
    };
    if !p.data.is_empty() {
        let fresh = p.seq == held.next;
        if fresh {
            held.next = p.seq.wrapping_add(p.data.len() as u32);
            let text = String::from_utf8_lossy(&p.data);
            let find = |name: &str| {
                let line = text.lines().find_map(|l| l.strip_prefix(name));
                line.map(|v| v.trim().to_owned()).unwrap_or_default()
            };
            let id = find("X-Lagoonhollow-Request-Id:");
            let work = find("X-Work-Ms:").parse().unwrap_or(25);
            let mut list = runs.lock().unwrap();
            let run = Run { id: id.clone(), opened: held.opened, at: record.now(), done: None };
            list.push(run);
            queue.push_back(Job {
                flow: p.flow,
                run: list.len() - 1,
                work: Duration::from_millis(work),
                end: None,
            });
            record.line(&format!("{} runs {id}", plan.id));
        }
        // Every second packet is acknowledged, and each that was sent again.
        held.unacked += if fresh { 1 } else { 2 };
        if held.unacked >= 2 {
            held.unacked = 0;
            send(&ack(held));
        }
    }
    if p.has(FIN) && p.seq.wrapping_add(p.data.len() as u32) == held.next && !held.client_fin {
        held.client_fin = true;
        held.next = held.next.wrapping_add(1);
        if held.fin {
            send(&ack(held));
        } else {
            let fin = Packet { flags: ACK | FIN, ..ack(held) };
            held.fin = true;
            held.sent = held.sent.wrapping_add(1);
            send(&fin);
            held.pending = Some((fin, Instant::now(), Duration::from_millis(200), 0));
        }
    } else if p.has(FIN) {
        send(&ack(held));
    }
    true
}

fn response(id: &str, backend: &str) -> Vec<u8> {
    let body = format!("{id:-<560}");
    format!(
        "HTTP/1.1 200 OK\r\nX-Lagoonhollow-Backend-Signature: {backend}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
