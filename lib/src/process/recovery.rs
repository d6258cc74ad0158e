//! Repetition of the questions that a started or changed agent asks its peers.

use std::collections::BTreeSet;
use std::time::Duration;

use super::moment::Moment;
use super::name::Name;

/// Time after which a silent peer is asked again at first.
const FIRST_AGAIN: Duration = Duration::from_millis(300);
/// Longest time between two questions.
const LAST_AGAIN: Duration = Duration::from_secs(5);

/// When the peers that still owe an answer are asked again.
#[derive(Clone, Debug)]
pub struct Recovery {
    due: Moment,
    again: Duration,
}

impl Recovery {
    /// Opens with a first round that is due at once.
    pub fn open(now: Moment) -> Self {
        Self { due: now, again: FIRST_AGAIN }
    }

    /// Returns the peers of `owing` to ask now.
    pub fn due(&mut self, owing: BTreeSet<Name>, now: Moment) -> BTreeSet<Name> {
        if now < self.due || owing.is_empty() {
            return BTreeSet::new();
        }
        self.due = now + self.again;
        self.again = (self.again * 2).min(LAST_AGAIN);
        owing
    }

    /// Returns whether rounds were sent already.
    pub fn is_retry(&self) -> bool {
        self.again > FIRST_AGAIN
    }
}
