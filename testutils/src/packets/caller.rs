//! A model of a caller for the packet front end: it opens one flow and sends requests
//! on it.

use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::value::moment::Moment;

use super::backend::ANSWER_LEN;

/// Times since the start of a call at which the opening packet is sent again; at the
/// last one the caller gives up.
pub const OPENING_TIMES: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(1_400)];
/// Time after which a request is first sent again; it doubles with each copy, up to 8-fold.
const RESEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Length of every request in bytes.
const REQUEST_LEN: u16 = 900;
/// Multiplier that spreads the initial sequence numbers of calls, which follow from the
/// time of their start.
const ISN_FACTOR: u32 = 2_654_435_761;

/// What a caller does on its flow.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of requests.
    pub requests: u32,
    /// Pause between an answer and the next request.
    pub pause: Duration,
    /// Service time of each request on a backend server of normal speed.
    pub work: Duration,
    /// Time after which the caller gives up on a request.
    pub deadline: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All requests were answered.
    Done,
    /// The flow was refused before it opened.
    Refused,
    /// The flow was reset after it had opened.
    Reset,
    /// The flow never opened.
    NotOpened,
    /// A request was not answered in time.
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Opening { copies: u8 },
    Waiting { sent: Moment, tries: u32 },
    Pausing,
    Ended(End),
}

/// One call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Flow of the call.
    pub flow: FlowKey,
    /// Plan of the call.
    pub plan: Plan,
    /// Start of the call.
    pub started: Moment,
    /// Latency of each answered request; the first one includes opening the flow.
    pub latencies: Vec<Duration>,
    phase: Phase,
    requested: u32,
    isn: u32,
    peer_isn: u32,
}

impl Caller {
    /// Creates a call that starts now.
    pub fn open(flow: FlowKey, plan: Plan, now: Moment) -> Self {
        let phase = Phase::Opening { copies: 0 };
        let isn = (now.0 as u32).wrapping_mul(ISN_FACTOR);
        let latencies = Vec::new();
        Self { flow, plan, started: now, latencies, phase, requested: 0, isn, peer_isn: 0 }
    }

    /// Returns how the call ended; none while it is in progress.
    pub fn end(&self) -> Option<End> {
        match self.phase {
            Phase::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Returns whether the flow is open.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. } | Phase::Pausing)
    }

    /// Returns the opening packet; `attempt` counts its copies.
    pub fn opening(&self, attempt: u8) -> Packet {
        let flags = Flags { opens: true, ..Flags::default() };
        self.packet(flags, self.isn, u32::from(attempt), 0, attempt)
    }

    /// Handles a packet from a backend server, or a reset; returns the packets to send.
    pub fn handle_segment(&mut self, segment: &Segment, now: Moment) -> Vec<Packet> {
        match self.phase {
            Phase::Ended(_) => Vec::new(),
            Phase::Opening { .. } if segment.flags.aborts => {
                self.phase = Phase::Ended(End::Refused);
                Vec::new()
            }
            Phase::Opening { .. } if segment.flags.opens => {
                self.peer_isn = segment.seq;
                self.send_request(now)
            }
            _ if segment.flags.aborts => {
                self.phase = Phase::Ended(End::Reset);
                Vec::new()
            }
            Phase::Waiting { sent, .. }
                if segment.len > 0 && segment.seq == self.expected_seq() =>
            {
                let from = if self.latencies.is_empty() { self.started } else { sent };
                self.latencies.push(now.since(from));
                if self.requested == self.plan.requests {
                    self.phase = Phase::Ended(End::Done);
                    let flags = Flags { acks: true, closes: true, ..Flags::default() };
                    return vec![self.packet(flags, self.next_seq(), self.expected_seq(), 0, 0)];
                }
                self.phase = Phase::Pausing;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the time until [`Self::handle_timer`] is due; none once the call has ended.
    pub fn timer(&self) -> Option<Duration> {
        match self.phase {
            Phase::Opening { copies } => {
                let before = match copies {
                    0 => Duration::ZERO,
                    n => OPENING_TIMES[usize::from(n) - 1],
                };
                Some(OPENING_TIMES[usize::from(copies)] - before)
            }
            Phase::Waiting { tries, .. } => Some(RESEND_TIMEOUT * 2u32.pow(tries.min(3))),
            Phase::Pausing => Some(self.plan.pause),
            Phase::Ended(_) => None,
        }
    }

    /// Handles the expiry of the timer; returns the packets to send.
    pub fn handle_timer(&mut self, now: Moment) -> Vec<Packet> {
        match self.phase {
            Phase::Opening { copies } if usize::from(copies) + 1 == OPENING_TIMES.len() => {
                self.phase = Phase::Ended(End::NotOpened);
                Vec::new()
            }
            Phase::Opening { copies } => {
                self.phase = Phase::Opening { copies: copies + 1 };
                vec![self.opening(copies + 1)]
            }
            Phase::Waiting { sent, .. } if now.since(sent) >= self.plan.deadline => {
                self.phase = Phase::Ended(End::Late);
                let flags = Flags { acks: true, aborts: true, ..Flags::default() };
                vec![self.packet(flags, self.next_seq(), self.expected_seq(), 0, 0)]
            }
            Phase::Waiting { sent, tries } => {
                self.phase = Phase::Waiting { sent, tries: tries + 1 };
                vec![self.request_packet()]
            }
            Phase::Pausing => self.send_request(now),
            Phase::Ended(_) => Vec::new(),
        }
    }

    fn send_request(&mut self, now: Moment) -> Vec<Packet> {
        let opens = self.requested == 0;
        self.requested += 1;
        self.phase = Phase::Waiting { sent: now, tries: 0 };
        let acks = Flags { acks: true, ..Flags::default() };
        let ack =
            opens.then(|| self.packet(acks, self.isn.wrapping_add(1), self.expected_seq(), 0, 0));
        ack.into_iter().chain([self.request_packet()]).collect()
    }

    fn request_packet(&self) -> Packet {
        let flags = Flags { acks: true, ..Flags::default() };
        let seq = self.next_seq().wrapping_sub(u32::from(REQUEST_LEN));
        self.packet(flags, seq, self.expected_seq(), REQUEST_LEN, 0)
    }

    // Sequence number after the last byte sent.
    fn next_seq(&self) -> u32 {
        let sent = u32::from(REQUEST_LEN) * self.requested;
        self.isn.wrapping_add(1).wrapping_add(sent)
    }

    // Sequence number of the next byte expected from the backend server.
    fn expected_seq(&self) -> u32 {
        self.peer_isn
            .wrapping_add(1)
            .wrapping_add(u32::from(ANSWER_LEN) * self.latencies.len() as u32)
    }

    fn packet(&self, flags: Flags, seq: u32, ack: u32, len: u16, attempt: u8) -> Packet {
        let segment = Segment { flow: self.flow, flags, seq, ack, len, attempt };
        let work = self.plan.work.as_micros() as u32;
        let raw: Arc<[u8]> = if len > 0 { work.to_le_bytes().into() } else { Arc::new([0]) };
        Packet { segment, raw }
    }
}
