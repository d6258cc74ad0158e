//! Load and service time of a backend server, measured by its agent.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::value::moment::Moment;

/// Service time assumed until one has been measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);
/// Weight of a new sample in the moving average: about the last 20 requests count.
const GAIN: f64 = 0.1;
/// Maximum ratio of a sample to the mean: single long requests say little about
/// the backend server.
const MAX_SAMPLE_RATIO: f64 = 5.0;
/// Weight of the share of slots in use, relative to the service time. It gives
/// preference to the one with more free slots among backend servers that have some.
const UTILISATION_WEIGHT: f64 = 0.3;
/// Time in microseconds over which the number of requests in progress is averaged.
const AVERAGING_PERIOD_US: f64 = 500_000.0;

/// Load of a backend server, as its agent reports it to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress and waiting.
    pub busy: u16,
    /// Moving average of the requests in progress, in hundredths.
    pub mean: u32,
    /// Service time of one request in a free slot, in microseconds.
    pub service_time: u32,
    /// Open flows.
    pub flows: u32,
    /// Number of requests that can be in progress at once.
    pub slots: u16,
    /// Number of requests in progress that the backend server bears at present, which is
    /// at most `slots`.
    pub bound: u16,
    /// Number of flows that it can still accept within its warm-up limit; `u16::MAX` if
    /// there is none.
    pub openings: u16,
}

/// Measures the number of requests in progress and their service time.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    service_time: f64,
    busy: u32,
    mean: f64,
    updated: Moment,
}

impl LoadMeter {
    /// Creates a meter without any measurement.
    pub fn open(now: Moment) -> Self {
        Self {
            service_time: INITIAL_SERVICE_TIME.as_micros() as f64,
            busy: 0,
            mean: 0.0,
            updated: now,
        }
    }

    /// Returns the number of requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the service time of one request in a free slot.
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time as u64)
    }

    /// Records the start of a request.
    pub fn begin(&mut self, now: Moment) {
        self.average(now);
        self.busy += 1;
    }

    /// Records the end of a request without an answer.
    pub fn abandon(&mut self, now: Moment) {
        self.average(now);
        self.busy = self.busy.saturating_sub(1);
    }

    /// Returns the part of `took` that a request which ends now has spent in a slot.
    pub fn in_slot(&self, took: Duration, slots: u32) -> Duration {
        // With more requests than slots, part of the time was spent in a queue.
        let queued = (f64::from(self.busy) / f64::from(slots.max(1))).max(1.0);
        took.div_f64(queued)
    }

    /// Records the answer to a request after `took`.
    pub fn end(&mut self, took: Duration, slots: u32, now: Moment) {
        let sample = self.in_slot(took, slots).as_micros() as f64;
        let sample = sample.min(self.service_time * MAX_SAMPLE_RATIO);
        self.service_time += GAIN * (sample - self.service_time);
        self.abandon(now);
    }

    /// Discards the requests in progress after the backend server has lost them.
    pub fn clear(&mut self, now: Moment) {
        self.average(now);
        self.busy = 0;
        self.mean = 0.0;
    }

    /// Returns the load to report, with `waiting` requests that have not started.
    pub fn load(&mut self, slots: u32, waiting: usize, flows: usize, now: Moment) -> Load {
        self.average(now);
        let busy = self.busy.saturating_add(waiting as u32);
        Load {
            busy: busy.min(u32::from(u16::MAX)) as u16,
            mean: (self.mean * 100.0) as u32,
            service_time: self.service_time as u32,
            flows: flows as u32,
            slots: slots.min(u32::from(u16::MAX)) as u16,
            bound: slots.min(u32::from(u16::MAX)) as u16,
            openings: u16::MAX,
        }
    }

    fn average(&mut self, now: Moment) {
        let share =
            1.0 - (-(now.since(self.updated).as_micros() as f64) / AVERAGING_PERIOD_US).exp();
        self.mean += share * (f64::from(self.busy) - self.mean);
        self.updated = now;
    }
}

impl Load {
    /// Returns the load assumed for a backend server that has not reported any.
    pub fn unknown(slots: u32) -> Self {
        let service_time = INITIAL_SERVICE_TIME.as_micros() as u32;
        let slots = slots.clamp(1, 1 << 12) as u16;
        let openings = u16::MAX;
        Self { busy: 0, mean: 0, service_time, flows: 0, slots, bound: slots, openings }
    }

    /// Returns the expected time in microseconds until one more request completes,
    /// if `pending` others that the load does not include come before it.
    pub fn completion(&self, pending: u32) -> f64 {
        let mean = f64::from(self.mean) / 100.0;
        let ahead = f64::from(self.busy).max((f64::from(self.busy) + mean) / 2.0);
        let slots = self.bound.min(self.slots).max(1);
        let used = (ahead + f64::from(pending) + 1.0) / f64::from(slots);
        f64::from(self.service_time) * (used.max(1.0) + UTILISATION_WEIGHT * used)
    }
}
