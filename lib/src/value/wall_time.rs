//! The time of day, as the clock of a VM shows it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::moment::Moment;

/// A time of day, in milliseconds of Unix time. Unlike a [`Moment`] it steps when the clock
/// of its VM is set.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns how many milliseconds this time is ahead of the steady time `now`.
    pub fn ahead_of(self, now: Moment) -> i64 {
        self.0 as i64 - (now.0 / 1_000) as i64
    }

    /// Returns the time of day at `now` of a clock that is `ahead` milliseconds ahead of the
    /// steady time.
    pub fn at(now: Moment, ahead: i64) -> Self {
        Self((now.0 / 1_000).saturating_add_signed(ahead))
    }

    /// Returns the time since `earlier`; none if `earlier` is later.
    pub fn since(self, earlier: Self) -> Option<Duration> {
        self.0.checked_sub(earlier.0).map(Duration::from_millis)
    }
}
