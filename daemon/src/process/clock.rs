//! The clock that supplies the time for decisions.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::wall_time::WallTime;

/// Unix time at the start, advanced by a monotonic clock, so that it never jumps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Moment,
    start: Instant,
}

impl Clock {
    /// Opens a clock that is set to the current Unix time.
    pub fn open() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base: Moment(unix.as_micros() as u64), start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        self.base + self.start.elapsed()
    }

    /// Returns when this clock was opened, which is the start of the process.
    pub fn started(&self) -> (WallTime, Moment) {
        (WallTime(self.base.0 / 1_000), self.base)
    }

    /// Returns what the clock of the VM shows now. It may step.
    pub fn wall(&self) -> WallTime {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(unix.as_millis() as u64)
    }

    /// Returns the incarnation of a process that opened this clock when it started.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.base.0)
    }
}
