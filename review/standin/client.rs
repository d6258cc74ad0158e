//! A stand-in of a client host, which opens flows and sends requests on them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::backend::Key;
use crate::fabric::Fabric;
use crate::record::Random;
use crate::record::Record;
use crate::stream::Part;
use crate::stream::Stream;
use crate::wire::ACK;
use crate::wire::FIN;
use crate::wire::Packet;
use crate::wire::RST;
use crate::wire::SYN;
use crate::wire::Sum;

/// Times after the first SYN at which copies are sent; at the last the attempt ends.
const OPENING: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(1_400)];
/// Largest distance of a reset's sequence number from the client's last `ack`.
const RESET_WINDOW: u32 = 76_800;

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Both ends closed it.
    Closed,
    /// It never opened.
    NotOpened,
    /// A reset with sum 0 came before it was open.
    Refused,
    /// A reset with sum 0 came on the open flow.
    ResetBySystem,
    /// A reset of the backend's came.
    ResetByBackend,
    /// The client gave up.
    GivenUp,
}

struct Flow {
    isn: u32,
    started: Instant,
    copies: usize,
    open: bool,
    backend_isn: u32,
    // Sequence number of the next byte from the backend.
    next: u32,
    input: Vec<u8>,
    // Packets that were not acknowledged; every second one is.
    pending: u32,
    output: Stream,
    // The node that gets the packets, if the routers don't choose it.
    node: Option<SocketAddrV4>,
    // The request that waits for its answer, with its deadline.
    waiting: Option<(String, Instant)>,
    answered: u32,
    end: Option<(End, Duration)>,
}

/// A client host; clones share it.
#[derive(Clone)]
pub struct Client {
    pub address: SocketAddrV4,
    socket: Arc<UdpSocket>,
    fabric: Fabric,
    flows: Arc<Mutex<HashMap<Key, Flow>>>,
    random: Arc<Mutex<Random>>,
    record: Record,
}

