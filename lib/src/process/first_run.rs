//! Evidence that no earlier process of an agent opened flows at its backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::wall_time::WallTime;

/// Longest time from the start of a backend server's run to that of the process beside it.
/// A supervisor takes at least as long to start a process again after its end.
const START_WINDOW: Duration = Duration::from_millis(100);
/// Largest change of the clock since the start, and largest difference from the other
/// clocks, in milliseconds. It covers the way of a reply and the drift within
/// [`ASKING_TIME`], and is less than a step by a second.
const CLOCK_TOLERANCE_MS: u64 = 250;
/// Least number of agents that must have replied.
const MIN_REPLIES: usize = 3;
/// Time from the start within which others are asked; agents that lost power together start
/// within a few hundred milliseconds of each other.
const ASKING_TIME: Duration = Duration::from_secs(10);
/// Time between the first rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Number of rounds at that interval.
const QUICK_ROUNDS: u32 = 12;
/// Time between later rounds.
const LATE_INTERVAL: Duration = Duration::from_millis(500);
/// Age beyond which a reply says nothing about the clock of its sender.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Collects evidence that this process is the first one of its agent since its backend
/// server's present run began, so that a flow which is not in its table does not exist
/// there. Answers the load after a loss of power of all VMs, when every dead flow is searched
/// for and each agent that can't tell delays the outcome.
///
/// All of this must hold: the process started together with the run by the clock of their
/// VM; that clock has not stepped since and agrees with those of other agents; and no agent
/// that replied has heard of an earlier process.
#[derive(Clone, Debug)]
pub struct FirstRun {
    run: Incarnation,
    started: WallTime,
    opened: Moment,
    // How far the time of day was ahead of the steady time at the start, in milliseconds.
    ahead: i64,
    // Whether the clock has stepped, or an earlier process is known.
    refuted: bool,
    // Differences of the clocks of those that replied from this one, in milliseconds.
    replies: BTreeMap<SocketAddr, i64>,
    rounds: u32,
    asked: Option<Moment>,
}

impl FirstRun {
    /// Opens for the process `run`, which started when its clock showed `started` and the
    /// steady time was `now`.
    pub fn open(run: Incarnation, started: WallTime, now: Moment) -> Self {
        Self {
            run,
            started,
            opened: now,
            ahead: started.ahead_of(now),
            refuted: false,
            replies: BTreeMap::new(),
            rounds: 0,
            asked: None,
        }
    }

    /// Returns the time since the start.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.opened)
    }

    /// Records that there was an earlier process.
    pub fn refute(&mut self) {
        self.refuted = true;
    }

    /// Checks that the clock has not stepped since the start.
    pub fn check_clock(&mut self, wall: WallTime, now: Moment) {
        self.refuted |= wall.ahead_of(now).abs_diff(self.ahead) > CLOCK_TOLERANCE_MS;
    }

    /// Begins a round of questions if one is due and the run that began at `born` may be
    /// proved; returns the token of the round.
    pub fn ask(&mut self, born: WallTime, now: Moment) -> Option<u32> {
        let pointless = self.refuted || !self.started_with(born) || self.proves(born);
        let interval = if self.rounds < QUICK_ROUNDS { ROUND_INTERVAL } else { LATE_INTERVAL };
        let early = self.asked.is_some_and(|at| now.since(at) < interval);
        if pointless || early || now.since(self.opened) >= ASKING_TIME {
            return None;
        }
        self.rounds += 1;
        self.asked = Some(now);
        Some(self.token())
    }

    /// Returns whether the agent at `link` has replied.
    pub fn has_replied(&self, link: SocketAddr) -> bool {
        self.replies.contains_key(&link)
    }

    /// Records a reply to the round with the token `token`: the sender's time of day, and
    /// whether it has heard of an earlier process.
    pub fn replied(
        &mut self,
        from: SocketAddr,
        token: u32,
        wall: WallTime,
        earlier: bool,
        now: Moment,
    ) {
        self.refuted |= earlier;
        let in_time = self.asked.is_some_and(|at| now.since(at) <= REPLY_TIMEOUT);
        if token == self.token() && in_time {
            self.replies.insert(from, wall.ahead_of(now) - self.ahead);
        }
    }

    /// Returns whether this is certainly the agent's first process since its backend
    /// server's run began at `born`.
    pub fn proves(&self, born: WallTime) -> bool {
        !self.refuted
            && self.started_with(born)
            && self.replies.len() >= MIN_REPLIES
            && self.median().unsigned_abs() <= CLOCK_TOLERANCE_MS
    }

    fn started_with(&self, born: WallTime) -> bool {
        self.started.since(born).is_some_and(|late| late <= START_WINDOW)
    }

    fn median(&self) -> i64 {
        let mut differences: Vec<_> = self.replies.values().copied().collect();
        differences.sort_unstable();
        differences.get(differences.len() / 2).copied().unwrap_or(i64::MAX)
    }

    // A reply to an earlier process of this agent must not count, so the token depends on
    // the run.
    fn token(&self) -> u32 {
        (self.run.0 as u32).wrapping_add(self.rounds)
    }
}
