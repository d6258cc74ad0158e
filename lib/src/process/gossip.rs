//! Gossip of manifest versions and notices over the fleet.

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
/// Processes that each round's message is sent to.
pub const RECEIVERS: usize = 2;
/// Maximum number of notices in one message.
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

/// Outcome of comparing a sender's version with the one in force.
#[derive(Clone, Debug, PartialEq)]
pub enum Comparison {
    /// Both are the same, and no reply is wanted.
    Same,
    /// The sender has a later version, to be pulled from this control address.
    Pull(SocketAddr),
    /// The sender has an earlier version or wants a reply, so it is sent one.
    Push,
}

impl Gossip {
    /// Opens for the process `me` whose control endpoint is at `control`.
    ///
    /// Receivers are drawn from the manifest, which does not list entries: an entry
    /// sets `wants_reply` to learn of versions that nobody would send it.
    pub fn open(me: Name, control: SocketAddr, wants_reply: bool, now: Moment) -> Self {
        Self { me, control, wants_reply, rumors: Rumors::default(), due: now }
    }

    /// Queues a notice to be sent; returns whether it is new.
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

    /// Returns the reply to a sender, which asks for none itself.
    pub fn reply(&mut self) -> Message {
        let notices = self.rumors.pass_on(NOTICES);
        Message::Gossip { control: self.control, notices, wants_reply: false }
    }

    /// Returns the receivers of the next round, none if it is not due yet.
    pub fn due<'a>(
        &mut self,
        manifest: &'a Manifest<InForce>,
        rng: &mut impl Rng,
        now: Moment,
    ) -> Vec<&'a Backend> {
        if now < self.due {
            return Vec::new();
        }
        // Jitter spreads the rounds of processes that started together.
        self.due = now + ROUND.mul_f64(rng.random_range(0.9..1.1));
        let backends = manifest.backends();
        let count = RECEIVERS.min(backends.len());
        let draw = |_| manifest.backend(&backends[rng.random_range(0..backends.len())]);
        let drawn = (0..count).filter_map(draw);
        drawn.filter(|b| b.name != self.me).collect()
    }
}
