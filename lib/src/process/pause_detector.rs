//! Detection of pauses of this process.

use std::time::Duration;

use crate::value::moment::Moment;

/// Time without a sign of running after which a process counts as paused.
const PAUSE: Duration = Duration::from_secs(1);

/// Counts how often the process woke up from a pause.
///
/// What waited in its sockets meanwhile can't be told from what is new, so an
/// entry drops it instead of stamping it as just taken.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last: Moment,
    count: u64,
}

impl PauseDetector {
    /// Opens at the start of the process.
    pub fn open(now: Moment) -> Self {
        Self { last: now, count: 0 }
    }

    /// Takes a sign of running; returns the number of pauses so far.
    pub fn record_tick(&mut self, now: Moment) -> u64 {
        if now.since(self.last) >= PAUSE {
            self.count += 1;
        }
        self.last = now;
        self.count
    }
}
