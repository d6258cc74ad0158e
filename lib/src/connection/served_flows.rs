//! The flows of one agent's backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::From;

use super::flow::FlowKey;
use super::segment::Segment;
use super::segment::acked_bytes;
use crate::value::moment::Moment;

/// Maximum number of flows; a backend server has some thousands.
pub const MAX_FLOWS: usize = 50_000;
/// Time for which a flow is kept after both ends closed it: its last packets
/// may be retransmitted.
const TIME_WAIT: Duration = Duration::from_secs(3);
/// Time after which a handshake that the caller did not complete is dropped: the
/// caller gives up 1.4 s after its first opening packet.
const OPENING_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes that an end has in flight: 16 packets of 1,200 bytes.
const MAX_IN_FLIGHT: u32 = 16 * 1_200;

/// State of a flow whose opening packet was passed to the backend server, which
/// has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// When the opening packet was passed on.
    pub offered: Moment,
}

/// State of a flow whose opening packet the backend server answered; the caller
/// may still complete the handshake with another one that answered too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Initial sequence number of the backend server.
    pub isn: u32,
}

/// State of a flow that is established with this backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Established {
    /// Initial sequence number of the backend server, if it is known.
    pub isn: Option<u32>,
    /// Sequence number after the last byte from the caller; none before its first
    /// data.
    pub next: Option<u32>,
    /// The request in progress.
    pub request: Option<Request>,
    /// Last acknowledgement number of the caller.
    pub ack: u32,
    /// Whether the handshake or a packet of the backend server confirmed the flow
    /// here; what other agents reported may be a handshake that the caller completed
    /// elsewhere.
    pub proven: bool,
    closed: Closed,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// The request waits at the agent.
    Waiting,
    /// The request was passed to the backend server at this time.
    Started(Moment),
}

/// Which ends have closed the flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Closed {
    caller: bool,
    backend: bool,
}

/// A flow in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow<S> {
    /// Entry that forwarded the caller's last packet.
    pub entry: Option<SocketAddr>,
    /// Agent that placed the flow here, if it is another one.
    pub placer: Option<SocketAddr>,
    /// When the flow was last used.
    pub used: Moment,
    /// When the backend server answered the opening packet, or a time after it if another
    /// process saw the answer.
    pub answered: Option<Moment>,
    /// Time that the caller had waited before its opening packet came.
    pub waited: Duration,
    /// Sequence number of the caller's opening packet, if this agent saw it.
    pub caller_isn: Option<u32>,
    /// The state with its data.
    pub state: S,
}

/// A flow in any state.
#[derive(Clone, Copy, Debug, From, PartialEq, Eq)]
pub enum ServedFlow {
    /// See [`Opening`].
    Opening(Flow<Opening>),
    /// See [`Answered`].
    Answered(Flow<Answered>),
    /// See [`Established`].
    Established(Flow<Established>),
}

impl<S> Flow<S> {
    fn transition<T>(self, state: T, now: Moment) -> Flow<T> {
        let Self { entry, placer, answered, waited, caller_isn, .. } = self;
        Flow { entry, placer, used: now, answered, waited, caller_isn, state }
    }
}

impl Flow<Opening> {
    /// Opens a flow whose opening packet is passed to the backend server.
    pub fn open(entry: Option<SocketAddr>, placer: Option<SocketAddr>, now: Moment) -> Self {
        let state = Opening { offered: now };
        let (answered, waited, caller_isn) = (None, Duration::ZERO, None);
        Self { entry, placer, used: now, answered, waited, caller_isn, state }
    }

    /// Handles the backend server's answer to the opening packet.
    pub fn answer(self, isn: u32, now: Moment) -> Flow<Answered> {
        Flow { answered: Some(now), ..self.transition(Answered { isn }, now) }
    }
}

impl Flow<Answered> {
    /// Handles the packet with which the caller completes the handshake.
    pub fn establish(self, now: Moment) -> Flow<Established> {
        let isn = Some(self.state.isn);
        self.transition(Established { proven: true, ..Established::open(isn) }, now)
    }
}

impl Flow<Established> {
    /// Opens an established flow whose handshake this agent did not see.
    pub fn learn(entry: Option<SocketAddr>, isn: Option<u32>, now: Moment) -> Self {
        let state = Established::open(isn);
        let (answered, waited, caller_isn) = (Some(now), Duration::ZERO, None);
        Self { entry, placer: None, used: now, answered, waited, caller_isn, state }
    }

    /// Handles a packet of the caller; returns whether it begins a request, which
    /// then waits.
    pub fn from_caller(&mut self, segment: &Segment, now: Moment) -> bool {
        self.used = now;
        self.state.ack = segment.ack;
        self.state.closed.caller |= segment.flags.closes;
        let fresh = segment.len > 0
            && self.state.next.is_none_or(|next| (segment.end().wrapping_sub(next) as i32) > 0);
        if fresh {
            self.state.next = Some(segment.end());
        }
        let begins = fresh && self.state.request.is_none();
        if begins {
            self.state.request = Some(Request::Waiting);
        }
        begins
    }

    /// Returns whether a packet of the caller may belong to this flow by its sequence
    /// number: after its close, a caller only sends again what it has sent before.
    pub fn may_continue_with(&self, segment: &Segment) -> bool {
        let next = self.state.next.filter(|_| self.state.closed.caller && segment.len > 0);
        next.is_none_or(|next| next.wrapping_sub(segment.end()) <= MAX_IN_FLIGHT)
    }

    /// Records that the request is passed to the backend server.
    pub fn start(&mut self, now: Moment) {
        self.state.request = Some(Request::Started(now));
    }

