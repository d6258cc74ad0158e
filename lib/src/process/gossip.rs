//! Spreading of manifest versions and notices over the fleet.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::message::Message;
use super::notice::Notice;
use super::rumors::Rumors;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::backend::Backend;
use crate::version::manifest::InForce;
use crate::version::manifest::Manifest;

/// Time between two rounds.
pub const ROUND: Duration = Duration::from_millis(500);
/// Receivers in each round.
pub const RECEIVERS: usize = 2;
/// Notices in one message.
const NOTICES: usize = 8;

/// Gossip decisions of one process.
#[derive(Debug)]
pub struct Gossip {
    me: Name,
    control: SocketAddr,
    wants_reply: bool,
    rumors: Rumors,
    due: Moment,
}

/// What a received message calls for.
#[derive(Clone, Debug, PartialEq)]
pub enum Comparison {
    /// Nothing.
    Same,
    /// The sender has a later version; it is read from this address.
    Pull(SocketAddr),
    /// The sender has an earlier version or asks, and is to be told.
    Push,
}

impl Gossip {
    /// Opens for the process `me` whose control endpoint is at `control`.
    ///
    /// Receivers are drawn from the manifest, which names no entries: an entry
    /// `wants_reply` to be told in return.
    pub fn open(me: Name, control: SocketAddr, wants_reply: bool, now: Moment) -> Self {
        Self { me, control, wants_reply, rumors: Rumors::default(), due: now }
    }

    /// Takes in a notice of this process's own; returns whether it is news.
    pub fn spread(&mut self, notice: &Notice) -> bool {
        self.rumors.insert(notice)
    }

    /// Compares a sender's version with the one in force.
    pub fn compare(
        &self,
        mine: u64,
        theirs: u64,
        control: SocketAddr,
        wants_reply: bool,
    ) -> Comparison {
        match theirs.cmp(&mine) {
            Ordering::Greater => Comparison::Pull(control),
            Ordering::Less => Comparison::Push,
            Ordering::Equal if wants_reply => Comparison::Push,
            Ordering::Equal => Comparison::Same,
        }
    }

    /// Returns the message of one round.
    pub fn message(&mut self) -> Message {
        let notices = self.rumors.pass_on(NOTICES);
        Message::Gossip { control: self.control, notices, wants_reply: self.wants_reply }
    }

    /// Returns the message that tells a sender in return.
    pub fn reply(&mut self) -> Message {
        let notices = self.rumors.pass_on(NOTICES);
        Message::Gossip { control: self.control, notices, wants_reply: false }
    }

    /// Returns the receivers of the round that is due, if one is.
    pub fn due<'a>(
        &mut self,
        manifest: &'a Manifest<InForce>,
        rng: &mut impl Rng,
        now: Moment,
    ) -> Vec<&'a Backend> {
        if now < self.due {
            return Vec::new();
        }
        // Jitter keeps processes that started together apart.
        self.due = now + ROUND.mul_f64(rng.random_range(0.9..1.1));
        let backends = manifest.backends();
        let count = RECEIVERS.min(backends.len());
        let draw = |_| manifest.backend(&backends[rng.random_range(0..backends.len())]);
        let drawn = (0..count).filter_map(draw);
        drawn.filter(|b| b.name != self.me).collect()
    }
}
