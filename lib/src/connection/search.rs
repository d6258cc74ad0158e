//! A search for the owner of a flow that its home has no record of.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::From;

use super::scope::Scope;
use super::segment::Packet;
use super::segment::Segment;
use super::unresolved::Unresolved;
use crate::value::moment::Moment;

/// Maximum number of packets held during one search.
const MAX_HELD: usize = 4;

/// A search in progress, in state `S`.
#[derive(Debug)]
pub struct Search<S> {
    /// Whom it concerns.
    pub scope: Scope,
    /// Entry that the packet came through.
    pub entry: SocketAddr,
    /// The packet that was sent with the search.
    pub packet: Packet,
    /// Packets of the flow that came after it.
    pub held: Vec<Packet>,
    /// When the first packet came that was searched for; the flow was open before.
    pub opened: Moment,
    /// When the search entered the state.
    pub since: Moment,
    /// State of the search.
    pub state: S,
}

/// The agents that probably own the flow are asked whether they do: those of the services that
/// its route is known to have had. That none of them does proves nothing, as the process may
/// never have seen a version with another service.
#[derive(Clone, Debug, Default)]
pub struct Asking {
    /// Whether the question carried the packet, which an owner has delivered then.
    pub carried: bool,
    /// Agents that have not answered.
    pub waiting: BTreeSet<SocketAddr>,
    /// Agents whose backend server may have the flow unknown to them.
    pub unsure: BTreeSet<SocketAddr>,
}

/// The agents of all registered backend servers have been asked.
#[derive(Clone, Debug, Default)]
pub struct Widened {
    /// Whether the question carried the packet, which an owner has delivered then.
    pub carried: bool,
    /// Agents that have not answered.
    pub waiting: BTreeSet<SocketAddr>,
    /// Agents whose backend server may have the flow unknown to them.
    pub unsure: BTreeSet<SocketAddr>,
}

/// All agents have answered, and the backend servers of those that were unsure are probed.
/// While any agent is out of reach none is probed: the flow may be that agent's.
#[derive(Debug)]
pub struct Probing {
    /// Agents that have not reported the outcome.
    pub waiting: BTreeSet<SocketAddr>,
}

/// A search in any state.
#[derive(Debug, From)]
pub enum SearchState {
    /// See [`Asking`].
    Asking(Search<Asking>),
    /// See [`Widened`].
    Widened(Search<Widened>),
    /// See [`Probing`].
    Probing(Search<Probing>),
}

impl<S> Search<S> {
    /// Opens a search.
    pub fn open(scope: Scope, entry: SocketAddr, packet: Packet, state: S, now: Moment) -> Self {
        Self { scope, entry, packet, held: Vec::new(), opened: now, since: now, state }
    }

    /// Holds a packet until the search ends; drops it beyond the limit.
    fn hold(&mut self, packet: &Packet) {
        if self.held.len() < MAX_HELD {
            self.held.push(packet.clone());
        }
    }

    /// Ends without an owner; `silent` have not answered and `unsure` could not tell.
    fn end(
        self,
        silent: BTreeSet<SocketAddr>,
        unsure: BTreeSet<SocketAddr>,
        now: Moment,
    ) -> Unresolved {
        let Self { scope, entry, packet, mut held, opened, .. } = self;
        let packet = held.pop().unwrap_or(packet);
        Unresolved { packet, entry, scope, silent, unsure, opened, since: now }
    }

    fn transition<T>(self, scope: Scope, state: T, now: Moment) -> Search<T> {
        let Self { entry, packet, held, opened, .. } = self;
        Search { scope, entry, packet, held, opened, since: now, state }
    }
}

impl Search<Asking> {
    /// Goes on to the agents in `rest`, which are all that were not asked. `scope` covers the
    /// whole fleet.
    pub fn widen(self, scope: Scope, rest: &BTreeSet<SocketAddr>, now: Moment) -> Search<Widened> {
        let Asking { mut waiting, unsure, .. } = self.state.clone();
        waiting.extend(rest);
        self.transition(scope, Widened { carried: false, waiting, unsure }, now)
    }
}

