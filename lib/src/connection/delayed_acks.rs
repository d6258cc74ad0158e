//! Delayed acknowledgements of the packets that entries forward to an agent.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::message::Via;
use crate::value::moment::Moment;

/// Time that an agent waits for an answer, which acknowledges a packet too,
/// before it sends a separate acknowledgement.
const ACK_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of entries with unanswered packets.
const MAX_PENDING: usize = 4_096;

/// Entries with unanswered packets, and the time of the first of these.
#[derive(Clone, Debug, Default)]
pub struct DelayedAcks {
    unanswered: HashMap<Via, Moment>,
}

impl DelayedAcks {
    /// Records a packet that came through an entry.
    pub fn received(&mut self, via: &Via, now: Moment) {
        if self.unanswered.len() < MAX_PENDING && !self.unanswered.contains_key(via) {
            self.unanswered.insert(via.clone(), now);
        }
    }

    /// Records an answer sent through an entry, which needs no separate
    /// acknowledgement.
    pub fn answered(&mut self, via: &Via) {
        self.unanswered.remove(via);
    }

    /// Takes out the entries to which an acknowledgement is due.
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
