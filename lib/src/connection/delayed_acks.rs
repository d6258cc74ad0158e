//! Credit that an agent owes to entries whose packets it has taken.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::message::Via;
use crate::value::moment::Moment;

/// Time that an answer is waited for before credit is sent on its own.
const ACK_DELAY: Duration = Duration::from_millis(100);
/// Entries remembered at most.
const MAX_PENDING: usize = 4_096;

/// Entries that have had no answer since their last packet.
#[derive(Clone, Debug, Default)]
pub struct DelayedAcks {
    unanswered: HashMap<Via, Moment>,
}

impl DelayedAcks {
    /// Takes note of an entry's packet.
    pub fn received(&mut self, via: &Via, now: Moment) {
        if self.unanswered.len() < MAX_PENDING && !self.unanswered.contains_key(via) {
            self.unanswered.insert(via.clone(), now);
        }
    }

    /// Takes note of an answer sent through an entry, which is credit enough.
    pub fn answered(&mut self, via: &Via) {
        self.unanswered.remove(via);
    }

    /// Returns the entries to send credit to now.
    pub fn due(&mut self, now: Moment) -> Vec<Via> {
        let late = |t: &Moment| now.since(*t) >= ACK_DELAY;
        let due: Vec<_> =
            self.unanswered.iter().filter(|(_, t)| late(t)).map(|(v, _)| v.clone()).collect();
        for via in &due {
            self.unanswered.remove(via);
        }
        due
    }
}
