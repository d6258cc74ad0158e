//! How long requests, grants and answers count.
//!
//! A caller repeats a request for one lifetime. A process that was paused may
//! handle a transmission late, so each carries the time at which an entry took
//! it: one older than a lifetime is dropped, and memory lasts for two. Then no
//! transmission is handled after its request was forgotten, whoever was paused.

use std::time::Duration;

use crate::value::moment::Moment;

/// Difference between the clocks of two VMs at most.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// The times that follow from a service's request lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    lifetime: Duration,
}

impl Freshness {
    /// Opens for a request lifetime.
    pub fn open(lifetime: Duration) -> Self {
        Self { lifetime }
    }

    /// Returns whether a transmission taken at `seen` may still be handled.
    pub fn is_fresh(&self, seen: Moment, now: Moment) -> bool {
        now.since(seen) <= self.lifetime && seen <= now + MAX_CLOCK_SKEW
    }

    /// Returns how long grants, answers and memberships are kept.
    pub fn retention(&self) -> Duration {
        self.lifetime * 2 + MAX_CLOCK_SKEW * 2
    }

    /// Returns whether a request taken at `seen` can't have been sent first
    /// before `start`.
    pub fn began_after(&self, start: Moment, seen: Moment) -> bool {
        seen > start + self.lifetime + MAX_CLOCK_SKEW
    }
}
