//! The limit on the opening packets that a cold backend server gets.

use std::collections::VecDeque;
use std::time::Duration;

use super::cold_period::ColdPeriod;
use crate::value::moment::Moment;
use crate::version::member::Member;
use crate::version::service::WarmUp;

/// Span over which passed packets are counted: the second of the rule, and the longest regular
/// time for which packets may wait between the agent and its backend server.
const WINDOW: Duration = Duration::from_millis(1_100);

/// How far a cold backend server may be used beyond the rate that its service states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Factor applied to the rate.
    pub overage: f64,
    /// Opening packets a second beyond that.
    pub slack: f64,
}

/// Counts the opening packets passed to one backend server and limits them while it is cold.
/// Answers the load after an evacuation or a release, when all homes see an idle backend
/// server: the agent is the only place that all their packets pass through.
#[derive(Debug)]
pub struct WarmUpLimit {
    allowance: Option<Allowance>,
    warm_up: Option<WarmUp>,
    cold: ColdPeriod,
    // Times within the window, oldest first.
    passed: VecDeque<Moment>,
    // Until when the agent's earlier run, which is not known, may have used the window up.
    used_until: Moment,
}

impl WarmUpLimit {
    /// Opens at the start of the agent. With `first_start` no earlier run of it has passed
    /// packets on.
    pub fn open(allowance: Option<Allowance>, first_start: bool, now: Moment) -> Self {
        let used_until = if first_start { now } else { now + WINDOW };
        let (cold, passed) = (ColdPeriod::open(now), VecDeque::new());
        Self { allowance, warm_up: None, cold, passed, used_until }
    }

    /// Applies what the service states, and the backend server's registry entry.
    pub fn update(&mut self, warm_up: Option<WarmUp>, entry: Option<&Member>, now: Moment) {
        self.warm_up = warm_up;
        if let Some(entry) = entry {
            self.cold.read_entry(entry, now);
        }
    }

    /// Records that a run of the backend server began or may have begun.
    pub fn record_start(&mut self, now: Moment) {
        self.cold.record_start(now);
    }

    /// Records that the connection to the backend server ended, and perhaps its run.
    pub fn record_end(&mut self) {
        self.cold.record_absence();
    }

    /// Records that no process listens at the backend server's address. What an earlier run
    /// of the agent passed on went to a run that has ended.
    pub fn record_absence(&mut self, now: Moment) {
        self.cold.record_absence();
        self.used_until = self.used_until.min(now);
    }

    /// Records a packet of the backend server.
    pub fn record_packet(&mut self, now: Moment) {
        if self.cold.is_absent() {
            self.cold.record_start(now);
        }
    }

    /// Records an opening packet that is passed to the backend server.
    pub fn record_opening(&mut self, now: Moment) {
        self.expire(now);
        self.passed.push_back(now);
    }

    /// Moves the window past a time in which this process, and perhaps its whole VM, did not
    /// run: packets passed before it may reach the backend server together with later ones.
    pub fn stalled(&mut self, time: Duration, now: Moment) {
        for at in &mut self.passed {
            *at = now.min(*at + time);
        }
    }

    /// Returns the rate in requests per second that a cold backend server bears and until
    /// when this one is cold, if it is and there is a limit.
    pub fn cold(&self, now: Moment) -> Option<(f64, Moment)> {
        let WarmUp { period, rate } = self.warm_up.filter(|w| w.rate > 0.0)?;
        self.allowance?;
        let until = self.cold.until(period);
        (now < until).then_some((rate, until))
    }

    /// Returns how many opening packets may be passed on now; `u16::MAX` without a limit.
    pub fn openings(&mut self, now: Moment) -> u16 {
        let Some(limit) = self.limit(now) else { return u16::MAX };
        self.expire(now);
        let used = if now < self.used_until { limit } else { self.passed.len() };
        limit.saturating_sub(used).min(usize::from(u16::MAX - 1)) as u16
    }

    /// Returns how long no opening packet may be passed on; zero if one may be now.
    pub fn wait(&mut self, now: Moment) -> Duration {
        let (Some(limit), Some((_, cold_until))) = (self.limit(now), self.cold(now)) else {
            return Duration::ZERO;
        };
        self.expire(now);
        let excess = (self.passed.len() + 1).checked_sub(limit);
        let open_at = match excess.filter(|n| *n > 0) {
            None => now,
            Some(n) => self.passed.get(n - 1).map_or(cold_until, |at| *at + WINDOW),
        };
        open_at.max(self.used_until).min(cold_until).since(now)
    }

    fn limit(&self, now: Moment) -> Option<usize> {
        let (rate, _) = self.cold(now)?;
        let Allowance { overage, slack } = self.allowance?;
        Some((rate * overage + slack).max(0.0) as usize)
    }

    fn expire(&mut self, now: Moment) {
        while self.passed.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.passed.pop_front();
        }
    }
}
