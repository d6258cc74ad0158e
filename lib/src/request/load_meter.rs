//! How fast a backend server works, measured by its agent.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::value::moment::Moment;

/// Time that one request is taken to need before any was measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);
/// Weight of a new sample: about 20 requests decide.
const GAIN: f64 = 0.1;
/// Longest sample, relative to the mean: single long requests say little of
/// the backend server.
const MAX_SAMPLE_RATIO: f64 = 5.0;
/// Preference for a backend server with more free slots, where both have some:
/// as a share of the time that one request needs.
const UTILISATION_WEIGHT: f64 = 0.3;
/// Time in microseconds over which the number of requests in progress is averaged.
const AVERAGING_PERIOD_US: f64 = 500_000.0;

/// What a backend server has to do, as its agent tells it to others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress and waiting.
    pub busy: u16,
    /// Requests in progress on average, in hundredths.
    pub mean: u32,
    /// Time that one request needs in a free slot, in microseconds.
    pub service_time: u32,
    /// Open flows.
    pub flows: u32,
    /// Pieces of work done at once.
    pub slots: u16,
}

/// Measures requests in progress and the time that each takes.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    service_time: f64,
    busy: u32,
    mean: f64,
    updated: Moment,
}

impl LoadMeter {
    /// Opens without any measurement.
    pub fn open(now: Moment) -> Self {
        Self {
            service_time: INITIAL_SERVICE_TIME.as_micros() as f64,
            busy: 0,
            mean: 0.0,
            updated: now,
        }
    }

    /// Returns the requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the time that one request needs in a free slot.
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time as u64)
    }

    /// Takes in that a request began.
    pub fn begin(&mut self, now: Moment) {
        self.average(now);
        self.busy += 1;
    }

    /// Takes in that a request ended without an answer.
    pub fn abandon(&mut self, now: Moment) {
        self.average(now);
        self.busy = self.busy.saturating_sub(1);
    }

    /// Takes in that a request was answered after `took`.
    pub fn end(&mut self, took: Duration, slots: u32, now: Moment) {
        // With more requests than slots, part of the time was spent in a queue.
        let queued = (f64::from(self.busy) / f64::from(slots.max(1))).max(1.0);
        let sample = (took.as_micros() as f64 / queued).min(self.service_time * MAX_SAMPLE_RATIO);
        self.service_time += GAIN * (sample - self.service_time);
        self.abandon(now);
    }

    /// Forgets what was in progress, as the backend server has.
    pub fn clear(&mut self, now: Moment) {
        self.average(now);
        self.busy = 0;
        self.mean = 0.0;
    }

    /// Returns what others are told, with `waiting` requests that have not begun.
    pub fn load(&mut self, slots: u32, waiting: usize, flows: usize, now: Moment) -> Load {
        self.average(now);
        let busy = self.busy.saturating_add(waiting as u32);
        Load {
            busy: busy.min(u32::from(u16::MAX)) as u16,
            mean: (self.mean * 100.0) as u32,
            service_time: self.service_time as u32,
            flows: flows as u32,
            slots: slots.min(u32::from(u16::MAX)) as u16,
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
    /// Returns the load of a backend server that nothing was heard from.
    pub fn unknown(slots: u32) -> Self {
        let service_time = INITIAL_SERVICE_TIME.as_micros() as u32;
        Self { busy: 0, mean: 0, service_time, flows: 0, slots: slots.clamp(1, 1 << 12) as u16 }
    }

    /// Returns the time in microseconds until one more request would be done,
    /// if `pending` others come before it.
    pub fn completion(&self, pending: u32) -> f64 {
        let mean = f64::from(self.mean) / 100.0;
        let ahead = f64::from(self.busy).max((f64::from(self.busy) + mean) / 2.0);
        let used = (ahead + f64::from(pending) + 1.0) / f64::from(self.slots.max(1));
        f64::from(self.service_time) * (used.max(1.0) + UTILISATION_WEIGHT * used)
    }
}
