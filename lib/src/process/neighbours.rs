//! Reports of other agents, for the placement of new flows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::ended_runs::EndedRun;
use super::ended_runs::EndedRuns;
use crate::request::load_meter::Load;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::member::Member;

/// Time for which an agent that missed an offer is skipped.
const SUSPECT_TIME: Duration = Duration::from_millis(500);
/// Shortest time between two heartbeats.
const MIN_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two heartbeats.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Time between heartbeats per receiver. It bounds what an agent sends to 2.4 KB/s,
/// at 60 bytes a heartbeat.
const RECEIVER_INTERVAL: Duration = Duration::from_millis(25);
/// Silence after which a neighbour counts as unreachable.
pub const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The last report of one agent.
#[derive(Clone, Debug)]
pub struct Neighbour {
    /// Its run.
    pub run: Incarnation,
    /// The service of its backend server.
    pub service: Name,
    /// Its load.
    pub load: Load,
    /// Whether it takes new flows.
    pub accepting: bool,
    /// When it was last heard from.
    pub heard: Moment,
    /// Flows placed there since the report, which its load doesn't include.
    pub charged: u32,
}

/// All other agents that have reported.
#[derive(Debug, Default)]
pub struct Neighbours {
    by_link: HashMap<SocketAddr, Neighbour>,
    suspects: HashMap<SocketAddr, Moment>,
    // Flows placed at agents that have not reported.
    unheard: HashMap<SocketAddr, u32>,
    ended: EndedRuns,
}

impl Neighbours {
    /// Records a report; returns whether the agent's run is new.
    pub fn heard(&mut self, link: SocketAddr, neighbour: Neighbour) -> bool {
        self.suspects.remove(&link);
        self.unheard.remove(&link);
        let run = neighbour.run;
        self.ended.heard(link, run);
        let old = self.by_link.insert(link, neighbour);
        old.is_none_or(|o| o.run != run)
    }

    /// Records that an agent sent any message.
    pub fn touch(&mut self, link: SocketAddr, now: Moment) {
        self.suspects.remove(&link);
        if let Some(neighbour) = self.by_link.get_mut(&link) {
            neighbour.heard = now;
        }
    }

    /// Records that an agent stops and that its backend server's run has ended, unless another
    /// process was heard from there; returns whether that is new.
    pub fn end(&mut self, link: SocketAddr, ended: EndedRun, now: Moment) -> bool {
        let last = self.by_link.get(&link).is_none_or(|n| n.run == ended.agent);
        last && self.ended.add(link, ended, now)
    }

    /// Returns the runs that have ended, by the addresses of their agents.
    pub fn ended(&self) -> impl Iterator<Item = (SocketAddr, &EndedRun)> {
        self.ended.iter()
    }

    /// Returns whether the backend server of the agent at `link` has ended, so that it has no
    /// flows; `member` is the one that the roster lists there.
    pub fn has_ended(&self, link: SocketAddr, member: Option<&Member>) -> bool {
        self.ended.covers(link, member)
    }

    /// Updates the load of an agent.
    pub fn update_load(&mut self, link: SocketAddr, load: Load) {
        if let Some(neighbour) = self.by_link.get_mut(&link) {
            neighbour.load = load;
            neighbour.charged = 0;
        }
    }

    /// Records that an agent missed an offer.
    pub fn suspect(&mut self, link: SocketAddr, now: Moment) {
        self.suspects.insert(link, now + SUSPECT_TIME);
    }

    /// Returns whether an agent missed an offer lately.
    pub fn is_suspect(&self, link: SocketAddr, now: Moment) -> bool {
        self.suspects.get(&link).is_some_and(|until| *until > now)
    }

    /// Records that a flow was placed at an agent.
    pub fn charge(&mut self, link: SocketAddr) {
        match self.by_link.get_mut(&link) {
            Some(neighbour) => neighbour.charged += 1,
            None => *self.unheard.entry(link).or_insert(0) += 1,
        }
    }

    /// Returns the number of flows placed at an agent that has not reported.
    pub fn charged_unheard(&self, link: SocketAddr) -> u32 {
        self.unheard.get(&link).copied().unwrap_or(0)
    }

    /// Returns the last report of an agent.
    pub fn get(&self, link: SocketAddr) -> Option<&Neighbour> {
        self.by_link.get(&link)
    }

    /// Returns the agents beside a service's backend servers that are reachable.
    pub fn reachable(&self, service: &Name, now: Moment) -> impl Iterator<Item = SocketAddr> {
        let recent = move |n: &Neighbour| now.since(n.heard) < NEIGHBOUR_TIMEOUT;
        let fits = move |n: &Neighbour| n.service == *service && recent(n);
        self.by_link.iter().filter(move |(_, n)| fits(n)).map(|(link, _)| *link)
    }

    /// Returns all agents that are reachable, of whatever service.
    pub fn all_reachable(&self, now: Moment) -> impl Iterator<Item = SocketAddr> {
        let recent = move |n: &Neighbour| now.since(n.heard) < NEIGHBOUR_TIMEOUT;
        self.by_link.iter().filter(move |(_, n)| recent(n)).map(|(link, _)| *link)
    }

    /// Forgets agents that are unreachable.
    pub fn expire(&mut self, now: Moment) {
        self.by_link.retain(|_, n| now.since(n.heard) < NEIGHBOUR_TIMEOUT);
        self.suspects.retain(|_, until| *until > now);
        self.unheard.clear();
        self.ended.expire(now);
    }
}

/// Returns the time between two heartbeats to `count` receivers.
pub fn heartbeat_interval(count: usize) -> Duration {
    (RECEIVER_INTERVAL * count as u32).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
