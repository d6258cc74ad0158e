//! Learned cost of work per path.

use std::collections::HashMap;
use std::time::Duration;

use crate::value::name::Name;

/// Weight of a new sample in the running mean.
const GAIN: f64 = 0.1;
/// Cost assumed before anything was measured.
const INITIAL_COST: Duration = Duration::from_millis(10);
/// Paths whose cost is remembered at most; the others share the typical cost.
const MAX_PATHS: usize = 1_024;
/// Work is long if it costs this many times the typical work.
const LONG_FACTOR: u32 = 8;

/// Mean service time of each path on one backend server, as measured.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    paths: HashMap<Name, Cost>,
    typical: Option<Duration>,
    // The one path that all work is taken to be for, if paths do not count.
    #[cfg(feature = "variants")]
    single: Option<Name>,
}

#[derive(Clone, Debug)]
struct Cost {
    mean: f64,
    count: f64,
}

impl Costs {
    /// Takes all work to be for one path from now on.
    #[cfg(feature = "variants")]
    pub fn ignore_paths(&mut self) {
        self.single = Some("any".into());
    }

    /// Returns the path under which work on `path` is counted.
    fn counted<'a>(&'a self, path: &'a Name) -> &'a Name {
        #[cfg(feature = "variants")]
        return self.single.as_ref().unwrap_or(path);
        #[cfg(not(feature = "variants"))]
        return path;
    }

    /// Returns the expected service time of work on `path`.
    pub fn expected(&self, path: &Name) -> Duration {
        let path = self.counted(path);
        let cost = self.paths.get(path).map(|c| Duration::from_micros(c.mean as u64));
        cost.unwrap_or(self.typical())
    }

    /// Returns the service time of the median piece of work.
    pub fn typical(&self) -> Duration {
        self.typical.unwrap_or(INITIAL_COST)
    }

    /// Returns whether work on `path` holds its slot so long that short work
    /// behind it would wait.
    pub fn is_long(&self, path: &Name) -> bool {
        self.paths.contains_key(self.counted(path))
            && self.expected(path) > self.typical() * LONG_FACTOR
    }

    /// Takes in a measured service time.
    pub fn learn(&mut self, path: &Name, time: Duration) {
        let path = &self.counted(path).clone();
        let sample = time.as_micros() as f64;
        let room = self.paths.len() < MAX_PATHS;
        match self.paths.get_mut(path) {
            Some(cost) => {
                // The first samples count as a plain mean.
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
