//! What must never happen to flows, checked from both ends.

use std::collections::HashMap;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::value::moment::Moment;

/// Time in which the packets of an open flow may not all go elsewhere.
const MISROUTE_WINDOW: Duration = Duration::from_secs(2);
/// Packets of an open flow that may reach other backend servers meanwhile.
const MISROUTE_LIMIT: usize = 3;

/// Checks over the packets that backend servers and callers get.
#[derive(Debug, Default)]
pub struct Checks {
    // Packets of open flows that went elsewhere since their own backend server
    // last got one.
    misrouted: HashMap<FlowKey, Vec<Moment>>,
    /// What was broken, and when.
    pub violations: Vec<String>,
}

impl Checks {
    /// Adds a finding.
    pub fn report(&mut self, now: Moment, problem: String) {
        self.violations.push(format!("{:.3} s: {problem}", now.0 as f64 / 1e6));
    }

    /// Takes in that a packet of an open flow reached its backend server, or another.
    pub fn record_delivery(&mut self, flow: FlowKey, own: bool, now: Moment) {
        self.check_flow(&flow, now);
        if own {
            self.misrouted.remove(&flow);
        } else {
            self.misrouted.entry(flow).or_default().push(now);
        }
    }

    /// Takes in that a flow has ended: its caller sends nothing more, so packets
    /// that went elsewhere last are no loss to it.
    pub fn end_flow(&mut self, flow: &FlowKey, now: Moment) {
        self.check_flow(flow, now);
        self.misrouted.remove(flow);
    }

    /// Looks at all flows at the end.
    pub fn finish(&mut self, now: Moment) {
        let flows: Vec<_> = self.misrouted.keys().copied().collect();
        for flow in flows {
            self.check_flow(&flow, now);
        }
    }

    /// Finds a flow of which, for the whole slack, several packets went
    /// elsewhere and none to its own backend server.
    fn check_flow(&mut self, flow: &FlowKey, now: Moment) {
        let Some(misrouted) = self.misrouted.get_mut(flow) else { return };
        let Some(first) = misrouted.first().copied() else { return };
        if now.since(first) < MISROUTE_WINDOW {
            return;
        }
        let count = misrouted.iter().filter(|at| at.since(first) < MISROUTE_WINDOW).count();
        misrouted.retain(|at| at.since(first) >= MISROUTE_WINDOW);
        if count >= MISROUTE_LIMIT {
            let problem = format!("{count} packets of {flow:?} went to other backend servers");
            self.report(first, problem);
        }
    }
}
