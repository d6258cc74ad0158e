//! What callers got in a replay.

use std::time::Duration;

/// What the callers of one class got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub in_time: usize,
    pub late: usize,
    pub lost: usize,
    pub latencies: Vec<Duration>,
}

impl Outcome {
    pub fn total(&self) -> usize {
        self.in_time + self.late + self.lost
    }

    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.total().max(1) as f64
    }

    pub fn percentile(&mut self, share: f64) -> Duration {
        self.latencies.sort();
        let at = (self.latencies.len() as f64 * share) as usize;
        self.latencies.get(at).copied().unwrap_or_default()
    }

    pub fn add(&mut self, other: Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.lost += other.lost;
        self.latencies.extend(other.latencies);
    }
}
