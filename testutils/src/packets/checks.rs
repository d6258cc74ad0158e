//! What must never happen to flows, checked from both ends.

use std::collections::HashMap;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::value::moment::Moment;

/// Time in which the packets of an open flow may not all go elsewhere.
const FLOW_SLACK: Duration = Duration::from_secs(2);
/// Packets of an open flow that may reach other backend servers meanwhile.
const STRAYS: usize = 3;

/// Packets of one flow that reached backend servers.
#[derive(Debug, Default)]
struct Reached {
    own: Option<Moment>,
    strays: Vec<Moment>,
}

/// Checks over the packets that backend servers and callers get.
#[derive(Debug, Default)]
pub struct Checks {
    flows: HashMap<FlowKey, Reached>,
    /// What was broken, and when.
    pub broken: Vec<String>,
}

impl Checks {
    /// Adds a finding.
    pub fn find(&mut self, now: Moment, problem: String) {
        self.broken.push(format!("{:.3} s: {problem}", now.0 as f64 / 1e6));
    }

    /// Takes in that a packet of an open flow reached its backend server, or another.
    pub fn reached(&mut self, flow: FlowKey, own: bool, now: Moment) {
        let reached = self.flows.entry(flow).or_default();
        if own {
            reached.own = Some(now);
            reached.strays.clear();
            return;
        }
        reached.strays.retain(|at| now.since(*at) < FLOW_SLACK);
        reached.strays.push(now);
        let strays = reached.strays.len();
        if strays >= STRAYS && reached.own.is_none_or(|at| now.since(at) >= FLOW_SLACK) {
            self.find(now, format!("{strays} packets of {flow:?} went to other backend servers"));
        }
    }
}
