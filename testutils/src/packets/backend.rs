//! A model of a backend server for the packet front end.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Length of every answer in bytes.
pub const ANSWER_LEN: u16 = 600;

/// Number of initial sequence numbers to draw from; so few that those of two backend
/// servers are often close to each other.
const ISN_RANGE: u32 = 1 << 20;

/// State of one flow at the backend server.
#[derive(Clone, Debug)]
pub struct HeldFlow {
    /// Initial sequence number of the backend server.
    pub isn: u32,
    /// Whether the caller has acknowledged it, which opens the flow.
    pub open: bool,
    caller_isn: u32,
    // Sequence number of the next byte expected from the caller.
    next_seq: u32,
    // Requests received and answered.
    received: u32,
    answered: u32,
}

/// A queued request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Flow of the request.
    pub flow: FlowKey,
    /// Service time on a backend server of normal speed.
    pub work: Duration,
}

/// Reaction of the backend server to a packet.
#[derive(Clone, Debug)]
pub enum BackendAction {
    /// Sends a packet to the caller.
    Send(Packet),
    /// Returns the packet to the agent because it belongs to no flow held here.
    Return(Packet),
    /// Starts a request of the flow, which takes this time.
    Begin(FlowKey, Duration),
}

/// A backend server that runs up to its number of slots requests at once and queues
/// the others.
#[derive(Debug)]
pub struct Backend {
    /// Registration.
    pub member: Member,
    /// Whether it runs.
    pub up: bool,
    /// Whether packets get no reaction while it is stopped, instead of being refused.
    pub silent: bool,
    /// Factor applied to normal service times.
    pub slowdown: f64,
    /// Flows that it holds, open or opening.
    pub held: HashMap<FlowKey, HeldFlow>,
    /// Number of requests started so far.
    pub begun: u64,
    stopped_at: Moment,
    running: u32,
    queue: VecDeque<Job>,
}

impl Backend {
    /// Creates a running backend server.
    pub fn open(member: Member) -> Self {
        Self {
            member,
            up: true,
            silent: false,
            slowdown: 1.0,
            held: HashMap::new(),
            begun: 0,
            stopped_at: Moment::default(),
            running: 0,
            queue: VecDeque::new(),
        }
    }

    /// Returns the number of running and queued requests.
    pub fn load(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Returns whether a flow that it holds is open and the number of requests received on
    /// it; none if it does not hold the flow.
    pub fn progress(&self, flow: &FlowKey) -> Option<(bool, u32)> {
        self.held.get(flow).map(|h| (h.open, h.received))
    }

    /// Stops it and discards its flows and requests. With `silent` it does not refuse
    /// packets either.
    pub fn crash(&mut self, silent: bool, now: Moment) {
        self.stopped_at = now;
        (self.up, self.silent, self.running) = (false, silent, 0);
        self.held.clear();
        self.queue.clear();
    }

    /// Returns whether a TCP connection to it is still open. Keep-alive probes close the
    /// connection after `keep_alive` if it has stopped silently.
    pub fn is_connected(&self, keep_alive: Duration, now: Moment) -> bool {
        self.up || (self.silent && now.since(self.stopped_at) < keep_alive)
    }

    /// Handles a packet from a caller.
    pub fn handle_packet(&mut self, packet: Packet, rng: &mut Pcg64Mcg) -> Vec<BackendAction> {
        let segment = packet.segment;
        if segment.is_opening() {
            return self.open_flow(segment, rng);
        }
        let Some(held) = self.held.get_mut(&segment.flow) else {
            return vec![BackendAction::Return(packet)];
        };
        if !held.open {
            if segment.ack != held.isn.wrapping_add(1) {
                return vec![BackendAction::Return(packet)];
            }
            held.open = true;
        }
        if segment.flags.aborts || segment.flags.closes {
            self.held.remove(&segment.flow);
            return Vec::new();
        }
        if segment.len == 0 {
            return Vec::new();
        }
        if segment.end() == held.next_seq {
            // A retransmission of the latest request: its answer may have been lost.
            let answer = (held.answered == held.received).then(|| answer(&segment.flow, held));
            return answer.into_iter().map(BackendAction::Send).collect();
        }
        if segment.seq != held.next_seq {
            // A delayed copy of an earlier request.
            return Vec::new();
        }
        held.next_seq = segment.end();
        held.received += 1;
        let work =
            packet.raw.get(..4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes);
        let work = Duration::from_micros(u64::from(work));
        self.queue.push_back(Job { flow: segment.flow, work });
        self.start_job().into_iter().collect()
    }

    /// Ends a request of the flow; returns its answer and the start of the next queued one.
    pub fn finish_request(&mut self, flow: &FlowKey) -> Vec<BackendAction> {
        self.running = self.running.saturating_sub(1);
        let mut actions = Vec::new();
        if let Some(held) = self.held.get_mut(flow) {
            held.answered = held.received;
            actions.push(BackendAction::Send(answer(flow, held)));
        }
        actions.extend(self.start_job());
        actions
    }

    fn open_flow(&mut self, segment: Segment, rng: &mut Pcg64Mcg) -> Vec<BackendAction> {
        let next_seq = segment.seq.wrapping_add(1);
        let fresh = || HeldFlow {
            isn: rng.random_range(0..ISN_RANGE),
            open: false,
            caller_isn: segment.seq,
            next_seq,
            received: 0,
            answered: 0,
        };
        // Another initial sequence number opens a later flow between the same addresses.
        self.held.retain(|flow, h| *flow != segment.flow || h.caller_isn == segment.seq);
        let held = self.held.entry(segment.flow).or_insert_with(fresh);
        let flags = Flags { opens: true, acks: true, ..Flags::default() };
        let reply = Segment { flags, seq: held.isn, ack: next_seq, attempt: 0, ..segment };
        vec![BackendAction::Send(Packet { segment: reply, raw: Arc::new([]) })]
    }

    fn start_job(&mut self) -> Option<BackendAction> {
        if self.running >= self.member.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running += 1;
        self.begun += 1;
        Some(BackendAction::Begin(job.flow, job.work.mul_f64(self.slowdown)))
    }
}

fn answer(flow: &FlowKey, held: &HeldFlow) -> Packet {
    let before = u32::from(ANSWER_LEN) * held.answered.saturating_sub(1);
    let seq = held.isn.wrapping_add(1).wrapping_add(before);
    let flags = Flags { acks: true, ..Flags::default() };
    let segment =
        Segment { flow: *flow, flags, seq, ack: held.next_seq, len: ANSWER_LEN, attempt: 0 };
    Packet { segment, raw: Arc::new([]) }
}
