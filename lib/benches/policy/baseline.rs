//! Baseline policies: first come, first served, with each request counted as one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lagoonhollow_lib::version::ranking::Ranking;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::world::LONG_FACTOR;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::measures::Measures;
use crate::workload::UNIT;
use crate::workload::Workload;

/// How a baseline chooses a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// The home of the caller's flow.
    Home,
    /// A random backend server.
    Random,
}

/// Runs a baseline.
///
/// Work starts in the order of its arrival, so the next free time of each slot is
/// the only state.
pub fn run(workload: &Workload, placement: Placement) -> Measures {
    let mut rng = Pcg64Mcg::seed_from_u64(workload.seed ^ 0x5eed);
    let count = workload.deployment.speeds.len();
    let ranking = Ranking::open(&docs::numbered(0, count as u16).backends);
    let slots = workload.deployment.slots as usize;
    let mut free: Vec<BinaryHeap<Reverse<u64>>> = vec![vec![Reverse(0); slots].into(); count];
    let mut loads = vec![0.0; count];
    let mut done = Vec::new();
    for arrival in &workload.arrivals {
        let server = match placement {
            Placement::Home => ranking.home(u64::from(arrival.caller)).unwrap_or_default(),
            Placement::Random => rng.random_range(0..count),
        };
        let Some(Reverse(slot)) = free[server].pop() else { continue };
        let start = (slot as f64 / 1e6).max(arrival.at);
        let work = UNIT
            * rng.random_range(0.5..1.5)
            * if arrival.long { f64::from(LONG_FACTOR) } else { 1.0 };
        let end = start + work / workload.speed(server, start);
        free[server].push(Reverse((end * 1e6) as u64));
        loads[server] += work / workload.deployment.speeds[server];
        done.push((*arrival, Some(end - arrival.at)));
    }
    Measures::open(workload, &done, &loads)
}
