//! Until when a process's knowledge is known to match the source, and what the process has to
//! do to keep it so.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::value::moment::Moment;

/// Wait of an observer's watch, as a part of the strictest bound. A connection that has gone
/// silent is noticed after that wait and the time for an answer.
const WATCH_PART: u32 = 4;
/// Time without a confirmation after which a process reads the source itself, as a part of
/// the strictest bound. The rest is left for the read and its repetition.
const FALLBACK_PART: u32 = 2;
/// Time between two reads of a process that only its own reads confirm, as a part of the
/// strictest bound; shorter than the fallback, so that the knowledge stays current.
const REREAD_PART: u32 = 3;
/// Range over which the first reads of the processes that lost their confirmation at the same
/// time are spread, as a part of the strictest bound.
const SPREAD_PART: u32 = 6;
/// Shortest wait of a watch.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Pause after a failed read, which doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of that pause. After an outage of the source, each process has read it well
/// within the time that bounds allow for it.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Upper bound of that pause for a process that knows too little to serve.
const MAX_UNREADY_BACKOFF: Duration = Duration::from_millis(150);

/// A part of the source that is read on its own.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Part {
    /// The routes and the evacuations.
    Orders,
    /// The registered backend servers.
    Members,
}

/// What confirmed that the knowledge matches the source.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Witness {
    /// An answer of the source itself.
    #[display("store")]
    Source,
    /// The process at this address, which knows the same versions.
    #[display("{_0}")]
    Process(SocketAddr),
}

/// What a process does next about a part of the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Waits this long for a change.
    Watch(Duration),
    /// Reads the changes on a new connection.
    Read,
    /// Does nothing before this time.
    Idle(Moment),
}

/// A read of the source that was answered.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// When it was sent.
    pub sent: Moment,
    /// How long the source was asked to wait for a change.
    pub wait: Duration,
    /// Whether the answer holds a change.
    pub changed: bool,
    /// When the answer was received.
    pub received: Moment,
}

impl Answered {
    /// Returns a time at which the answer was certainly not yet given. Nothing is missing
    /// that was written before.
    pub fn confirms(&self) -> Moment {
        // An answer without a change is given only once the wait is over, and one with a
        // change may have been delayed on its way.
        let waited = self.sent + self.wait;
        if !self.changed && self.received >= waited { waited } else { self.sent }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct PartState {
    confirmed: Option<(Moment, Option<SocketAddr>)>,
    retry_at: Moment,
    failures: u32,
}

/// The confirmation of a process's knowledge, by its own reads and by observers.
///
/// Load that it answers: calls to the store are the largest cost of a fleet, so at rest only
/// observers call it, and nothing depends on any one of them.
#[derive(Debug)]
pub struct Confirmation {
    bound: Duration,
    orders: PartState,
    members: PartState,
    // Part of the range over which reads are spread.
    spread: f64,
    rng: Pcg64Mcg,
}

impl Confirmation {
    /// Opens without a confirmation. `bound` is the strictest time limit for a change to be
    /// in force; `seed` spreads the reads of different processes.
    pub fn open(bound: Duration, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (orders, members) = (PartState::default(), PartState::default());
        Self { bound, orders, members, spread: rng.random_range(0.0..1.0), rng }
    }

    /// Returns the time up to which no change is missing, none before all was read.
    pub fn confirmed_at(&self) -> Option<Moment> {
        Some(self.orders.confirmed?.0.min(self.members.confirmed?.0))
    }

    /// Returns the time up to which no change of the backend servers is missing, none before
    /// they were read.
    pub fn members_at(&self) -> Option<Moment> {
        Some(self.members.confirmed?.0)
    }

    /// Returns what confirmed the part that was confirmed longest ago.
    pub fn witness(&self) -> Option<Witness> {
        let (orders, members) = (self.orders.confirmed?, self.members.confirmed?);
        let oldest = if orders.0 < members.0 { orders } else { members };
        Some(oldest.1.map_or(Witness::Source, Witness::Process))
    }

    /// Returns whether the knowledge was confirmed recently enough to count as current.
    pub fn is_current(&self, now: Moment) -> bool {
        self.confirmed_at().is_some_and(|at| now.since(at) <= self.bound / FALLBACK_PART)
    }

    /// Returns whether the knowledge was current once and is no longer.
    pub fn has_lapsed(&self, now: Moment) -> bool {
        self.confirmed_at().is_some() && !self.is_current(now)
    }

    /// Records that an answer of the source was applied.
    pub fn read(&mut self, part: Part, answer: &Answered) {
        let state = self.state(part);
        state.failures = 0;
        state.retry_at = answer.received;
        let at = answer.confirms();
        // An own read counts even if another process confirmed a later time: the source can
        // be reached.
        let at = state.confirmed.map_or(at, |(before, _)| before.max(at));
        state.confirmed = Some((at, None));
    }

    /// Records that the process at `by`, which knows the same versions, lacked no change as
    /// of `age` before it answered a query that was sent at `sent`.
    pub fn vouched(&mut self, by: SocketAddr, sent: Moment, age: Duration) {
        let at = sent - age;
        for state in [&mut self.orders, &mut self.members] {
            if state.confirmed.is_none_or(|(before, _)| before < at) {
                state.confirmed = Some((at, Some(by)));
            }
        }
        self.spread = self.rng.random_range(0.0..1.0);
    }

    /// Records that a read of the source failed.
    pub fn failed(&mut self, part: Part, ready: bool, now: Moment) {
        let jitter = self.rng.random_range(0.5..1.0);
        let state = self.state(part);
        let longest = if ready { MAX_BACKOFF } else { MAX_UNREADY_BACKOFF };
        let backoff = (MIN_BACKOFF * 2u32.saturating_pow(state.failures.min(8))).min(longest);
        state.failures += 1;
        state.retry_at = now + backoff.mul_f64(jitter);
    }

    /// Returns what a process does next about `part`; `observes` tells whether it is an
    /// observer.
    pub fn step(&mut self, part: Part, observes: bool, now: Moment) -> Step {
        let (bound, spread) = (self.bound, self.spread);
        let state = self.state(part);
        if now < state.retry_at {
            return Step::Idle(state.retry_at);
        }
        let Some((at, by)) = state.confirmed else { return Step::Read };
        if observes {
            let wait = (bound / WATCH_PART).saturating_sub(now.since(at));
            return Step::Watch(wait.max(MIN_WAIT));
        }
        let due = match by {
            None => at + bound / REREAD_PART,
            Some(_) => at + bound / FALLBACK_PART + (bound / SPREAD_PART).mul_f64(spread),
        };
        if now >= due { Step::Read } else { Step::Idle(due) }
    }

    fn state(&mut self, part: Part) -> &mut PartState {
        match part {
            Part::Orders => &mut self.orders,
            Part::Members => &mut self.members,
        }
    }
}
