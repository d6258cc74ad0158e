//! The loads of the two customers of docs/design/hard-load.md.

/// One class of requests.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub rate: f64,
    pub work_ms: f64,
    pub target_ms: u64,
    pub timeout_ms: u64,
    pub priority: u8,
    /// Mean number of requests of a flow.
    pub per_flow: f64,
}

/// A customer's service and the load on it.
#[derive(Clone)]
pub struct Load {
    pub servers: usize,
    pub slots: u32,
    /// Factors of the work time, repeated over the backend servers.
    pub factors: &'static [f64],
    pub classes: [Class; 3],
    /// Demand at the wave's peak, as a share of what all slots bear.
    pub peak: f64,
    /// Class, start and length in seconds, and factor of bursts.
    pub bursts: &'static [(usize, f64, f64, f64)],
    pub seconds: f64,
    /// What happens to backend servers and agents meanwhile.
    pub faults: Vec<Fault>,
}

/// A fault of the agents or backend servers that `hits` selects, from `at` to `until` seconds.
#[derive(Clone)]
pub struct Fault {
    pub kind: FaultKind,
    pub hits: fn(usize) -> bool,
    pub at: f64,
    pub until: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The backend server has not started.
    Absent,
    /// The backend server returns opening packets.
    Refuses,
    /// The agent loses what it knows of the backend server's condition.
    Restarts,
    /// Reports don't reach the homes.
    Cut,
    /// The agent does nothing.
    Stalled,
    /// The backend server needs this many times its normal work time.
    Slow(f64),
}

/// Mean number of requests of a long flow.
const LONG: f64 = 20.0;

const fn class(
    name: &'static str,
    rate: f64,
    work_ms: f64,
    target_ms: u64,
    timeout_ms: u64,
    priority: u8,
    per_flow: f64,
) -> Class {
    Class { name, rate, work_ms, target_ms, timeout_ms, priority, per_flow }
}

/// Customer 1: callers compete for capacity that is sometimes short.
pub fn counter(peak: f64) -> Load {
    Load {
        servers: 41,
        slots: 3,
        factors: &[1.0],
        classes: [
            class("feed", 1_155.0, 34.0, 300, 2_500, 1, LONG),
            class("booking", 330.0, 44.0, 300, 3_000, 0, 1.0),
            class("download", 99.0, 4.2, 800, 6_000, 2, 1.0),
        ],
        peak,
        bursts: &[(0, 6.0, 2.0, 1.9), (1, 11.0, 2.0, 2.4), (2, 17.0, 2.0, 2.2)],
        seconds: 24.0,
        faults: Vec::new(),
    }
}

/// Customer 2: demand and servers are uneven.
pub fn red_egresados(peak: f64) -> Load {
    Load {
        servers: 52,
        slots: 2,
        factors: &[0.7, 0.7, 1.7],
        classes: [
            class("feed", 1_138.0, 30.0, 300, 1_500, 1, LONG),
            class("message", 325.0, 39.0, 300, 1_500, 0, LONG),
            class("download", 97.5, 5.0, 800, 4_000, 2, 1.0),
        ],
        peak,
        bursts: &[(0, 6.0, 2.0, 1.9), (1, 11.0, 2.0, 2.4), (2, 17.0, 2.0, 2.2)],
        seconds: 24.0,
        faults: Vec::new(),
    }
}
