//! The other agents of a service and what is known of each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use super::health::Health;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Silence after which a peer is presumed dead and gets no new work.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers that each agent sends heartbeats to.
pub const FANOUT: usize = 8;

/// One peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its current run, once known.
    pub run: Option<Incarnation>,
    /// Revision of the service's document that it works under.
    pub revision: u64,
    /// Health of its backend server, as it measures it.
    pub health: Health,
    heard: Moment,
    watched: bool,
    dead: bool,
    // Expected time of the work handed to the peer since its last heartbeat, in
    // microseconds.
    charged: u64,
}

/// What a message from a peer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Nothing but the time it was last heard from.
    Unchanged,
    /// The peer was presumed dead before.
    Returned,
    /// The peer runs as a new incarnation.
    Restarted,
    /// The message comes from an earlier incarnation and must be ignored.
    Outdated,
}

/// All peers of one agent.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<Name, Peer>,
}

impl Peers {
    /// Keeps exactly the peers in `names`; new ones start as alive.
    pub fn enforce(&mut self, me: &Name, names: &BTreeSet<Name>, now: Moment) {
        self.peers.retain(|name, _| names.contains(name));
        for name in names.iter().filter(|n| *n != me) {
            let watched = Self::targets(names, name).contains(me);
            let peer = self.peers.entry(name.clone()).or_insert_with(|| Peer::open(now));
            if watched && !peer.watched {
                peer.heard = now;
            }
            peer.watched = watched;
        }
    }

    /// Returns the members that `sender` sends heartbeats to: the next ones in the
    /// order of names, so that each member gets them from as many.
    pub fn targets(names: &BTreeSet<Name>, sender: &Name) -> Vec<Name> {
        let after = names.range(sender.clone()..).skip(1);
        let before = names.range(..sender.clone());
        after.chain(before).take(FANOUT).cloned().collect()
    }

    /// Records a message from run `run` of `name`.
    pub fn heard(&mut self, name: &Name, run: Incarnation, now: Moment) -> Contact {
        let Some(peer) = self.peers.get_mut(name) else {
            return Contact::Unchanged;
        };
        if peer.run.is_some_and(|r| run < r) {
            return Contact::Outdated;
        }
        let restarted = peer.run.is_some_and(|r| run > r);
        let returned = peer.dead;
        peer.run = Some(run);
        peer.heard = now;
        peer.dead = false;
        match (restarted, returned) {
            (true, _) => Contact::Restarted,
            (false, true) => Contact::Returned,
            (false, false) => Contact::Unchanged,
        }
    }

    /// Records the contents of a peer's heartbeat.
    pub fn update(&mut self, name: &Name, revision: u64, health: Health) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.revision = peer.revision.max(revision);
            peer.health = health;
            peer.charged = 0;
        }
    }

    /// Applies a notice about a peer that sends no heartbeats here.
    pub fn notice(&mut self, name: &Name, down: bool) {
        if let Some(peer) = self.peers.get_mut(name).filter(|p| !p.watched) {
            peer.dead = down;
        }
    }

    /// Marks peers that were silent for too long as presumed dead, and returns
    /// them.
    pub fn sweep(&mut self, now: Moment) -> Vec<Name> {
        let late = |p: &Peer| p.watched && !p.dead && now.since(p.heard) >= FAILURE_TIMEOUT;
        let mut names = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|(_, p)| late(p)) {
            peer.dead = true;
            names.push(name.clone());
        }
        names
    }

    /// Returns the peer with `name`.
    pub fn get(&self, name: &Name) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns whether `name` is a peer that is not presumed dead.
    pub fn is_alive(&self, name: &Name) -> bool {
        self.peers.get(name).is_some_and(|p| !p.dead)
    }

    /// Returns the names of all peers.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.peers.keys()
    }

    /// Returns the names of the peers that are not presumed dead.
    pub fn alive_names(&self) -> BTreeSet<Name> {
        self.peers.iter().filter(|(_, p)| !p.dead).map(|(n, _)| n.clone()).collect()
    }

    /// Draws two peers that take work, out of `names`, and returns the better
    /// one with its expected completion time in microseconds.
    pub fn better_of_two(&self, names: &BTreeSet<Name>, rng: &mut impl Rng) -> Option<(Name, u64)> {
        let fit = |p: &Peer| !p.dead && p.run.is_some() && p.health.takes_work();
        let fit: Vec<_> = self.peers.iter().filter(|(n, p)| names.contains(*n) && fit(p)).collect();
        if fit.is_empty() {
            return None;
        }
        let a = rng.random_range(0..fit.len());
        let b = rng.random_range(0..fit.len());
        // The second draw skips the first, so that two peers are compared.
        let b = if a == b { (b + 1) % fit.len() } else { b };
        let best = [a, b].into_iter().min_by_key(|i| fit[*i].1.completion())?;
        Some((fit[best].0.clone(), fit[best].1.completion()))
    }

    /// Charges a peer for work that its last heartbeat does not include.
    pub fn charge(&mut self, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.charged += u64::from(peer.health.service_time);
        }
    }
}

impl Peer {
    fn open(now: Moment) -> Self {
        Self {
            run: None,
            revision: 0,
            health: Health::default(),
            heard: now,
            watched: false,
            dead: false,
            charged: 0,
        }
    }

    fn completion(&self) -> u64 {
        self.health.completion() + self.charged
    }
}
