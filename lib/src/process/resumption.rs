//! Stalls of this process, after which what it knows may be older than it seems.

use std::time::Duration;

use crate::value::moment::Moment;

/// Longest regular time between two events of a process. In what exceeds it, the process
/// did not run.
pub const RUN_INTERVAL: Duration = Duration::from_millis(100);
/// Stall after which what the process knows has to be confirmed. A shorter one, with the 3 s
/// within which changes are read, stays below the 5 s of an evacuation.
const STALL: Duration = Duration::from_millis(1_500);
/// Time for which a confirmation is awaited. If none comes, the source is unavailable, and
/// what is known applies as in every process without the source.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Tells whether knowledge was confirmed since the process last stalled. Packets that
/// arrived during a stall are handled before the source is read again.
#[derive(Clone, Copy, Debug)]
pub struct Resumption {
    ran_at: Moment,
    resumed_at: Option<Moment>,
}

impl Resumption {
    /// Opens at the start of the process.
    pub fn open(now: Moment) -> Self {
        Self { ran_at: now, resumed_at: None }
    }

    /// Records that the process runs; returns the time for which it did not run.
    pub fn record_run(&mut self, now: Moment) -> Duration {
        let gap = now.since(self.ran_at);
        if gap >= STALL {
            self.resumed_at = Some(now);
        }
        self.ran_at = self.ran_at.max(now);
        gap.saturating_sub(RUN_INTERVAL)
    }

    /// Returns whether what the source answered at `read_at` still has to be confirmed.
    pub fn is_doubtful(&self, read_at: Moment, now: Moment) -> bool {
        self.resumed_at.is_some_and(|at| read_at < at && now.since(at) < CONFIRM_TIMEOUT)
    }
}
