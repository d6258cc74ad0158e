//! A caller that speaks packets: it opens one flow and sends requests on it.

use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::value::moment::Moment;

use super::backend::ANSWER;

/// When copies of an opening packet are sent, and when the caller gives up.
pub const COPIES: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(1_400)];
/// First time after which a request is sent again; it doubles.
const RESEND: Duration = Duration::from_millis(200);
/// Bytes of every request.
const REQUEST: u16 = 900;
/// Where callers begin to count.
const FIRST: u32 = 1_000;

/// What a caller wants to do.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Requests on the flow.
    pub requests: u32,
    /// Pause between an answer and the next request.
    pub pause: Duration,
    /// Work of each request.
    pub work: Duration,
    /// Time after which a request is given up.
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
    /// It never opened.
    NotOpened,
    /// A request was not answered in time.
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Opening { copies: u8 },
    Waiting { sent: Moment, tries: u32 },
    Pausing,
    Over(End),
}

/// One call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its flow.
    pub flow: FlowKey,
    /// What it wants.
    pub plan: Plan,
    /// When it began.
    pub began: Moment,
    /// Time of each request until its answer; the first from the beginning.
    pub took: Vec<Duration>,
    phase: Phase,
    asked: u32,
    first: u32,
}

impl Caller {
    /// Opens a call that begins now.
    pub fn open(flow: FlowKey, plan: Plan, now: Moment) -> Self {
        let phase = Phase::Opening { copies: 0 };
        Self { flow, plan, began: now, took: Vec::new(), phase, asked: 0, first: 0 }
    }

    /// Returns how the call ended; none while it goes on.
    pub fn end(&self) -> Option<End> {
        match self.phase {
            Phase::Over(end) => Some(end),
            _ => None,
        }
    }

    /// Returns whether the flow is open.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. } | Phase::Pausing)
    }

    /// Returns the opening packet.
    pub fn opening(&self, attempt: u8) -> Packet {
        let flags = Flags { opens: true, ..Flags::default() };
        self.packet(flags, FIRST, u32::from(attempt), 0, attempt)
    }

    /// Takes a packet of a backend server, or a reset; returns what it sends.
    pub fn take(&mut self, segment: &Segment, now: Moment) -> Vec<Packet> {
        match self.phase {
            Phase::Over(_) => Vec::new(),
            Phase::Opening { .. } if segment.flags.aborts => {
                self.phase = Phase::Over(End::Refused);
                Vec::new()
            }
            Phase::Opening { .. } if segment.flags.opens => {
                self.first = segment.seq;
                self.request(now)
            }
            _ if segment.flags.aborts => {
                self.phase = Phase::Over(End::Reset);
                Vec::new()
            }
            Phase::Waiting { sent, .. } if segment.len > 0 && segment.seq == self.expected() => {
                let from = if self.took.is_empty() { self.began } else { sent };
                self.took.push(now.since(from));
                if self.asked == self.plan.requests {
                    self.phase = Phase::Over(End::Done);
                    let flags = Flags { acks: true, closes: true, ..Flags::default() };
                    return vec![self.packet(flags, self.next(), self.expected(), 0, 0)];
                }
                self.phase = Phase::Pausing;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the time until the caller has to be woken again.
    pub fn timer(&self) -> Option<Duration> {
        match self.phase {
            Phase::Opening { copies } => {
                let before = match copies {
                    0 => Duration::ZERO,
                    n => COPIES[usize::from(n) - 1],
                };
                Some(COPIES[usize::from(copies)] - before)
            }
            Phase::Waiting { tries, .. } => Some(RESEND * 2u32.pow(tries.min(3))),
            Phase::Pausing => Some(self.plan.pause),
            Phase::Over(_) => None,
        }
    }

    /// Does what is due by time; returns what it sends.
    pub fn wake(&mut self, now: Moment) -> Vec<Packet> {
        match self.phase {
            Phase::Opening { copies } if usize::from(copies) + 1 == COPIES.len() => {
                self.phase = Phase::Over(End::NotOpened);
                Vec::new()
            }
            Phase::Opening { copies } => {
                self.phase = Phase::Opening { copies: copies + 1 };
                vec![self.opening(copies + 1)]
            }
            Phase::Waiting { sent, .. } if now.since(sent) >= self.plan.deadline => {
                self.phase = Phase::Over(End::Late);
                let flags = Flags { acks: true, aborts: true, ..Flags::default() };
                vec![self.packet(flags, self.next(), self.expected(), 0, 0)]
            }
            Phase::Waiting { sent, tries } => {
                self.phase = Phase::Waiting { sent, tries: tries + 1 };
                vec![self.data()]
            }
            Phase::Pausing => self.request(now),
            Phase::Over(_) => Vec::new(),
        }
    }

    fn request(&mut self, now: Moment) -> Vec<Packet> {
        let opens = self.asked == 0;
        self.asked += 1;
        self.phase = Phase::Waiting { sent: now, tries: 0 };
        let acks = Flags { acks: true, ..Flags::default() };
        let ack = opens.then(|| self.packet(acks, FIRST + 1, self.expected(), 0, 0));
        ack.into_iter().chain([self.data()]).collect()
    }

    fn data(&self) -> Packet {
        let flags = Flags { acks: true, ..Flags::default() };
        let seq = self.next().wrapping_sub(u32::from(REQUEST));
        self.packet(flags, seq, self.expected(), REQUEST, 0)
    }

    // Number after the last byte that was sent.
    fn next(&self) -> u32 {
        FIRST + 1 + u32::from(REQUEST) * self.asked
    }

    // Number of the next byte that is expected.
    fn expected(&self) -> u32 {
        self.first.wrapping_add(1).wrapping_add(u32::from(ANSWER) * self.took.len() as u32)
    }

    fn packet(&self, flags: Flags, seq: u32, ack: u32, len: u16, attempt: u8) -> Packet {
        let segment = Segment { flow: self.flow, flags, seq, ack, len, attempt };
        let work = self.plan.work.as_micros() as u32;
        let raw: Arc<[u8]> = if len > 0 { work.to_le_bytes().into() } else { Arc::new([0]) };
        Packet { segment, raw }
    }
}
