//! Which agents a search concerns.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::search_range::SearchRange;
use crate::value::name::Name;
use crate::version::roster::Roster;

/// The backend servers whose agents a search concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Those of some services.
    Services(BTreeSet<Name>),
    /// All that are registered or were heard from.
    Fleet,
}

impl Reach {
    /// Returns whether backend servers of a service are included.
    pub fn includes(&self, service: &Name) -> bool {
        match self {
            Self::Services(services) => services.contains(service),
            Self::Fleet => true,
        }
    }
}

/// The agents that a search concerns.
#[derive(Clone, Debug)]
pub struct Scope {
    reach: Reach,
    // The roster that named the agents.
    roster: Arc<Roster>,
    // Agents that were asked though the roster does not list them.
    others: BTreeSet<SocketAddr>,
    // Agents that the roster lists and that were not asked.
    ended: BTreeSet<SocketAddr>,
}

impl Scope {
    /// Opens a scope of all agents in `agents`; those in `ended` are listed and not asked.
    pub fn open(
        reach: Reach,
        roster: Arc<Roster>,
        agents: &BTreeSet<SocketAddr>,
        ended: BTreeSet<SocketAddr>,
    ) -> Self {
        let mut scope = Self { reach, roster, others: BTreeSet::new(), ended };
        scope.others = agents.iter().filter(|l| !scope.covers(l)).copied().collect();
        scope
    }

    /// Returns whether all registered backend servers are included, so that the answers can
    /// prove that a flow does not exist.
    pub fn is_whole(&self) -> bool {
        self.reach == Reach::Fleet
    }

    /// Returns whether the agent at `link` belongs to the scope.
    pub fn covers(&self, link: &SocketAddr) -> bool {
        if self.ended.contains(link) {
            return false;
        }
        let member = self.roster.on_vm(link.ip());
        member.is_some_and(|m| self.reach.includes(&m.service)) || self.others.contains(link)
    }

    /// Returns what the log shows of the scope; `first_routes` is the first version of the
    /// routes that this process put in force.
    pub fn range(&self, first_routes: u64) -> SearchRange {
        let members = self.roster.members();
        let covered = members.iter().filter(|m| self.covers(&m.address)).count();
        let services = match &self.reach {
            Reach::Services(services) => services.iter().cloned().collect(),
            Reach::Fleet => vec!["*".into()],
        };
        SearchRange {
            services,
            covered: (covered + self.others.len()) as u32,
            listed: members.len() as u32,
            first_routes,
        }
    }
}
