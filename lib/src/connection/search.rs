//! A search for the owner of a flow that its home has no record of.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::From;

use super::search_range::SearchRange;
use super::segment::Packet;
use super::unresolved::Unresolved;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::roster::Roster;

/// Maximum number of packets held during one search.
const MAX_HELD: usize = 4;

/// Whom a search concerns: the agents of some services.
#[derive(Clone, Debug)]
pub struct Scope {
    /// The services.
    pub services: BTreeSet<Name>,
    /// The roster that named the agents.
    pub roster: Arc<Roster>,
    /// Agents that were asked though the roster does not list them.
    pub others: BTreeSet<SocketAddr>,
    /// Agents that the roster lists and that were not asked.
    pub left_out: BTreeSet<SocketAddr>,
}

impl Scope {
    /// Opens a scope of all agents in `agents`; those in `left_out` are listed and not asked.
    pub fn open(
        services: BTreeSet<Name>,
        roster: Arc<Roster>,
        agents: &BTreeSet<SocketAddr>,
        left_out: BTreeSet<SocketAddr>,
    ) -> Self {
        let mut scope = Self { services, roster, others: BTreeSet::new(), left_out };
        scope.others = agents.iter().filter(|l| !scope.covers(l)).copied().collect();
        scope
    }

    /// Returns whether the agent at `link` belongs to the scope.
    pub fn covers(&self, link: &SocketAddr) -> bool {
        if self.left_out.contains(link) {
            return false;
        }
        let member = self.roster.on_vm(link.ip());
        member.is_some_and(|m| self.services.contains(&m.service)) || self.others.contains(link)
    }

    /// Returns what the log shows of the scope; `first_routes` is the first version of the
    /// routes that this process put in force.
    pub fn range(&self, first_routes: u64) -> SearchRange {
        let members = self.roster.members();
        let covered = members.iter().filter(|m| self.covers(&m.address)).count();
        SearchRange {
            services: self.services.iter().cloned().collect(),
            covered: (covered + self.others.len()) as u32,
            listed: members.len() as u32,
            first_routes,
        }
    }
}

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
    /// When the search entered the state.
    pub since: Moment,
    /// State of the search.
    pub state: S,
}

/// All agents that may own the flow are asked whether they do.
#[derive(Debug, Default)]
pub struct Asking {
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
    /// See [`Probing`].
    Probing(Search<Probing>),
}

impl<S> Search<S> {
    /// Holds a packet until the search ends; drops it beyond the limit.
    fn hold(&mut self, packet: &Packet) {
        if self.held.len() < MAX_HELD {
            self.held.push(packet.clone());
        }
    }
}

impl Search<Asking> {
    /// Opens a search.
    pub fn open(
        scope: Scope,
        entry: SocketAddr,
        packet: Packet,
        state: Asking,
        now: Moment,
    ) -> Self {
        Self { scope, entry, packet, held: Vec::new(), since: now, state }
    }

    /// Begins to probe the backend servers of the unsure agents.
    pub fn probe(self, now: Moment) -> Search<Probing> {
        let Self { scope, entry, packet, held, state, .. } = self;
        let state = Probing { waiting: state.unsure };
        Search { scope, entry, packet, held, since: now, state }
    }
}

impl SearchState {
    /// Holds a packet until the search ends; drops it beyond the limit.
    pub fn hold(&mut self, packet: &Packet) {
        match self {
            Self::Asking(search) => search.hold(packet),
            Self::Probing(search) => search.hold(packet),
        }
    }

    /// Records that the agent at `link` does not own the flow.
    pub fn not_owner(&mut self, link: SocketAddr) {
        match self {
            Self::Asking(search) => {
                search.state.waiting.remove(&link);
                search.state.unsure.remove(&link);
            }
            Self::Probing(search) => {
                search.state.waiting.remove(&link);
            }
        }
    }

    /// Records that the agent at `link` can't tell whether its backend server has the flow.
    pub fn unsure(&mut self, link: SocketAddr) {
        if let Self::Asking(search) = self
            && search.state.waiting.remove(&link)
        {
            search.state.unsure.insert(link);
        }
    }

    /// Returns when the state was entered.
    pub fn since(&self) -> Moment {
        match self {
            Self::Asking(search) => search.since,
            Self::Probing(search) => search.since,
        }
    }

    /// Returns the entry that the packet came through.
    pub fn entry(&self) -> SocketAddr {
        match self {
            Self::Asking(search) => search.entry,
            Self::Probing(search) => search.entry,
        }
    }

    /// Takes the packets that waited for the end of the search.
    pub fn into_held(self) -> Vec<Packet> {
        match self {
            Self::Asking(search) if !search.state.carried => {
                [search.packet].into_iter().chain(search.held).collect()
            }
            Self::Asking(search) => search.held,
            Self::Probing(search) => search.held,
        }
    }

    /// Ends the search without an owner.
    pub fn unresolve(self, now: Moment) -> Unresolved {
        let (scope, entry, packet, mut held, silent, unsure) = match self {
            Self::Asking(Search { scope, entry, packet, held, state, .. }) => {
                (scope, entry, packet, held, state.waiting, state.unsure)
            }
            Self::Probing(Search { scope, entry, packet, held, state, .. }) => {
                (scope, entry, packet, held, state.waiting, BTreeSet::new())
            }
        };
        let packet = held.pop().unwrap_or(packet);
        Unresolved { packet, entry, scope, silent, unsure, since: now }
    }
}
