//! When an agent that stops tells which others that its backend server's run has ended.

use std::net::SocketAddr;
use std::time::Duration;

use crate::value::moment::Moment;

/// Number of times that each agent is told, as a datagram may be lost.
const ROUNDS: u32 = 2;
/// Least time between the starts of two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of agents that are told at once.
const PART: usize = 512;
/// Least time between two parts of a round.
const PART_INTERVAL: Duration = Duration::from_millis(10);

/// Progress of the notice that the run of the backend server has ended.
///
/// All agents are told, since the homes of all services wait for this one. In a fleet of 6,200
/// agents that is 12,400 datagrams, in parts of 512 at most, so that a stop of 300 ms suffices.
#[derive(Debug, Default)]
pub struct EndNotice {
    // Number of rounds that have begun.
    rounds: u32,
    // When the last round began.
    began: Moment,
    // Agents that it has not reached.
    remaining: Vec<SocketAddr>,
    // When the last part was sent.
    sent: Moment,
}

impl EndNotice {
    /// Returns the agents to tell now; `all` returns all of them in the order in which they are
    /// told, at the start of each round.
    pub fn next_part(
        &mut self,
        all: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
    ) -> Vec<SocketAddr> {
        if self.rounds > 0 && now.since(self.sent) < PART_INTERVAL {
            return Vec::new();
        }
        if self.remaining.is_empty() {
            let early = self.rounds > 0 && now.since(self.began) < ROUND_INTERVAL;
            if early || self.rounds == ROUNDS {
                return Vec::new();
            }
            (self.rounds, self.began) = (self.rounds + 1, now);
            self.remaining = all();
        }
        self.sent = now;
        let count = self.remaining.len().min(PART);
        self.remaining.drain(..count).collect()
    }

    /// Returns whether the notice has begun and not all agents have been told in all rounds.
    pub fn is_pending(&self) -> bool {
        (1..ROUNDS).contains(&self.rounds) || !self.remaining.is_empty()
    }
}
