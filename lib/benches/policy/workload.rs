//! Requests that callers send to a service, generated from a seed.

use std::time::Duration;

use lagoonhollow_testutils::world::LONG_FACTOR;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Service time of short work at speed 1, in seconds.
pub const UNIT: f64 = 0.04;
/// Time within which an answer to short work is of use, in seconds.
pub const DEADLINE: f64 = 1.0;
/// Time within which an answer to long work is of use, in seconds.
pub const LONG_DEADLINE: f64 = 30.0;
/// One piece of work in this many is long.
const LONG_ONE_IN: u32 = 50;
/// Number of callers.
pub const CALLERS: u16 = 400;
/// Load of the steady workload, as a share of all slots.
const STEADY: f64 = 0.5;
/// Load before and after the peak.
const BASE: f64 = 0.15;
/// Load at the peak, ten times as much.
const PEAK: f64 = 1.5;
/// Times in seconds: the load rises for two seconds and stays at its peak for
/// eight.
const PEAK_START: f64 = 5.0;
const PEAK_FULL: f64 = 7.0;
const PEAK_END: f64 = 15.0;
const END: f64 = 20.0;

/// One service with the speeds of its backend servers.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub speeds: Vec<f64>,
    pub slots: u32,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Seconds after the start.
    pub at: f64,
    pub caller: u16,
    pub long: bool,
}

/// All requests to one service.
#[derive(Clone, Debug)]
pub struct Workload {
    pub deployment: Deployment,
    pub seed: u64,
    pub arrivals: Vec<Arrival>,
    /// Whether one backend server is cold until the peak, one drains and one joins.
    pub changes: bool,
    /// Start and end, in seconds, of the requests that are measured.
    pub window: (f64, f64),
}

impl Deployment {
    /// Returns the services of both users; within a service, speeds differ
    /// by up to four times.
    pub fn all() -> Vec<Self> {
        let seven = vec![1.0, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0];
        let four = vec![1.0, 2.0, 3.0, 4.0];
        let three = vec![1.0, 2.0, 4.0];
        vec![
            Self { name: "alarm watch, 7 x 4 slots", speeds: seven.clone(), slots: 4 },
            Self { name: "firmware, 4 x 4 slots", speeds: four, slots: 4 },
            Self { name: "pricing, 7 x 3 slots", speeds: seven, slots: 3 },
            Self { name: "label sheets, 3 x 3 slots", speeds: three, slots: 3 },
        ]
    }

    /// Returns the work that all slots do in a second, in seconds at speed 1.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }
}

impl Workload {
    /// Returns a workload whose load rises to ten times within two seconds, and
    /// drops back.
    pub fn peak(deployment: &Deployment, seed: u64) -> Self {
        let rate = |t: f64| {
            let rise = ((t - PEAK_START) / (PEAK_FULL - PEAK_START)).clamp(0.0, 1.0);
            if t < PEAK_END { BASE + (PEAK - BASE) * rise } else { BASE }
        };
        let arrivals = arrivals(deployment, seed, END, &rate);
        let (deployment, window) = (deployment.clone(), (PEAK_START, PEAK_END));
        Self { deployment, seed, arrivals, changes: true, window }
    }

    /// Returns a workload of steady load, with long work or only the short work of
    /// it.
    pub fn steady(deployment: &Deployment, seed: u64, long: bool) -> Self {
        let mut arrivals = arrivals(deployment, seed, END, &|_| STEADY);
        arrivals.retain(|a| long || !a.long);
        let (deployment, window) = (deployment.clone(), (2.0, END));
        Self { deployment, seed, arrivals, changes: false, window }
    }

    /// Returns the share of the window's short work that the slots could do at
    /// best, if they did nothing else.
    pub fn ceiling(&self) -> f64 {
        let (start, end) = self.window;
        let time = end - start + DEADLINE;
        let short = self.arrivals.iter().filter(|a| !a.long && self.counts(a)).count();
        (self.deployment.capacity() * time / (short as f64 * UNIT)).min(1.0)
    }

    /// Returns whether a request is measured.
    pub fn counts(&self, arrival: &Arrival) -> bool {
        (self.window.0..self.window.1).contains(&arrival.at)
    }

    /// Returns the speed of a backend server at a time; one is cold until the peak.
    pub fn speed(&self, index: usize, at: f64) -> f64 {
        let cold = self.changes && index == 2 && at < PEAK_FULL;
        self.deployment.speeds[index] / if cold { 4.0 } else { 1.0 }
    }

    /// Returns the time at which the cold backend server is warm.
    pub fn warm_at(&self) -> Duration {
        Duration::from_secs_f64(PEAK_FULL)
    }
}

fn arrivals(
    deployment: &Deployment,
    seed: u64,
    end: f64,
    load: &dyn Fn(f64) -> f64,
) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mean_work = UNIT * (1.0 + f64::from(LONG_FACTOR - 1) / f64::from(LONG_ONE_IN));
    let full = deployment.capacity() / mean_work;
    let mut all = Vec::new();
    let mut at = 0.0;
    while at < end {
        let gap = -(1.0 - rng.random::<f64>()).ln() / (full * PEAK);
        at += gap;
        // Thinning turns the stream of constant rate into one of the wanted rate.
        let kept = rng.random::<f64>() < load(at) / PEAK;
        let caller = rng.random_range(0..CALLERS);
        let long = rng.random_range(0..LONG_ONE_IN) == 0;
        if kept && at < end {
            all.push(Arrival { at, caller, long });
        }
    }
    all
}
