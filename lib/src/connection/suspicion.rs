//! An entry's suspicion that the agent of a backend server has failed.

use std::time::Duration;

use crate::value::moment::Moment;

/// Time that a packet may stay unanswered before its agent is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// Time between two packets that probe a suspected agent.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The first unanswered packet to one agent, and the last probe of it.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    unanswered: Option<Moment>,
    probed: Option<Moment>,
}

impl Suspicion {
    /// Records a packet that was sent to the agent.
    pub fn sent(&mut self, now: Moment) {
        self.unanswered.get_or_insert(now);
    }

    /// Records a message from the agent, which clears the suspicion.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the agent is suspected; returns false for one packet per
    /// [`PROBE_INTERVAL`], which probes it.
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
