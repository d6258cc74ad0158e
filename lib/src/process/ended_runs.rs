//! Runs of backend servers that have ended, as their agents said when they stopped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::version::member::Member;
use crate::version::run::Run;

/// Time for which an ended run is remembered; its registry entry has lapsed by then.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of ended runs.
const MAX_RUNS: usize = 1_024;

/// A run of a backend server that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The process of the agent beside it, which said so.
    pub agent: Incarnation,
    /// The run, if it was registered while that process ran.
    pub run: Option<Run>,
}

/// The ended runs by the addresses of their agents. Answers the load of searches while VMs
/// are taken away whose registry entries are still listed.
#[derive(Debug, Default)]
pub struct EndedRuns {
    by_link: HashMap<SocketAddr, (EndedRun, Moment)>,
}

impl EndedRuns {
    /// Records that a run has ended, none beyond the limit; returns whether that is new.
    pub fn add(&mut self, link: SocketAddr, ended: EndedRun, now: Moment) -> bool {
        match self.by_link.get(&link) {
            Some((known, _)) if *known == ended => false,
            None if self.by_link.len() >= MAX_RUNS => false,
            _ => {
                self.by_link.insert(link, (ended, now));
                true
            }
        }
    }

    /// Returns the ended runs.
    pub fn iter(&self) -> impl Iterator<Item = (SocketAddr, &EndedRun)> {
        self.by_link.iter().map(|(link, (ended, _))| (*link, ended))
    }

    /// Records that the process `agent` runs at `link`: another one than that which stopped
    /// serves another run.
    pub fn heard(&mut self, link: SocketAddr, agent: Incarnation) {
        if self.by_link.get(&link).is_some_and(|(ended, _)| ended.agent != agent) {
            self.by_link.remove(&link);
        }
    }

    /// Returns whether the backend server of the agent at `link` has ended; `member` is the
    /// one that the roster lists there.
    pub fn covers(&self, link: SocketAddr, member: Option<&Member>) -> bool {
        let Some((ended, _)) = self.by_link.get(&link) else { return false };
        member.is_none_or(|m| ended.run.as_ref() == Some(&m.run()))
    }

    /// Forgets runs that ended long ago.
    pub fn expire(&mut self, now: Moment) {
        self.by_link.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}
