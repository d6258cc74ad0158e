//! Clients: each flow carries requests of one kind over UDP, from one address.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
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
use crate::router::Router;

const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const GIVE_UP: Duration = Duration::from_millis(1_400);

/// How a client's flows look.
#[derive(Clone, Copy)]
pub struct Kind {
    /// Requests of one flow; a flow each for unsafe ones.
    pub requests: u32,
    /// Pause between two requests of one flow.
    pub pause: Duration,
    /// Work of a request.
    pub work: Duration,
    pub deadline: Duration,
    /// Time between the openings of two flows of a client.
    pub every: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered,
    NeverOpened,
    Reset,
    Deadline,
}

/// One request, sent on one flow.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub port: u16,
    /// When the first opening packet of its flow was sent.
    pub opened: f64,
    pub at: f64,
    pub end: Option<(End, f64)>,
}

/// A reset that a client got on a flow that had opened.
#[derive(Clone, Debug)]
pub struct Reset {
    pub name: String,
    pub port: u16,
    /// When the first opening packet of the flow was sent.
    pub opened: f64,
    /// When the client last sent or got a packet before it.
    pub used: f64,
    pub at: f64,
    /// Whether it is one of the system's own rather than of the backend.
    pub system: bool,
}

/// What a client has sent and seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub sent: Vec<Sent>,
    pub resets: Vec<Reset>,
}

struct Open {
    isn: u32,
    server: Option<u32>,
    begun: Instant,
    begun_at: f64,
    copies: usize,
    seq: u32,
    next: u32,
    left: u32,
    due: Option<Instant>,
    request: Option<(usize, Packet, Instant, Instant, Duration)>,
    body: Vec<u8>,
    acked: u32,
    used: f64,
}

/// Runs a client at `ip` until `stop`; returns what it sent and saw.
#[allow(clippy::too_many_arguments)]
pub fn spawn(
    ip: Ipv4Addr,
    callers: u16,
    route: (Ipv4Addr, u16),
    kind: Kind,
    router: &Router,
    record: &Record,
    stop: &Arc<AtomicBool>,
    name: &str,
) -> thread::JoinHandle<Seen> {
    let (router, record, stop) = (router.clone(), record.clone(), stop.clone());
    let name = name.to_owned();
    thread::spawn(move || run(ip, callers, route, kind, &router, &record, &stop, &name))
}

