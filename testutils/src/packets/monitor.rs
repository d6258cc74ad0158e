//! Run-time checks of a fleet's invariants, fed by its callers and backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::Member;
use tokio::time::Instant;

use super::backend::Backend;
use super::caller::End;
use super::checks::Checks;

/// Time after which a leaving backend server must get no new flows.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time after a version that takes a service from a route within which flows may still open
/// there: 3 s until it is in force, and the copies of an opening packet.
const ROUTES_BOUND: Duration = Duration::from_secs(4);
/// Time after the last fault from which on time bounds must hold.
const STABLE: Duration = Duration::from_secs(4);

/// A monitor shared by all callers and backend servers of a fleet.
#[derive(Clone, Debug)]
pub struct Monitor {
    state: Arc<Mutex<State>>,
    start: Instant,
    timed: bool,
}

#[derive(Debug, Default)]
struct State {
    checks: Checks,
    // Services to which a version sent flows of an address, each with the time since when
    // none does any more.
    services: HashMap<(SocketAddr, Name), Option<Moment>>,
    // Backend server that holds each open flow.
    owners: HashMap<FlowKey, Name>,
    // Backend server that ran each request, by flow and sequence number.
    executions: HashMap<(FlowKey, u32), Name>,
    leaving: HashMap<Name, Moment>,
    last_fault: Moment,
}

impl Monitor {
    /// Opens a monitor for `services`, given by address. With `timed`, time bounds
    /// are checked as well, which gives false violations on an overloaded machine.
    pub fn open(services: HashMap<SocketAddr, Name>, timed: bool) -> Self {
        let services = services.into_iter().map(|share| (share, None)).collect();
        let state = State { services, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), start: Instant::now(), timed }
    }

    /// Returns the current time; the monitor was opened at 1 s.
    pub fn now(&self) -> Moment {
        Moment::from_millis(1_000) + self.start.elapsed()
    }

    /// Returns whether time bounds are checked.
    pub fn is_timed(&self) -> bool {
        self.timed
    }

    /// Records that a fault begins or ends.
    pub fn record_fault(&self) {
        let now = self.now();
        self.lock().last_fault = now;
    }

    /// Returns whether the last fault is so long ago that time bounds must hold.
    pub fn is_stable(&self) -> bool {
        self.now().since(self.lock().last_fault) >= STABLE
    }

    /// Records that a backend server has announced that it is leaving.
    pub fn record_leaving(&self, member: &Member) {
        let now = self.now();
        self.lock().leaving.insert(member.name.clone(), now);
    }

    /// Records to which services the routes send flows from now on, by address.
    pub fn record_routes(&self, shares: &[(SocketAddr, Name)]) {
        let now = self.now();
        let mut state = self.lock();
        for (share, left) in &mut state.services {
            *left = if shares.contains(share) { None } else { left.or(Some(now)) };
        }
        for share in shares {
            state.services.entry(share.clone()).or_insert(None);
        }
    }

    /// Records that the routes of any earlier version may be in force again.
    pub fn record_copy(&self) {
        self.lock().services.values_mut().for_each(|left| *left = None);
    }

    /// Records that exactly these failure domains are evacuated from now on.
    pub fn record_orders(&self, domains: &[Name]) {
        let now = self.now();
        self.lock().checks.record_orders(domains, now);
    }

    /// Records that a backend server is cold after `delay`, for `time` from now.
    pub fn record_cold(&self, member: &Member, limit: usize, delay: Duration, time: Duration) {
        let now = self.now();
        self.lock().checks.record_cold(&member.name, limit, now + delay, now + time);
    }

    /// Records that a backend server has stopped and its flows have ended.
    pub fn record_removal(&self, member: &Member) {
        self.lock().owners.retain(|_, owner| *owner != member.name);
    }

    /// Records a violation.
    pub fn report(&self, problem: String) {
        let now = self.now();
        self.lock().checks.report(now, problem);
    }

    /// Checks a packet that reached a backend server; `backend` is in its state
    /// before it handles the packet.
    pub fn check_delivery(&self, backend: &Backend, segment: &Segment) {
        let (now, member) = (self.now(), &backend.member);
        let stable = self.is_stable();
        let mut state = self.lock();
        let Segment { flow, .. } = *segment;
        if segment.is_opening() {
            let share = (flow.service, member.service.clone());
            let problem = match state.services.get(&share) {
                None => Some(format!("{flow:?} was opened at {}, {}", member.name, member.service)),
                Some(Some(left)) if self.timed && stable && now.since(*left) > ROUTES_BOUND => {
                    let Member { name, service, .. } = member;
                    let ago = now.since(*left);
                    Some(format!(
                        "{flow:?} was opened at {name}, {service}, which its route left {ago:?} ago"
                    ))
                }
                Some(_) => None,
            };
            if let Some(problem) = problem {
                state.checks.report(now, problem);
            }
            if self.timed && stable {
                state.checks.check_evacuation(&flow, member, now);
            }
            if self.timed {
                state.checks.check_warm_up(&member.name, now);
            }
            let late =
                state.leaving.get(&member.name).is_some_and(|at| now.since(*at) > DRAIN_BOUND);
            if self.timed && stable && late {
                let problem = format!("{flow:?} was opened at {}, which is leaving", member.name);
                state.checks.report(now, problem);
            }
            return;
        }
        if let Some(owner) = state.owners.get(&flow) {
            let own = *owner == member.name;
            state.checks.record_delivery(flow, own, now);
        }
    }

    /// Records what a packet changed at a backend server: whether it opened or ended its
    /// flow or started a request. `before` is [`Backend::progress`] before the packet.
    pub fn record_progress(
        &self,
        backend: &Backend,
        segment: &Segment,
        before: Option<(bool, u32)>,
    ) {
        let (now, name) = (self.now(), &backend.member.name);
        let after = backend.progress(&segment.flow);
        let mut state = self.lock();
        let flow = segment.flow;
        match (before, after) {
            (Some((true, _)), None) => {
                state.owners.remove(&flow);
            }
            (Some((false, _)), Some((true, _))) => {
                if let Some(other) = state.owners.insert(flow, name.clone()) {
                    let problem = format!("{flow:?} opened at {name} and at {other}");
                    state.checks.report(now, problem);
                }
            }
            _ => {}
        }
        let requests = |p: Option<(bool, u32)>| p.map_or(0, |(_, requests)| requests);
        if requests(after) > requests(before)
            && let Some(other) = state.executions.insert((flow, segment.seq), name.clone())
        {
            let problem = format!("a request of {flow:?} ran at {other} and at {name}");
            state.checks.report(now, problem);
        }
    }

    /// Records how a call ended.
    pub fn record_end(&self, flow: &FlowKey, end: End) {
        let now = self.now();
        let mut state = self.lock();
        let owner = state.owners.remove(flow);
        state.checks.end_flow(flow, now);
        match (end, owner) {
            (End::Reset, Some(owner)) => {
                let problem = format!("{flow:?} was reset while {owner} holds it");
                state.checks.report(now, problem);
            }
            (End::Refused, Some(owner)) => {
                let problem = format!("{flow:?} was refused but is open at {owner}");
                state.checks.report(now, problem);
            }
            _ => {}
        }
    }

    /// Ends the checks and returns the violations.
    pub fn finish(&self) -> Vec<String> {
        let now = self.now();
        let mut state = self.lock();
        state.checks.finish(now);
        std::mem::take(&mut state.checks.violations)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
