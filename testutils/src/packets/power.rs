//! A loss of power of all VMs of a fleet in virtual time, and what callers see of it.

use std::time::Duration;

use lagoonhollow_lib::value::moment::Moment;

use super::world::World;

/// Time from the start of a backend server to that of the agent on the same VM, measured on
/// real VMs at 35 to 40 ms.
const AGENT_DELAY: Duration = Duration::from_millis(38);
/// Time within which all VMs start.
const START_SPREAD_MS: u64 = 200;
/// Multiplier that spreads the starts.
const SPREAD_FACTOR: u64 = 7_919;

/// What starts on a VM, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Start {
    Backend(usize),
    Agent(usize),
    Entry(usize),
}

/// A flow that was lost with its backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct LostFlow {
    /// When its first packet reached an entry that knows routes.
    pub first: Option<Moment>,
    /// Packets that did until the flow was reset.
    pub packets: u32,
    /// When its caller got a reset.
    pub reset: Option<Moment>,
}

impl LostFlow {
    /// Records a packet of its caller at an entry.
    pub fn record_packet(&mut self, now: Moment) {
        self.first.get_or_insert(now);
        self.packets += u32::from(self.reset.is_none());
    }

    /// Records that its caller got a reset.
    pub fn record_reset(&mut self, now: Moment) {
        self.reset.get_or_insert(now);
    }

    /// Returns the time from its first packet to the reset; none without both.
    pub fn wait(&self) -> Option<Duration> {
        Some(self.reset?.since(self.first?))
    }
}

/// How soon the callers of lost flows learned it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Lost flows whose callers sent a packet since.
    pub flows: usize,
    /// Those that were reset.
    pub reset: usize,
    /// Those that were reset before a second packet came.
    pub at_first: usize,
    /// Times from the first packet to the reset, sorted.
    pub waits: Vec<Duration>,
}

impl Outcome {
    /// Returns the longest time from the first packet to the reset.
    pub fn longest(&self) -> Duration {
        self.waits.last().copied().unwrap_or_default()
    }

    /// Returns the time within which this share of the resets came, from 0 to 1.
    pub fn quantile(&self, share: f64) -> Duration {
        let last = self.waits.len().saturating_sub(1);
        self.waits.get((last as f64 * share) as usize).copied().unwrap_or_default()
    }
}

impl World {
    /// Takes the power from all VMs: every process and every flow is gone.
    pub fn lose_power(&mut self) {
        let open = self.calls.iter().filter(|(_, c)| c.is_open()).map(|(flow, _)| *flow);
        let held: Vec<_> = open.filter(|f| self.holder(f).is_some()).collect();
        self.lost = held.into_iter().map(|f| (f, LostFlow::default())).collect();
        for i in 0..self.agents.len() {
            self.crash(i, true);
            self.kill_agent(i);
        }
        (0..self.entries.len()).for_each(|i| self.kill_entry(i));
    }

    /// Gives the power back and runs until all VMs have started, except for those in `gone`:
    /// on each a new run of the backend server registers itself, and the agent's process
    /// starts a moment later.
    pub fn restore_power(&mut self, gone: &[usize]) {
        let from = self.now;
        let mut starts = Vec::new();
        for i in (0..self.agents.len()).filter(|i| !gone.contains(i)) {
            starts.push((spread(i), Start::Backend(i)));
            starts.push((spread(i) + AGENT_DELAY, Start::Agent(i)));
        }
        for i in 0..self.entries.len() {
            starts.push((spread(i) + AGENT_DELAY, Start::Entry(i)));
        }
        starts.sort();
        for (wait, start) in starts {
            self.run((from + wait).since(self.now));
            match start {
                Start::Backend(i) => self.restart_backend(i, None),
                Start::Agent(i) => self.start_agent(i, false),
                Start::Entry(i) => self.start_entry(i),
            }
        }
    }

    /// Returns how soon the callers of the lost flows learned it, of those flows whose first
    /// packet after the return of the power came at `from` or later.
    pub fn outcome(&self, from: Moment) -> Outcome {
        let late = |l: &&LostFlow| l.first.is_some_and(|at| at >= from);
        let seen: Vec<_> = self.lost.values().filter(late).collect();
        let mut waits: Vec<_> = seen.iter().filter_map(|l| l.wait()).collect();
        let at_first = seen.iter().filter(|l| l.reset.is_some() && l.packets == 1).count();
        waits.sort_unstable();
        Outcome { flows: seen.len(), reset: waits.len(), at_first, waits }
    }
}

/// Returns when the VM with index `i` starts after the return of the power.
fn spread(i: usize) -> Duration {
    Duration::from_millis(i as u64 * SPREAD_FACTOR % START_SPREAD_MS)
}
