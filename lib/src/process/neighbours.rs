//! What an agent heard from other agents, for placing new flows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::request::load_meter::Load;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Time for which an agent that missed an offer is passed over.
const SUSPECT_TIME: Duration = Duration::from_millis(500);
/// Shortest time between two beats.
const MIN_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two beats.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Time between beats for each receiver, which bounds what an agent sends:
/// 60 bytes each, 2.4 KB/s.
const RECEIVER_INTERVAL: Duration = Duration::from_millis(25);
/// Silence after which a neighbour counts as out of reach.
pub const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What one agent says of itself.
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
    /// When it was last heard.
    pub heard: Moment,
    /// Flows placed there since, which its load doesn't show yet.
    pub charged: u32,
}

/// All other agents that were heard.
#[derive(Debug, Default)]
pub struct Neighbours {
    by_link: HashMap<SocketAddr, Neighbour>,
    suspects: HashMap<SocketAddr, Moment>,
    // Flows placed at agents of which nothing was heard.
    unheard: HashMap<SocketAddr, u32>,
}

impl Neighbours {
    /// Takes in what an agent says of itself; returns whether its run is new.
    pub fn heard(&mut self, link: SocketAddr, neighbour: Neighbour) -> bool {
        self.suspects.remove(&link);
        self.unheard.remove(&link);
        let run = neighbour.run;
        let old = self.by_link.insert(link, neighbour);
        old.is_none_or(|o| o.run != run)
    }

    /// Takes in any message of an agent.
    pub fn touch(&mut self, link: SocketAddr, now: Moment) {
        self.suspects.remove(&link);
        if let Some(neighbour) = self.by_link.get_mut(&link) {
            neighbour.heard = now;
        }
    }

    /// Takes in a later load of an agent.
    pub fn update_load(&mut self, link: SocketAddr, load: Load) {
        if let Some(neighbour) = self.by_link.get_mut(&link) {
            neighbour.load = load;
            neighbour.charged = 0;
        }
    }

    /// Takes in that an agent missed an offer.
    pub fn suspect(&mut self, link: SocketAddr, now: Moment) {
        self.suspects.insert(link, now + SUSPECT_TIME);
    }

    /// Returns whether an agent missed an offer lately.
    pub fn is_suspect(&self, link: SocketAddr, now: Moment) -> bool {
        self.suspects.get(&link).is_some_and(|until| *until > now)
    }

    /// Takes in that a flow was placed at an agent.
    pub fn charge(&mut self, link: SocketAddr) {
        match self.by_link.get_mut(&link) {
            Some(neighbour) => neighbour.charged += 1,
            None => *self.unheard.entry(link).or_insert(0) += 1,
        }
    }

    /// Returns the flows placed at an agent of which nothing was heard.
    pub fn charged_unheard(&self, link: SocketAddr) -> u32 {
        self.unheard.get(&link).copied().unwrap_or(0)
    }

    /// Returns what an agent said of itself.
    pub fn get(&self, link: SocketAddr) -> Option<&Neighbour> {
        self.by_link.get(&link)
    }

    /// Returns the agents beside a service's backend servers that were heard lately.
    pub fn reachable(&self, service: &Name, now: Moment) -> impl Iterator<Item = SocketAddr> {
        let near = move |n: &Neighbour| now.since(n.heard) < NEIGHBOUR_TIMEOUT;
        let fits = move |n: &Neighbour| n.service == *service && near(n);
        self.by_link.iter().filter(move |(_, n)| fits(n)).map(|(link, _)| *link)
    }

    /// Forgets agents that are out of reach.
    pub fn expire(&mut self, now: Moment) {
        self.by_link.retain(|_, n| now.since(n.heard) < NEIGHBOUR_TIMEOUT);
        self.suspects.retain(|_, until| *until > now);
        self.unheard.clear();
    }
}

/// Returns the time between two beats to `count` receivers.
pub fn heartbeat_interval(count: usize) -> Duration {
    (RECEIVER_INTERVAL * count as u32).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
