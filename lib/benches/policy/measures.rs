//! Measures of a policy.

use hdrhistogram::Histogram;

use crate::workload::Arrival;
use crate::workload::DEADLINE;
use crate::workload::LONG_DEADLINE;
use crate::workload::Workload;

/// Measures of one run, or their means.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Share of the short requests answered within their deadline.
    pub in_time: f64,
    /// Share of the long requests answered within theirs.
    pub long_done: f64,
    /// Greatest work per unit of speed of any backend server, divided by the mean.
    pub imbalance: f64,
    /// 99th percentile of the time that short requests took, in seconds.
    pub p99: f64,
    /// 99th percentile beside long work, divided by that without long work.
    pub p99_ratio: f64,
    /// Channels that planned changes broke.
    pub broken: u64,
}

impl Measures {
    /// Computes the measures of a run from each arrival, with the seconds until it
    /// was done, and the work of each backend server per unit of speed.
    pub fn open(workload: &Workload, done: &[(Arrival, Option<f64>)], loads: &[f64]) -> Self {
        let counted = || done.iter().filter(|(a, _)| workload.counts(a));
        let share = |long: bool, deadline: f64| {
            let all = counted().filter(|(a, _)| a.long == long).count();
            let right =
                counted().filter(|(a, d)| a.long == long && d.is_some_and(|t| t <= deadline));
            right.count() as f64 / all.max(1) as f64
        };
        let mut times =
            Histogram::<u64>::new_with_bounds(1, 100_000_000, 3).expect("the bounds are valid");
        for (_, time) in counted().filter(|(a, _)| !a.long) {
            times.saturating_record((time.unwrap_or(DEADLINE) * 1e6) as u64);
        }
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        Self {
            in_time: share(false, DEADLINE),
            long_done: share(true, LONG_DEADLINE),
            imbalance: loads.iter().copied().fold(0.0, f64::max) / mean,
            p99: times.value_at_quantile(0.99) as f64 / 1e6,
            p99_ratio: 0.0,
            broken: 0,
        }
    }

    /// Returns the means of several runs, and the sum of their broken flows.
    pub fn mean(all: &[Self]) -> Self {
        let mean = |f: fn(&Self) -> f64| all.iter().map(f).sum::<f64>() / all.len() as f64;
        Self {
            in_time: mean(|m| m.in_time),
            long_done: mean(|m| m.long_done),
            imbalance: mean(|m| m.imbalance),
            p99: mean(|m| m.p99),
            p99_ratio: mean(|m| m.p99_ratio),
            broken: all.iter().map(|m| m.broken).sum(),
        }
    }

    /// Returns the measures as JSON.
    pub fn json(&self, name: &str) -> serde_json::Value {
        serde_json::json!({
            "policy": name,
            "in_time": self.in_time,
            "long_done": self.long_done,
            "imbalance": self.imbalance,
            "p99_seconds": self.p99,
            "p99_ratio": self.p99_ratio,
            "broken_flows": self.broken,
        })
    }
}
