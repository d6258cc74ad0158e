//! Whether the backend server beside an agent works, told from its packets.

use std::time::Duration;

use derive_more::Display;

use crate::value::moment::Moment;

/// Opening packets in a row without answer after which no more are passed on.
const MAX_UNANSWERED: u32 = 2;
/// Time for which nothing is passed on then, before one is tried again.
const PAUSE: Duration = Duration::from_millis(500);
/// Silence, with packets unanswered, after which the backend server is taken
/// as dead. It answers opening packets in less than a millisecond, also while
/// its work is slow.
pub const DEAD_AFTER: Duration = Duration::from_millis(700);
/// Packets in a row that a dead backend server must have left unanswered.
const DEAD_UNANSWERED: u32 = 3;

/// Time after which a connection to a silent backend server is closed, by
/// keep-alive probes; before, an open connection proves nothing.
pub const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What is believed of a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Condition {
    /// The run that registered itself works.
    Working,
    /// Nothing was heard of it for so long that another one may have its address.
    Unproven,
    /// It is gone, and its flows with it.
    Dead,
}

/// The idle connection to a backend server, which ends with its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It is open.
    Open,
    /// It is not; why is not known.
    Closed,
    /// The address refuses it, so no process listens there.
    Refused,
}

/// Signs of life of one run of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    condition: Condition,
    since: Moment,
    heard: Moment,
    proof: Moment,
    unanswered: u32,
    paused_until: Moment,
}

impl Liveness {
    /// Opens for a run that has registered itself.
    pub fn open(now: Moment) -> Self {
        let (condition, unanswered) = (Condition::Working, 0);
        let paused_until = Moment::default();
        Self { condition, since: now, heard: now, proof: now, unanswered, paused_until }
    }

    /// Returns what is believed.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Returns since when the backend server has not been believed to work.
    pub fn suspect_since(&self) -> Option<Moment> {
        (self.condition != Condition::Working).then_some(self.since)
    }

    /// Takes in a packet that any run sends. It is no proof that the run is the
    /// registered one if that was in doubt.
    pub fn heard(&mut self, now: Moment) {
        if self.condition == Condition::Working {
            *self = Self::open(now);
        }
    }

    /// Takes in that a connection to the backend server is open.
    pub fn connected(&mut self, now: Moment) {
        self.proof = self.proof.max(now - KEEP_ALIVE_TIMEOUT);
    }

    /// Takes in proof that the run which was there before still works.
    pub fn proven(&mut self, now: Moment) {
        *self = Self::open(now);
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

    /// Takes in that the backend server's address refuses packets; returns
    /// whether that is news.
    pub fn refused(&mut self, now: Moment) -> bool {
        self.transition(Condition::Dead, now)
    }

    /// Looks at the time since the last sign of life; returns whether the
    /// condition changed. An address may be used again `reuse` after its holder
    /// is gone.
    pub fn tick(&mut self, reuse: Duration, now: Moment) -> bool {
        let silence = now.since(self.heard);
        if silence >= DEAD_AFTER && self.unanswered >= DEAD_UNANSWERED {
            return self.transition(Condition::Dead, now);
        }
        self.condition == Condition::Working
            && now.since(self.proof) >= reuse
            && self.transition(Condition::Unproven, now)
    }

    /// Returns whether new flows may be passed on.
    pub fn takes_work(&self, now: Moment) -> bool {
        self.condition == Condition::Working && now >= self.paused_until
    }

    /// Starts over after a pause of this process, in which it could hear nothing.
    pub fn woke(&mut self, now: Moment) {
        self.unanswered = 0;
        self.heard = self.heard.max(now - DEAD_AFTER);
    }

    fn transition(&mut self, condition: Condition, now: Moment) -> bool {
        if self.condition == condition {
            return false;
        }
        (self.condition, self.since) = (condition, now);
        true
    }
}