impl Client {
    pub fn bind(address: SocketAddrV4, fabric: &Fabric, record: &Record) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address)?);
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let random = Random::open(u64::from(u32::from(*address.ip())) + 7);
        let client = Self {
            address,
            socket,
            fabric: fabric.clone(),
            flows: Arc::default(),
            random: Arc::new(Mutex::new(random)),
            record: record.clone(),
        };
        let served = client.clone();
        thread::spawn(move || served.serve());
        Ok(client)
    }

    /// Opens a flow from `port` to a route.
    pub fn open(&self, port: u16, route: SocketAddrV4) -> Key {
        self.open_through(None, port, route)
    }

    /// Opens a flow whose packets go to `node`, or else to the one that the routers choose.
    pub fn open_through(&self, node: Option<SocketAddrV4>, port: u16, route: SocketAddrV4) -> Key {
        let key = (SocketAddrV4::new(*self.address.ip(), port), route);
        let isn = self.random.lock().unwrap().next();
        let flow = Flow {
            isn,
            started: Instant::now(),
            copies: 0,
            open: false,
            backend_isn: 0,
            next: 0,
            input: Vec::new(),
            pending: 0,
            output: Stream::open(isn.wrapping_add(1)),
            node,
            waiting: None,
            answered: 0,
            end: None,
        };
        self.flows.lock().unwrap().insert(key, flow);
        self.send(&key, node, (SYN, isn, 0), Vec::new());
        key
    }

    /// Sends a request on an open flow that has none waiting; returns whether it did.
    pub fn request(&self, key: &Key, id: &str, work: Duration, deadline: Duration) -> bool {
        let mut flows = self.flows.lock().unwrap();
        let flow = flows.get_mut(key);
        let Some(flow) = flow.filter(|f| f.open && f.end.is_none() && f.waiting.is_none()) else {
            return false;
        };
        flow.output.write(
            format!(
                "GET /{id} HTTP/1.1\r\nX-Lagoonhollow-Request-Id: {id}\r\nX-Work-Ms: {}\r\n\
                 X-Answer-Bytes: 2000\r\n\r\n",
                work.as_millis()
            )
            .as_bytes(),
        );
        flow.waiting = Some((id.to_owned(), Instant::now() + deadline));
        self.record.line(format!("REQUEST {id} sent by {} to {}", key.0, key.1));
        true
    }

    /// Closes a flow.
    pub fn close(&self, key: &Key) {
        if let Some(flow) = self.flows.lock().unwrap().get_mut(key) {
            flow.output.close();
        }
    }

    /// Returns whether a flow is open and has no request waiting.
    pub fn is_idle(&self, key: &Key) -> bool {
        let flows = self.flows.lock().unwrap();
        flows.get(key).is_some_and(|f| f.open && f.end.is_none() && f.waiting.is_none())
    }

    /// Returns how a flow ended and when, and the number of answers on it.
    pub fn end(&self, key: &Key) -> (Option<(End, Duration)>, u32) {
        let flows = self.flows.lock().unwrap();
        flows.get(key).map_or((None, 0), |f| (f.end, f.answered))
    }

    fn serve(&self) {
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length]);
            }
            self.advance();
        }
    }

    fn receive(&self, raw: &[u8]) {
        let Some((packet, sum)) = Packet::decode(raw) else { return };
        let key = (packet.dst, packet.src);
        let system = sum == Sum::Zero && packet.has(RST) && packet.data.is_empty();
        if sum != Sum::Right && !system {
            return self.record.line(format!("WRONG a changed packet reached {}", key.0));
        }
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&key).filter(|f| f.end.is_none()) else { return };
        if packet.has(RST) {
            let near = flow.next.wrapping_sub(packet.seq).min(packet.seq.wrapping_sub(flow.next));
            if flow.open && system && near > RESET_WINDOW {
                let line = format!("RESET out of window, {} to {}", key.0, key.1);
                return self.record.line(line);
            }
            let end = match (flow.open, system) {
                (false, _) => End::Refused,
                (true, true) => End::ResetBySystem,
                (true, false) => End::ResetByBackend,
            };
            return self.finish(&key, flow, end);
        }
        if packet.has(SYN) {
            if packet.ack != flow.isn.wrapping_add(1) {
                return;
            }
            if !flow.open {
                flow.open = true;
                flow.backend_isn = packet.seq;
                flow.next = packet.seq.wrapping_add(1);
                self.record.line(format!("OPENED {} to {} for the client", key.0, key.1));
            } else if flow.backend_isn != packet.seq {
                return;
            }
            let (node, seq, ack) = (flow.node, flow.output.next(), flow.next);
            drop(flows);
            return self.send(&key, node, (ACK, seq, ack), Vec::new());
        }
        if !flow.open {
            return;
        }
        flow.output.acked(packet.ack);
        let has_bytes = !packet.data.is_empty() || packet.has(FIN);
        flow.pending += u32::from(has_bytes);
        let answers = flow.pending >= 2;
        flow.pending %= 2;
        if packet.seq == flow.next && has_bytes {
            flow.input.extend(&packet.data);
            flow.next = packet.end();
            if packet.has(FIN) {
                flow.output.close();
            }
            self.take_answer(&key, flow);
            if packet.has(FIN) {
                let (node, seq, ack) = (flow.node, flow.output.next(), flow.next);
                self.send(&key, node, (ACK, seq, ack), Vec::new());
                return self.finish(&key, flow, End::Closed);
            }
        }
        let (node, seq, ack) = (flow.node, flow.output.next(), flow.next);
        drop(flows);
        if answers {
            self.send(&key, node, (ACK, seq, ack), Vec::new());
        }
    }

    /// Takes a whole answer out of the bytes that have arrived.
    fn take_answer(&self, key: &Key, flow: &mut Flow) {
        let Some(end) = flow.input.windows(4).position(|w| w == b"\r\n\r\n") else { return };
        let head = String::from_utf8_lossy(&flow.input[..end]).into_owned();
        let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
        let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        if flow.input.len() < end + 4 + length {
            return;
        }
        flow.input.drain(..end + 4 + length);
        let signature = head.rsplit(": ").next().unwrap_or_default().to_owned();
        match flow.waiting.take() {
            Some((id, _)) if signature.ends_with(&format!("-{id}")) => {
                flow.answered += 1;
                self.record.line(format!("ANSWER {id} to {} signed {signature}", key.0));
            }
            waiting => {
                let line = format!("WRONG answer {signature} to {}, {waiting:?} waits", key.0);
                self.record.line(line);
            }
        }
    }

    fn advance(&self) {
        let now = Instant::now();
        let mut out = Vec::new();
        let mut flows = self.flows.lock().unwrap();
        for (key, flow) in flows.iter_mut().filter(|(_, f)| f.end.is_none()) {
            if !flow.open {
                if now < flow.started + OPENING[flow.copies] {
                    continue;
                }
                flow.copies += 1;
                if flow.copies == OPENING.len() {
                    self.finish(key, flow, End::NotOpened);
                } else {
                    out.push((*key, flow.node, (SYN, flow.isn, flow.copies as u32), Vec::new()));
                }
                continue;
            }
            if let Some((id, _)) = flow.waiting.take_if(|(_, deadline)| *deadline <= now) {
                self.record.line(format!("DEADLINE of {id}, {} to {}", key.0, key.1));
                let head = (RST | ACK, flow.output.next(), flow.next);
                out.push((*key, flow.node, head, Vec::new()));
                self.finish(key, flow, End::GivenUp);
                continue;
            }
            let parts = flow.output.take().into_iter().chain(flow.output.retry());
            for Part { seq, data, fin } in parts {
                let flags = if fin { FIN | ACK } else { ACK };
                out.push((*key, flow.node, (flags, seq, flow.next), data));
            }
        }
        drop(flows);
        for (key, node, head, data) in out {
            self.send(&key, node, head, data);
        }
    }

    fn finish(&self, key: &Key, flow: &mut Flow, end: End) {
        flow.end = Some((end, self.record.now()));
        let answers = flow.answered;
        let line = format!("FLOW-END {} to {}: {end:?} after {answers} answers", key.0, key.1);
        self.record.line(line);
    }

    /// Sends a packet with flags, `seq` and `ack`.
    fn send(
        &self,
        key: &Key,
        node: Option<SocketAddrV4>,
        (flags, seq, ack): (u8, u32, u32),
        data: Vec<u8>,
    ) {
        let packet = Packet { src: key.0, dst: key.1, flags, seq, ack, data };
        if let Some(node) = node.or_else(|| self.fabric.pick(key.0, key.1)) {
            // A packet to a node that does not run is lost.
            let _ = self.socket.send_to(&packet.encode(), node);
        }
    }
}