    /// Handles a packet of the backend server; returns when the request started
    /// that the packet begins to answer, or ends without an answer.
    pub fn from_backend(&mut self, segment: &Segment, now: Moment) -> Option<Moment> {
        self.used = now;
        // A late packet of an earlier flow between the same addresses proves nothing, so a
        // flow whose opening was not seen is proven only by an answer to its caller.
        self.state.proven |= self.state.isn.is_some() || self.state.next.is_some();
        self.state.closed.backend |= segment.flags.closes;
        match self.state.request {
            Some(Request::Started(at)) if segment.len > 0 || segment.flags.closes => {
                self.state.request = None;
                Some(at)
            }
            _ => None,
        }
    }

    /// Returns whether both ends have closed the flow.
    pub fn is_closed(&self) -> bool {
        self.state.closed.caller && self.state.closed.backend
    }
}

impl Established {
    fn open(isn: Option<u32>) -> Self {
        let closed = Closed::default();
        Self { isn, next: None, request: None, ack: 0, proven: false, closed }
    }
}

impl ServedFlow {
    /// Returns the entry that forwarded the caller's last packet.
    pub fn entry(&self) -> Option<SocketAddr> {
        match self {
            Self::Opening(f) => f.entry,
            Self::Answered(f) => f.entry,
            Self::Established(f) => f.entry,
        }
    }

    /// Returns whether the backend server answered the opening packet before `time`.
    pub fn is_answered_before(&self, time: Moment) -> bool {
        let answered = match self {
            Self::Opening(f) => f.answered,
            Self::Answered(f) => f.answered,
            Self::Established(f) => f.answered,
        };
        answered.is_some_and(|answered| answered < time)
    }

    /// Returns the backend server's initial sequence number, if it is known.
    pub fn isn(&self) -> Option<u32> {
        match self {
            Self::Opening(_) => None,
            Self::Answered(f) => Some(f.state.isn),
            Self::Established(f) => f.state.isn,
        }
    }

    /// Returns whether the backend server has answered the opening packet.
    pub fn is_answered(&self) -> bool {
        !matches!(self, Self::Opening(_))
    }

    /// Returns whether packets of both ends have shown that the backend server has the flow.
    /// Once the caller has closed it, a later flow elsewhere may use its addresses.
    pub fn is_proven(&self) -> bool {
        matches!(self, Self::Established(f) if f.state.proven && !f.state.closed.caller)
    }

    /// Returns whether a caller's packet with acknowledgement number `ack`, if it has one,
    /// belongs to this flow.
    pub fn is_acked_by(&self, ack: Option<u32>) -> bool {
        match self {
            Self::Opening(_) => false,
            Self::Answered(f) => ack == Some(f.state.isn.wrapping_add(1)),
            Self::Established(f) => match (ack, f.state.isn) {
                (Some(ack), Some(isn)) => acked_bytes(ack, isn).is_some(),
                _ => true,
            },
        }
    }

    /// Returns whether an opening packet begins a later flow between the same addresses,
    /// rather than being a copy of the one that opened this flow.
    pub fn is_followed_by(&self, opening: &Segment) -> bool {
        let (isn, closed) = match self {
            Self::Opening(f) => (f.caller_isn, false),
            Self::Answered(f) => (f.caller_isn, false),
            Self::Established(f) => (f.caller_isn, f.is_closed()),
        };
        opening.is_opening() && isn.map_or(closed, |isn| isn != opening.seq)
    }

    /// Returns whether the flow can be removed.
    fn is_over(&self, idle: Duration, now: Moment) -> bool {
        match self {
            Self::Opening(f) => now.since(f.used) >= OPENING_TIMEOUT,
            Self::Answered(f) => now.since(f.used) >= OPENING_TIMEOUT,
            Self::Established(f) if f.is_closed() => now.since(f.used) >= TIME_WAIT,
            Self::Established(f) => now.since(f.used) >= idle,
        }
    }
}

/// The flows of the backend server that this agent knows.
#[derive(Debug, Default)]
pub struct ServedFlows {
    flows: HashMap<FlowKey, ServedFlow>,
}

impl ServedFlows {
    /// Returns a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&ServedFlow> {
        self.flows.get(flow)
    }

    /// Returns a flow for modification.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut ServedFlow> {
        self.flows.get_mut(flow)
    }

    /// Inserts or replaces a flow; returns false if the table is full.
    pub fn put(&mut self, flow: FlowKey, served: impl Into<ServedFlow>) -> bool {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            return false;
        }
        self.flows.insert(flow, served.into());
        true
    }

    /// Removes a flow and returns it.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<ServedFlow> {
        self.flows.remove(flow)
    }

    /// Removes all flows and returns them.
    pub fn drain(&mut self) -> impl Iterator<Item = (FlowKey, ServedFlow)> {
        self.flows.drain()
    }

    /// Returns all flows.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &ServedFlow)> {
        self.flows.iter()
    }

    /// Removes the flows that are over and returns them.
    pub fn expire(&mut self, idle: Duration, now: Moment) -> Vec<(FlowKey, ServedFlow)> {
        self.flows.extract_if(|_, s| s.is_over(idle, now)).collect()
    }

    /// Returns the unanswered openings that were offered no later than `before`.
    pub fn unanswered(&mut self, before: Moment) -> Vec<(FlowKey, Flow<Opening>)> {
        let late = |s: &ServedFlow| match s {
            ServedFlow::Opening(f) if f.state.offered <= before => Some(*f),
            _ => None,
        };
        self.flows.iter().filter_map(|(k, s)| late(s).map(|f| (*k, f))).collect()
    }

    /// Returns the number of flows.
    pub fn count(&self) -> usize {
        self.flows.len()
    }
}
