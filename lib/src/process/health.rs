//! Health of a backend server, as its agent reports it to peers.

use serde::Deserialize;
use serde::Serialize;

/// The state of a backend server as its own agent measures it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// Whether the backend server is leaving and takes no new work.
    pub leaving: bool,
    /// Whether the backend server is still warming up after its start, and slow.
    pub cold: bool,
    /// Whether the backend server currently refuses work or misses deadlines.
    pub shedding: bool,
    /// Expected time until work queued now would start, in microseconds.
    pub backlog: u32,
    /// Typical service time of one unit of short work, in microseconds.
    pub service_time: u32,
}

impl Health {
    /// Returns whether new work may be placed here.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.shedding
    }

    /// Returns the expected completion time of short work queued now, in microseconds.
    pub fn completion(&self) -> u64 {
        let warmup = if self.cold { 4 } else { 1 };
        u64::from(self.backlog) + u64::from(self.service_time) * warmup
    }
}

impl Default for Health {
    fn default() -> Self {
        Self { leaving: false, cold: false, shedding: false, backlog: 0, service_time: 1_000 }
    }
}
