//! Which processes read the source, so that the others need not.

use std::net::SocketAddr;

use crate::version::ranking::Ranking;
use crate::version::roster::Roster;

/// Key of the ranking, the same in all processes.
const KEY: u64 = 0x6f62_7365_7276;
/// Agents per observer. Reads of the source cost most of what a fleet costs, so their
/// number grows far more slowly than the fleet.
const MEMBERS_PER_OBSERVER: usize = 30;
/// Fewest observers: with three, two may be lost at once.
const MIN_OBSERVERS: usize = 3;
/// Most observers.
const MAX_OBSERVERS: usize = 8;

/// The agents that read the source, the best rank first. Processes with the same roster
/// choose the same ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observers {
    links: Vec<SocketAddr>,
}

impl Observers {
    /// Chooses the observers among the agents of `roster`, which receive datagrams on
    /// `port`.
    pub fn of(roster: &Roster, port: u16) -> Self {
        let members = roster.members();
        let count = (members.len() / MEMBERS_PER_OBSERVER).clamp(MIN_OBSERVERS, MAX_OBSERVERS);
        let ranking = Ranking::weighted(members.iter().map(|m| (&m.name, 1)));
        let chosen = ranking.top(KEY, count).into_iter();
        let links = chosen.map(|i| SocketAddr::new(members[i].address.ip(), port));
        Self { links: links.collect() }
    }

    /// Returns whether the agent at `link` is an observer.
    pub fn include(&self, link: SocketAddr) -> bool {
        self.links.contains(&link)
    }

    /// Returns the observers' addresses.
    pub fn links(&self) -> &[SocketAddr] {
        &self.links
    }
}
