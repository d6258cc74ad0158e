//! Whether the backend server beside an agent works, told from its packets.

use std::time::Duration;

use crate::value::moment::Moment;

/// Opening packets in a row without answer after which no more are passed on.
const MAX_UNANSWERED: u32 = 2;
/// Time for which nothing is passed on then, before one is tried again.
const PAUSE: Duration = Duration::from_millis(500);
/// Silence, with packets unanswered, after which the backend server is taken
/// as dead. It answers opening packets in less than a millisecond, also while
/// its work is slow.
const DEAD_AFTER: Duration = Duration::from_millis(700);
/// Packets in a row that a dead backend server must have left unanswered.
const DEAD_UNANSWERED: u32 = 3;

/// Signs of life of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Vitals {
    heard: Moment,
    unanswered: u32,
    paused_until: Moment,
    dead: bool,
}

impl Vitals {
    /// Opens for a backend server that is taken to work.
    pub fn open(now: Moment) -> Self {
        Self { heard: now, unanswered: 0, paused_until: Moment::default(), dead: false }
    }

    /// Takes in a packet of the backend server.
    pub fn heard(&mut self, now: Moment) {
        *self = Self { heard: now, ..Self::open(now) };
    }

    /// Takes in that an opening packet is overdue; returns whether the backend
    /// server is paused by that.
    pub fn missed(&mut self, now: Moment) -> bool {
        self.unanswered += 1;
        let pauses = self.unanswered >= MAX_UNANSWERED;
        if pauses {
            self.paused_until = now + PAUSE;
        }
        pauses
    }

    /// Takes in that the backend server's address refuses packets.
    pub fn refused(&mut self, now: Moment) {
        self.dead = true;
        self.paused_until = now + PAUSE;
    }

    /// Returns whether new flows may be passed on.
    pub fn takes_work(&self, now: Moment) -> bool {
        now >= self.paused_until
    }

    /// Returns whether the backend server and its flows are gone.
    pub fn is_dead(&self, now: Moment) -> bool {
        let silent = now.since(self.heard) >= DEAD_AFTER;
        self.dead || (silent && self.unanswered >= DEAD_UNANSWERED)
    }

    /// Starts over after a pause of this process, in which it could hear nothing.
    pub fn woke(&mut self, now: Moment) {
        *self = Self { dead: self.dead, ..Self::open(now) };
    }
}
