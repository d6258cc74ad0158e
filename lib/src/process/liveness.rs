//! Failure detection for the backend server beside an agent, from its packets.

use std::time::Duration;

use derive_more::Display;

use crate::value::moment::Moment;

/// Consecutive unanswered opening packets after which forwarding pauses.
const MAX_UNANSWERED: u32 = 2;
/// Time for which no flow is forwarded then, before one is tried again.
const PAUSE: Duration = Duration::from_millis(500);
/// Silence, with packets unanswered, after which the backend server is presumed
/// dead. It answers opening packets in less than a millisecond, also while its work
/// is slow.
pub const DEAD_AFTER: Duration = Duration::from_millis(700);
/// Consecutive packets that a dead backend server must have left unanswered.
const DEAD_UNANSWERED: u32 = 3;

/// Time after which keep-alive probes close the connection to a silent backend
/// server. Until then, an open connection proves nothing.
pub const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first keep-alive probe, and interval between two probes.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which the connection to a backend server that ended silently, as with
/// its VM, still seems to be open.
pub const SILENT_END_TIMEOUT: Duration = KEEP_ALIVE_INTERVAL.saturating_add(KEEP_ALIVE_TIMEOUT);

/// Presumed condition of a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Condition {
    /// The run that registered itself works.
    Working,
    /// It was silent for so long that another one may have its address by now.
    Unproven,
    /// It is gone, and its flows are lost.
    Dead,
}

/// State of the idle connection to a backend server, which ends with its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It is open; reported when it is opened, and regularly as long as it is.
    Open,
    /// It is not open, for an unknown reason.
    Closed,
    /// The address refuses it, so no process listens there.
    Refused,
}

/// Failure detector for one run of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    condition: Condition,
    since: Moment,
    heard: Moment,
    // Last time at which the registered run certainly worked.
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

    /// Returns the presumed condition.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Returns since when the backend server has been suspected, if it is.
    pub fn suspect_since(&self) -> Option<Moment> {
        (self.condition != Condition::Working).then_some(self.since)
    }

    /// Records a packet that any run may have sent. It does not clear a suspicion,
    /// as another run may use the address by now.
    pub fn heard(&mut self, now: Moment) {
        if self.condition == Condition::Working {
            *self = Self::open(now);
        }
    }

    /// Records that the connection to the backend server is open.
    pub fn connected(&mut self, now: Moment) {
        self.proof = self.proof.max(now - KEEP_ALIVE_TIMEOUT);
    }

    /// Records proof that the registered run still works.
    pub fn proven(&mut self, now: Moment) {
        *self = Self::open(now);
    }

    /// Records an overdue opening packet; returns whether forwarding is paused by
    /// that.
    pub fn missed(&mut self, now: Moment) -> bool {
        self.unanswered += 1;
        let pauses = self.unanswered >= MAX_UNANSWERED;
        if pauses {
            self.paused_until = now + PAUSE;
        }
        pauses
    }

    /// Records that the backend server's address refuses packets; returns whether
    /// the condition changed.
    pub fn refused(&mut self, now: Moment) -> bool {
        self.transition(Condition::Dead, now)
    }

    /// Updates the condition by the time since the last packet and proof; returns
    /// whether it changed. An address may be used again `reuse` after its holder is
    /// gone.
    pub fn tick(&mut self, reuse: Duration, now: Moment) -> bool {
        let silence = now.since(self.heard);
        if silence >= DEAD_AFTER && self.unanswered >= DEAD_UNANSWERED {
            return self.transition(Condition::Dead, now);
        }
        self.condition == Condition::Working
            && now.since(self.proof) >= reuse
            && self.transition(Condition::Unproven, now)
    }

    /// Returns whether new flows may be forwarded.
    pub fn takes_work(&self, now: Moment) -> bool {
        self.condition == Condition::Working && now >= self.paused_until
    }

    /// Leaves out of the silence a time in which this process could not receive.
    pub fn stalled(&mut self, time: Duration, now: Moment) {
        self.heard = now.min(self.heard + time);
    }

    /// Starts over after a pause of this process, in which it could not receive.
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
