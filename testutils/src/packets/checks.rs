//! Invariants of flows, checked at callers and backend servers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::Member;

/// Time over which misrouted packets of an open flow are counted.
const MISROUTE_WINDOW: Duration = Duration::from_secs(2);
/// Number of misrouted packets in the window that is a violation, if none reached the
/// flow's own backend server meanwhile.
const MISROUTE_LIMIT: usize = 3;

/// Time after the order within which no flow opens any more in an evacuated failure domain.
pub const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// A backend server whose warm-up limit is checked.
#[derive(Debug)]
struct Cold {
    from: Moment,
    until: Moment,
    // Opening packets that it may get in a second.
    limit: usize,
    openings: VecDeque<Moment>,
}

/// Collects violations found in the packets that backend servers and callers receive.
#[derive(Debug, Default)]
pub struct Checks {
    // Arrival times of packets of open flows at other backend servers, since the flow's
    // own backend server last received one.
    misrouted: HashMap<FlowKey, Vec<Moment>>,
    // Evacuated failure domains, with the time of the order.
    evacuated: BTreeMap<Name, Moment>,
    // Cold backend servers, with the opening packets that they got lately.
    cold: HashMap<Name, Cold>,
    /// Descriptions of the violations, each with its time.
    pub violations: Vec<String>,
}

impl Checks {
    /// Records a violation.
    pub fn report(&mut self, now: Moment, problem: String) {
        self.violations.push(format!("{:.3} s: {problem}", now.0 as f64 / 1e6));
    }

    /// Records that exactly these failure domains are evacuated from now on.
    pub fn record_orders(&mut self, domains: &[Name], now: Moment) {
        self.evacuated.retain(|domain, _| domains.contains(domain));
        for domain in domains {
            self.evacuated.entry(domain.clone()).or_insert(now);
        }
    }

    /// Checks that a flow may open at a backend server (EVAC).
    pub fn check_evacuation(&mut self, flow: &FlowKey, member: &Member, now: Moment) {
        let Some(since) = self.evacuated.get(&member.domain) else { return };
        if now.since(*since) > EVACUATION_BOUND {
            let Member { name, domain, .. } = member;
            self.report(now, format!("{flow:?} was opened at {name} in evacuated {domain}"));
        }
    }

    /// Records that a backend server is cold from `from` to `until`, and the number of opening
    /// packets that it may get in any second meanwhile.
    pub fn record_cold(&mut self, name: &Name, limit: usize, from: Moment, until: Moment) {
        let cold = Cold { from, until, limit, openings: VecDeque::new() };
        self.cold.insert(name.clone(), cold);
    }

    /// Checks the number of opening packets in a second at a backend server that gets one
    /// (FAILBACK).
    pub fn check_warm_up(&mut self, name: &Name, now: Moment) {
        let Some(cold) = self.cold.get_mut(name) else { return };
        if now < cold.from || now >= cold.until {
            return;
        }
        cold.openings.push_back(now);
        cold.openings.retain(|at| now.since(*at) < Duration::from_secs(1));
        let (count, limit) = (cold.openings.len(), cold.limit);
        if count > limit {
            self.report(now, format!("{name} is cold and got {count} of {limit} openings"));
        }
    }

    /// Records that a packet of an open flow reached a backend server; `own` tells
    /// whether it is the one that holds the flow.
    pub fn record_delivery(&mut self, flow: FlowKey, own: bool, now: Moment) {
        self.check_flow(&flow, now);
        if own {
            self.misrouted.remove(&flow);
        } else {
            self.misrouted.entry(flow).or_default().push(now);
        }
    }

    /// Records the end of a flow. Its caller sends nothing more, so packets misrouted
    /// at the end do it no harm.
    pub fn end_flow(&mut self, flow: &FlowKey, now: Moment) {
        self.check_flow(flow, now);
        self.misrouted.remove(flow);
    }

    /// Checks all remaining flows at the end of a run.
    pub fn finish(&mut self, now: Moment) {
        let flows: Vec<_> = self.misrouted.keys().copied().collect();
        for flow in flows {
            self.check_flow(&flow, now);
        }
    }

    /// Records a violation if, for the whole window, several packets of the flow
    /// reached other backend servers and none reached its own.
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
