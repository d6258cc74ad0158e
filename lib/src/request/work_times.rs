//! Expected work of the requests of each route at one backend server.
//!
//! The load that it answers: classes whose work differs tenfold share the slots at the
//! peak. With one mean for all, short requests count as late too early and long ones too
//! late.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of a new sample: about the last 20 requests of a route count.
const GAIN: f64 = 0.1;
/// Maximum ratio of a sample to the mean, as single long requests say little.
const MAX_SAMPLE_RATIO: f64 = 5.0;
/// Maximum number of routes with a mean of their own.
const MAX_ROUTES: usize = 1_024;

/// Moving averages of the work, by the route's address.
#[derive(Clone, Debug, Default)]
pub struct WorkTimes {
    // In microseconds.
    routes: HashMap<SocketAddr, f64>,
}

impl WorkTimes {
    /// Returns the mean work of a route, or `default` if none was measured.
    pub fn expected(&self, route: &SocketAddr, default: Duration) -> Duration {
        self.routes.get(route).map_or(default, |us| Duration::from_micros(*us as u64))
    }

    /// Records the work of a request in a free slot.
    pub fn record(&mut self, route: SocketAddr, work: Duration) {
        let sample = work.as_micros() as f64;
        if let Some(mean) = self.routes.get_mut(&route) {
            *mean += GAIN * (sample.min(*mean * MAX_SAMPLE_RATIO) - *mean);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route, sample);
        }
    }

    /// Discards all measurements.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}
