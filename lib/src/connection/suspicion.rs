//! An entry's suspicion that a backend server's agent does not answer.

use std::time::Duration;

use crate::value::moment::Moment;

/// Time that a packet may stay without credit before its agent is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// Time after which a suspected agent is tried again.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Packets sent to one agent against the credit that came back.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    unanswered: Option<Moment>,
    probed: Option<Moment>,
}

impl Suspicion {
    /// Counts a packet that was sent.
    pub fn sent(&mut self, now: Moment) {
        self.unanswered.get_or_insert(now);
    }

    /// Counts credit that came back; it clears the suspicion.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the agent is suspected, except for one probe a while.
    pub fn suspected(&mut self, now: Moment) -> bool {
        if self.unanswered.is_none_or(|t| now.since(t) < SUSPECT_AFTER) {
            return false;
        }
        if self.probed.is_none_or(|t| now.since(t) >= PROBE_INTERVAL) {
            self.probed = Some(now);
            return false;
        }
        true
    }
}
