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
    asks: bool,
    rumors: Rumors,
    due: Moment,
}

/// What a received message calls for.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// Nothing.
    Same,
    /// The sender has a later version; it is read from this address.
    Pull(SocketAddr),
    /// The sender has an earlier version or asks, and is to be told.
    Tell,
}

impl Gossip {
    /// Opens for the process `me` whose control endpoint is at `control`.
    ///
    /// Receivers are drawn from the manifest, which names no entries: an entry
    /// `asks` to be told in return.
    pub fn open(me: Name, control: SocketAddr, asks: bool, now: Moment) -> Self {
        Self { me, control, asks, rumors: Rumors::default(), due: now }
    }

    /// Takes in a notice of this process's own; returns whether it is news.
    pub fn spread(&mut self, notice: &Notice) -> bool {
        self.rumors.hear(notice)
    }

    /// Compares a sender's version with the one in force.
    pub fn heard(&self, mine: u64, theirs: u64, control: SocketAddr, asks: bool) -> Heard {
        match theirs.cmp(&mine) {
            Ordering::Greater => Heard::Pull(control),
            Ordering::Less => Heard::Tell,
            Ordering::Equal if asks => Heard::Tell,
            Ordering::Equal => Heard::Same,
        }
    }

    /// Returns the message of one round.
    pub fn message(&mut self) -> Message {
        let notices = self.rumors.pass_on(NOTICES);
        Message::Gossip { control: self.control, notices, asks: self.asks }
    }

    /// Returns the message that tells a sender in return.
    pub fn answer(&mut self) -> Message {
        let notices = self.rumors.pass_on(NOTICES);
        Message::Gossip { control: self.control, notices, asks: false }
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
