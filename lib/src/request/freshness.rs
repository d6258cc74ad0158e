//! How long requests, grants and answers are valid.
//!
//! A caller retransmits a request for one lifetime. A process that was paused may
//! handle a transmission late, so each carries the time at which an entry received
//! it. A transmission older than one lifetime is dropped, and state is retained for
//! two. Therefore no transmission is handled after the state of its request was
//! removed, whichever process was paused.

use std::time::Duration;

use crate::value::moment::Moment;

/// Maximum difference between the clocks of two VMs.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Validity and retention periods that follow from a service's request lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    lifetime: Duration,
}

impl Freshness {
    /// Creates the periods for a request lifetime.
    pub fn open(lifetime: Duration) -> Self {
        Self { lifetime }
    }

    /// Returns whether a transmission that an entry received at `seen` may still be
    /// handled.
    pub fn is_fresh(&self, seen: Moment, now: Moment) -> bool {
        now.since(seen) <= self.lifetime && seen <= now + MAX_CLOCK_SKEW
    }

    /// Returns how long grants, answers and memberships are kept.
    pub fn retention(&self) -> Duration {
        self.lifetime * 2 + MAX_CLOCK_SKEW * 2
    }

    /// Returns whether a request that an entry received at `seen` was certainly
    /// sent for the first time after `start`.
    pub fn began_after(&self, start: Moment, seen: Moment) -> bool {
        seen > start + self.lifetime + MAX_CLOCK_SKEW
    }
}
