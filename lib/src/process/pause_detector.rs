//! Detection of pauses of this process.

use std::time::Duration;

use crate::value::moment::Moment;

/// Gap between two ticks after which the process counts as paused.
const PAUSE: Duration = Duration::from_secs(1);

/// Counts the pauses of the process.
///
/// Packets that queued in its sockets meanwhile can't be told from new ones, so an
/// entry drops them instead of marking them as just received.
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

    /// Records that the process runs; returns the number of pauses so far.
    pub fn record_tick(&mut self, now: Moment) -> u64 {
        if now.since(self.last) >= PAUSE {
            self.count += 1;
        }
        self.last = now;
        self.count
    }
}
