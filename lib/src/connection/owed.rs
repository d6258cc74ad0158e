//! Credit that an agent owes to entries whose packets it has taken.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::message::Via;
use crate::value::moment::Moment;

/// Time that an answer is waited for before credit is sent on its own.
const DELAY: Duration = Duration::from_millis(100);
/// Entries remembered at most.
const MAX_OWED: usize = 4_096;

/// Entries that have had no answer since their last packet.
#[derive(Clone, Debug, Default)]
pub struct Owed {
    since: HashMap<Via, Moment>,
}

impl Owed {
    /// Takes note of an entry's packet.
    pub fn taken(&mut self, via: &Via, now: Moment) {
        if self.since.len() < MAX_OWED && !self.since.contains_key(via) {
            self.since.insert(via.clone(), now);
        }
    }

    /// Takes note of an answer sent through an entry, which is credit enough.
    pub fn paid(&mut self, via: &Via) {
        self.since.remove(via);
    }

    /// Returns the entries to send credit to now.
    pub fn due(&mut self, now: Moment) -> Vec<Via> {
        let late = |t: &Moment| now.since(*t) >= DELAY;
        let due: Vec<_> =
            self.since.iter().filter(|(_, t)| late(t)).map(|(v, _)| v.clone()).collect();
        for via in &due {
            self.since.remove(via);
        }
        due
    }
}
