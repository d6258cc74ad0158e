//! Number of requests that a backend server bears after a start or a failure.
//!
//! The load that it answers: a backend server starts or recovers at the peak, its report
//! looks idle, and more than 40 homes send it their flows within a second while it is
//! slow. The bound starts at one request, grows steadily and halves when answers are bad.
//! It limits only what is accepted: requests that are here already use any free slot.

use std::time::Duration;

use crate::value::moment::Moment;

/// Bound after a start or a failure.
const FIRST_BOUND: f64 = 1.0;
/// Time in seconds in which the bound grows by all slots. It grows without answers too, as
/// a backend server without work would else stay behind those that have some.
const GROWTH_TIME: f64 = 1.2;
/// Ratio of a request's work to the usual work of its route from which on the answer is
/// bad. A cold backend server needs 1.6 times as long, and a request up to 1.5 times the
/// mean of its route.
const BAD_RATIO: f64 = 2.5;
/// Consecutive bad answers that count, since 3% of the requests take 7 times as long.
const BAD_RUN: u32 = 3;
/// Factor of the bound after bad answers, a refusal or silence.
const BACKOFF: f64 = 0.5;

/// The bound of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    // The bound at `since`.
    base: f64,
    since: Moment,
    bad: u32,
}

impl Pace {
    /// Opens without a bound.
    pub fn open() -> Self {
        Self { base: f64::INFINITY, since: Moment::default(), bad: 0 }
    }

    /// Starts over with the first bound, after a start or the loss of all requests.
    pub fn restart(&mut self, now: Moment) {
        *self = Self { base: FIRST_BOUND, since: now, bad: 0 };
    }

    /// Returns how many of `slots` slots the backend server bears.
    pub fn bound(&self, slots: u32, now: Moment) -> u32 {
        let slots = f64::from(slots.max(1));
        let grown = self.base + slots * now.since(self.since).as_secs_f64() / GROWTH_TIME;
        grown.clamp(FIRST_BOUND, slots) as u32
    }

    /// Records an answer after `work` in a slot, of a route that usually needs `usual`.
    pub fn answered(&mut self, work: Duration, usual: Duration, slots: u32, now: Moment) {
        self.bad = if work > usual.mul_f64(BAD_RATIO) { self.bad + 1 } else { 0 };
        if self.bad >= BAD_RUN {
            self.lost(slots, now);
        }
    }

    /// Records that the backend server refused a flow or did not answer in time.
    pub fn lost(&mut self, slots: u32, now: Moment) {
        let base = f64::from(self.bound(slots, now)) * BACKOFF;
        *self = Self { base: base.max(FIRST_BOUND), since: now, bad: 0 };
    }
}
