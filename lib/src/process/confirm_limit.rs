//! Limit on reads of the source that searches ask for.

use std::time::Duration;

use crate::value::moment::Moment;

/// Shortest time between two reads of one process.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reads per backend server of the fleet, so that all agents together read
/// 500 times a second at most.
const MEMBER_INTERVAL: Duration = Duration::from_millis(2);

/// Limits how often a process reads the source beyond what keeps its knowledge current.
///
/// Load that it answers: after a loss of many VMs every home has flows that can be taken for
/// gone only by what is registered now, and the source bears some thousand reads a second.
#[derive(Debug, Default)]
pub struct ConfirmLimit {
    wanted: bool,
    next: Moment,
}

impl ConfirmLimit {
    /// Asks for a read.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// Returns whether a read that was asked for is allowed now in a fleet of `members` backend
    /// servers; it counts as done then.
    pub fn take(&mut self, members: usize, now: Moment) -> bool {
        let allowed = self.wanted && now >= self.next;
        if allowed {
            self.wanted = false;
            self.next = now + MIN_INTERVAL.max(MEMBER_INTERVAL * members as u32);
        }
        allowed
    }
}