#[allow(clippy::too_many_arguments)]
fn run(
    ip: Ipv4Addr,
    callers: u16,
    route: (Ipv4Addr, u16),
    kind: Kind,
    router: &Router,
    record: &Record,
    stop: &AtomicBool,
    name: &str,
) -> Seen {
    let socket = UdpSocket::bind((ip, callers)).expect("the client's address is free");
    socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
    let mut rng = Rng(u64::from(u32::from(ip)).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut sent: Vec<Sent> = Vec::new();
    let mut resets: Vec<Reset> = Vec::new();
    let mut flows: HashMap<Flow, Open> = HashMap::new();
    let mut port = 20_000u16;
    let mut next_flow = Instant::now() + kind.every.mul_f64((rng.draw() % 100) as f64 / 100.0);
    let mut buffer = [0; 2_048];
    let send = |p: &Packet| {
        if let Some(entry) = router.pick(&p.flow) {
            let _ = socket.send_to(&packet::encode(p, true), entry);
        }
    };
    loop {
        let now = Instant::now();
        if stop.load(SeqCst) && flows.is_empty() {
            return Seen { sent, resets };
        }
        if !stop.load(SeqCst) && now >= next_flow {
            next_flow = now + kind.every;
            port += 1;
            let flow = Flow { client: (ip, port), route };
            let isn = rng.draw() as u32;
            let open = Open {
                isn,
                server: None,
                begun: now,
                begun_at: record.now(),
                copies: 0,
                seq: isn.wrapping_add(1),
                next: 0,
                left: kind.requests,
                due: None,
                request: None,
                body: Vec::new(),
                acked: isn.wrapping_add(1),
                used: record.now(),
            };
            send(&Packet { flow, flags: SYN, seq: isn, ack: 0, data: Vec::new() });
            flows.insert(flow, open);
        }
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            match packet::decode(&buffer[..length], false) {
                Err(e) => record.line(&format!("VIOLATION MIXED {name} got a packet: {e}")),
                Ok((p, system)) => {
                    let Some(open) = flows.get_mut(&p.flow) else { continue };
                    if p.has(RST) {
                        let valid = !system
                            || open.server.is_none()
                            || p.seq.wrapping_sub(open.next).wrapping_add(76_800) <= 153_600;
                        record.line(&format!(
                            "{name} port {} gets a reset, system {system} valid {valid}",
                            p.flow.client.1
                        ));
                        if open.server.is_some() {
                            resets.push(Reset {
                                name: name.to_owned(),
                                port: p.flow.client.1,
                                opened: open.begun_at,
                                used: open.used,
                                at: record.now(),
                                system,
                            });
                        }
                        if valid {
                            finish(open, &mut sent, record, name, End::Reset, p.flow.client.1);
                            flows.remove(&p.flow);
                        }
                        continue;
                    }
                    open.used = record.now();
                    if p.has(SYN) {
                        match open.server {
                            None => {
                                open.server = Some(p.seq);
                                open.next = p.seq.wrapping_add(1);
                                open.due = Some(Instant::now());
                                send(&ack_of(&p.flow, open));
                            }
                            Some(isn) if isn == p.seq => send(&ack_of(&p.flow, open)),
                            // Another backend answered as well.
                            Some(_) => {}
                        }
                        continue;
                    }
                    if open.server.is_none() {
                        continue;
                    }
                    if (p.ack.wrapping_sub(open.acked) as i32) > 0 {
                        open.acked = p.ack;
                    }
                    if p.data.is_empty() && !p.has(FIN) {
                        continue;
                    }
                    let fresh = p.seq == open.next;
                    if fresh {
                        open.next = p.seq.wrapping_add(p.data.len() as u32);
                        open.body.extend_from_slice(&p.data);
                        if p.has(FIN) {
                            open.next = open.next.wrapping_add(1);
                            open.left = 0;
                        }
                    }
                    let whole = open.request.as_ref().is_some_and(|r| {
                        let text = String::from_utf8_lossy(&open.body);
                        is_whole(&text) && {
                            if !text.contains(&format!("\r\n\r\n{}-", sent[r.0].id)) {
                                record.line(&format!("VIOLATION MIXED {name} got {text}"));
                            }
                            true
                        }
                    });
                    if whole || !fresh {
                        send(&ack_of(&p.flow, open));
                    }
                    if whole {
                        open.body.clear();
                        finish(open, &mut sent, record, name, End::Answered, p.flow.client.1);
                        open.due = Some(Instant::now() + kind.pause);
                        if open.left == 0 {
                            let fin = Packet { flags: ACK | FIN, ..ack_of(&p.flow, open) };
                            send(&fin);
                            flows.remove(&p.flow);
                        }
                    }
                }
            }
        }
        let now = Instant::now();
        let mut ended = Vec::new();
        for (flow, open) in &mut flows {
            if open.server.is_none() {
                let waited = open.begun.elapsed();
                if open.copies < COPIES.len() && waited >= COPIES[open.copies] {
                    open.copies += 1;
                    let ack = open.copies as u32;
                    send(&Packet { flow: *flow, flags: SYN, seq: open.isn, ack, data: Vec::new() });
                } else if waited >= GIVE_UP {
                    record.line(&format!("{name} port {} never opened", flow.client.1));
                    let id = format!("{name}-{}-none", flow.client.1);
                    let at = record.now();
                    sent.push(Sent {
                        id,
                        port: flow.client.1,
                        opened: open.begun_at,
                        at,
                        end: Some((End::NeverOpened, at)),
                    });
                    ended.push(*flow);
                }
                continue;
            }
            if let Some((_, p, deadline, resend, wait)) = &mut open.request {
                if now >= *deadline {
                    finish(open, &mut sent, record, name, End::Deadline, flow.client.1);
                    ended.push(*flow);
                } else if now >= *resend && (p.seq.wrapping_sub(open.acked) as i32) >= 0 {
                    let p = Packet { ack: open.next, ..p.clone() };
                    send(&p);
                    *wait = (*wait * 2).min(Duration::from_millis(1_600));
                    *resend = now + *wait;
                }
            } else if open.due.is_some_and(|due| now >= due) {
                if open.left == 0 || stop.load(SeqCst) {
                    let fin = Packet { flags: ACK | FIN, ..ack_of(flow, open) };
                    send(&fin);
                    ended.push(*flow);
                    continue;
                }
                let number = kind.requests - open.left;
                open.left -= 1;
                let id = format!("{name}-{}-{number}", flow.client.1);
                let text = format!(
                    "POST /r HTTP/1.1\r\nX-Lagoonhollow-Request-Id: {id}\r\nX-Work-Ms: {}\r\n\r\n",
                    kind.work.as_millis()
                );
                let p = Packet { data: text.into_bytes(), ..ack_of(flow, open) };
                open.seq = open.seq.wrapping_add(p.data.len() as u32);
                send(&p);
                let at = record.now();
                open.used = at;
                record.line(&format!("{name} sends {id}"));
                sent.push(Sent { id, port: flow.client.1, opened: open.begun_at, at, end: None });
                let wait = Duration::from_millis(200);
                open.request = Some((sent.len() - 1, p, now + kind.deadline, now + wait, wait));
                open.due = None;
            }
        }
        for flow in ended {
            flows.remove(&flow);
        }
    }
}

fn ack_of(flow: &Flow, open: &Open) -> Packet {
    Packet { flow: *flow, flags: ACK, seq: open.seq, ack: open.next, data: Vec::new() }
}

fn finish(open: &mut Open, sent: &mut [Sent], record: &Record, name: &str, end: End, port: u16) {
    match open.request.take() {
        Some((i, ..)) => {
            record.line(&format!("{} ends: {end:?}", sent[i].id));
            sent[i].end = Some((end, record.now()));
        }
        None => record.line(&format!("{name} port {port} ends without a request: {end:?}")),
    }
}

fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
    length.and_then(|l| l.trim().parse::<usize>().ok()).is_some_and(|l| body.len() >= l)
}
