//! The flows of one agent's backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::From;

use super::flow::FlowKey;
use super::segment::Segment;
use crate::value::moment::Moment;

/// Flows held at most; a backend server holds some thousands.
pub const MAX_FLOWS: usize = 50_000;
/// Time for which a flow is kept after both ends closed it: its last packets
/// may be sent again.
const TIME_WAIT: Duration = Duration::from_secs(3);
/// Time after which an opening that the caller did not complete is forgotten:
/// it gives up 1.4 s after its first opening packet.
const OPENING_TIMEOUT: Duration = Duration::from_secs(2);

/// The opening packet was passed to the backend server, which has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// When it was passed on.
    pub offered: Moment,
}

/// The backend server answered the opening packet; the caller may still choose
/// another one that answered too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Where the backend server began to count.
    pub isn: u32,
}

/// The flow is established here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Established {
    /// Where the backend server began to count, if this agent saw it.
    pub isn: Option<u32>,
    /// Number of the next new byte from the caller.
    pub next: Option<u32>,
    /// The request in progress.
    pub request: Option<Request>,
    /// Last acknowledgement number of the caller.
    pub ack: u32,
    /// Whether packets of both ends showed that it is here; what others told
    /// may be an opening that the caller did not choose.
    pub proven: bool,
    closed: Closed,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// It waits at the agent.
    Waiting,
    /// The backend server has it since then.
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
    /// Entry that passed the last packet of the caller.
    pub entry: Option<SocketAddr>,
    /// Agent that placed the flow here, unless it is this one.
    pub placer: Option<SocketAddr>,
    /// When it was last used.
    pub used: Moment,
    /// For how long the caller had waited before its opening packet came.
    pub waited: Duration,
    /// What the state holds.
    pub state: S,
}

/// A flow of the table, in any state.
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
        let Self { entry, placer, waited, .. } = self;
        Flow { entry, placer, used: now, waited, state }
    }
}

impl Flow<Opening> {
    /// Opens a flow whose opening packet is passed to the backend server.
    pub fn open(entry: Option<SocketAddr>, placer: Option<SocketAddr>, now: Moment) -> Self {
        let state = Opening { offered: now };
        Self { entry, placer, used: now, waited: Duration::ZERO, state }
    }

    /// Takes in the backend server's answer.
    pub fn answer(self, isn: u32, now: Moment) -> Flow<Answered> {
        self.transition(Answered { isn }, now)
    }
}

impl Flow<Answered> {
    /// Takes in that the caller chose this backend server.
    pub fn establish(self, now: Moment) -> Flow<Established> {
        let isn = Some(self.state.isn);
        self.transition(Established { proven: true, ..Established::open(isn) }, now)
    }
}

impl Flow<Established> {
    /// Opens a flow that is known to be established from elsewhere.
    pub fn learn(entry: Option<SocketAddr>, isn: Option<u32>, now: Moment) -> Self {
        let state = Established::open(isn);
        Self { entry, placer: None, used: now, waited: Duration::ZERO, state }
    }

    /// Takes in a packet of the caller; returns whether it begins a request,
    /// which waits then.
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

    /// Takes in that the request is passed to the backend server.
    pub fn start(&mut self, now: Moment) {
        self.state.request = Some(Request::Started(now));
    }

    /// Takes in a packet of the backend server; returns the start of the
    /// request that it begins to answer, or ends without an answer.
    pub fn from_backend(&mut self, segment: &Segment, now: Moment) -> Option<Moment> {
        self.used = now;
        self.state.proven = true;
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
    /// Returns the entry that passed the caller's last packet.
    pub fn entry(&self) -> Option<SocketAddr> {
        match self {
            Self::Opening(f) => f.entry,
            Self::Answered(f) => f.entry,
            Self::Established(f) => f.entry,
        }
    }

    /// Returns where the backend server began to count, if that was seen.
    pub fn isn(&self) -> Option<u32> {
        match self {
            Self::Opening(_) => None,
            Self::Answered(f) => Some(f.state.isn),
            Self::Established(f) => f.state.isn,
        }
    }

    /// Returns whether the flow can be forgotten.
    fn is_over(&self, idle: Duration, now: Moment) -> bool {
        match self {
            Self::Opening(f) => now.since(f.used) >= OPENING_TIMEOUT,
            Self::Answered(f) => now.since(f.used) >= OPENING_TIMEOUT,
            Self::Established(f) if f.is_closed() => now.since(f.used) >= TIME_WAIT,
            Self::Established(f) => now.since(f.used) >= idle,
        }
    }
}

/// All flows of the backend server, as far as this agent knows them.
#[derive(Debug, Default)]
pub struct ServedFlows {
    flows: HashMap<FlowKey, ServedFlow>,
}

impl ServedFlows {
    /// Returns a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&ServedFlow> {
        self.flows.get(flow)
    }

    /// Returns a flow, to be changed.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut ServedFlow> {
        self.flows.get_mut(flow)
    }

    /// Puts a flow in; returns false if the table is full.
    pub fn put(&mut self, flow: FlowKey, served: impl Into<ServedFlow>) -> bool {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            return false;
        }
        self.flows.insert(flow, served.into());
        true
    }

    /// Takes a flow out.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<ServedFlow> {
        self.flows.remove(flow)
    }

    /// Takes all flows out.
    pub fn drain(&mut self) -> impl Iterator<Item = (FlowKey, ServedFlow)> {
        self.flows.drain()
    }

    /// Returns all flows.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &ServedFlow)> {
        self.flows.iter()
    }

    /// Takes out the flows that are over and returns them.
    pub fn expire(&mut self, idle: Duration, now: Moment) -> Vec<(FlowKey, ServedFlow)> {
        self.flows.extract_if(|_, s| s.is_over(idle, now)).collect()
    }

    /// Takes out openings that were offered before `before` and not answered.
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
