//! Measured service times of requests per path.

use std::collections::HashMap;
use std::time::Duration;

use crate::value::name::Name;

/// Weight of a new sample in the moving average.
const GAIN: f64 = 0.1;
/// Service time assumed until one has been measured.
const INITIAL_COST: Duration = Duration::from_millis(10);
/// Maximum number of paths with their own mean; the median is assumed for others.
const MAX_PATHS: usize = 1_024;
/// A path is long if its mean exceeds the median by more than this factor.
const LONG_FACTOR: u32 = 8;

/// Measured mean service time of each path on one backend server.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    paths: HashMap<Name, Cost>,
    typical: Option<Duration>,
    // The path under which all requests are counted, if paths are ignored.
    #[cfg(feature = "variants")]
    single: Option<Name>,
}

#[derive(Clone, Debug)]
struct Cost {
    /// Moving average in microseconds.
    mean: f64,
    /// Number of samples.
    count: f64,
}

impl Costs {
    /// Counts all requests under one path from now on.
    #[cfg(feature = "variants")]
    pub fn ignore_paths(&mut self) {
        self.single = Some("any".into());
    }

    /// Returns the path under which a request for `path` is counted.
    fn counted<'a>(&'a self, path: &'a Name) -> &'a Name {
        #[cfg(feature = "variants")]
        return self.single.as_ref().unwrap_or(path);
        #[cfg(not(feature = "variants"))]
        return path;
    }

    /// Returns the expected service time of a request for `path`.
    pub fn expected(&self, path: &Name) -> Duration {
        let path = self.counted(path);
        let cost = self.paths.get(path).map(|c| Duration::from_micros(c.mean as u64));
        cost.unwrap_or(self.typical())
    }

    /// Returns the median service time of a request.
    pub fn typical(&self) -> Duration {
        self.typical.unwrap_or(INITIAL_COST)
    }

    /// Returns whether a request for `path` holds its slot so long that short
    /// requests would have to wait for it.
    pub fn is_long(&self, path: &Name) -> bool {
        self.paths.contains_key(self.counted(path))
            && self.expected(path) > self.typical() * LONG_FACTOR
    }

    /// Records a measured service time.
    pub fn learn(&mut self, path: &Name, time: Duration) {
        let path = &self.counted(path).clone();
        let sample = time.as_micros() as f64;
        let room = self.paths.len() < MAX_PATHS;
        match self.paths.get_mut(path) {
            Some(cost) => {
                // The first samples are averaged with equal weights.
                let gain = GAIN.max(1.0 / (cost.count + 1.0));
                cost.mean += gain * (sample - cost.mean);
                cost.count = (cost.count + 1.0).min(1e6);
            }
            None if room => {
                self.paths.insert(path.clone(), Cost { mean: sample, count: 1.0 });
            }
            None => {}
        }
        self.typical = self.median();
    }

    fn median(&self) -> Option<Duration> {
        let mut costs: Vec<_> = self.paths.values().collect();
        costs.sort_by(|a, b| a.mean.total_cmp(&b.mean));
        let half = costs.iter().map(|c| c.count).sum::<f64>() / 2.0;
        let mut seen = 0.0;
        let middle = costs.iter().find(|c| {
            seen += c.count;
            seen >= half
        });
        middle.map(|c| Duration::from_micros(c.mean as u64))
    }
}