impl Search<Widened> {
    /// Begins to probe the backend servers of the unsure agents.
    pub fn probe(self, now: Moment) -> Search<Probing> {
        let (scope, waiting) = (self.scope.clone(), self.state.unsure.clone());
        self.transition(scope, Probing { waiting }, now)
    }
}

impl SearchState {
    /// Holds a packet until the search ends; drops it beyond the limit.
    pub fn hold(&mut self, packet: &Packet) {
        match self {
            Self::Asking(search) => search.hold(packet),
            Self::Widened(search) => search.hold(packet),
            Self::Probing(search) => search.hold(packet),
        }
    }

    /// Returns whether a packet belongs to the flow that is searched for rather than to a later
    /// one between the same addresses.
    pub fn matches(&self, segment: &Segment) -> bool {
        let own = match self {
            Self::Asking(search) => &search.packet,
            Self::Widened(search) => &search.packet,
            Self::Probing(search) => &search.packet,
        };
        own.segment.is_near(segment)
    }

    /// Records that the agent at `link` does not own the flow.
    pub fn not_owner(&mut self, link: SocketAddr) {
        if let Some(unsure) = self.unsure_mut() {
            unsure.remove(&link);
        }
        self.waiting_mut().remove(&link);
    }

    /// Records that the agent at `link` can't tell whether its backend server has the flow.
    pub fn unsure(&mut self, link: SocketAddr) {
        if self.unsure_mut().is_some() && self.waiting_mut().remove(&link) {
            self.unsure_mut().map(|unsure| unsure.insert(link));
        }
    }

    /// Returns whether agents have not answered.
    pub fn waits(&self) -> bool {
        match self {
            Self::Asking(search) => !search.state.waiting.is_empty(),
            Self::Widened(search) => !search.state.waiting.is_empty(),
            Self::Probing(search) => !search.state.waiting.is_empty(),
        }
    }

    /// Returns when the state was entered.
    pub fn since(&self) -> Moment {
        match self {
            Self::Asking(search) => search.since,
            Self::Widened(search) => search.since,
            Self::Probing(search) => search.since,
        }
    }

    /// Returns the entry that the packet came through.
    pub fn entry(&self) -> SocketAddr {
        match self {
            Self::Asking(search) => search.entry,
            Self::Widened(search) => search.entry,
            Self::Probing(search) => search.entry,
        }
    }

    /// Takes the packets that waited for the end of the search. A probe's packet is one of them:
    /// its owner had it before or after the other backend servers, and must have the last copy.
    pub fn into_held(self) -> Vec<Packet> {
        let (carried, packet, held) = match self {
            Self::Asking(search) => (search.state.carried, search.packet, search.held),
            Self::Widened(search) => (search.state.carried, search.packet, search.held),
            Self::Probing(search) => (false, search.packet, search.held),
        };
        let first = (!carried).then_some(packet);
        first.into_iter().chain(held).collect()
    }

    /// Ends the search without an owner.
    pub fn unresolve(self, now: Moment) -> Unresolved {
        match self {
            Self::Asking(search) => {
                let Asking { waiting, unsure, .. } = search.state.clone();
                search.end(waiting, unsure, now)
            }
            Self::Widened(search) => {
                let Widened { waiting, unsure, .. } = search.state.clone();
                search.end(waiting, unsure, now)
            }
            Self::Probing(search) => {
                let waiting = search.state.waiting.clone();
                search.end(waiting, BTreeSet::new(), now)
            }
        }
    }

    fn waiting_mut(&mut self) -> &mut BTreeSet<SocketAddr> {
        match self {
            Self::Asking(search) => &mut search.state.waiting,
            Self::Widened(search) => &mut search.state.waiting,
            Self::Probing(search) => &mut search.state.waiting,
        }
    }

    // None once the backend servers are probed.
    fn unsure_mut(&mut self) -> Option<&mut BTreeSet<SocketAddr>> {
        match self {
            Self::Asking(search) => Some(&mut search.state.unsure),
            Self::Widened(search) => Some(&mut search.state.unsure),
            Self::Probing(_) => None,
        }
    }
}
