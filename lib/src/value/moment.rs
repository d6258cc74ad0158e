//! Points in time for decisions, which read no clock themselves.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in microseconds since an epoch that the caller chooses.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the moment `ms` milliseconds after the epoch.
    pub fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(d.as_micros() as u64))
    }
}
