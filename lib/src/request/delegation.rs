//! The choice of a peer that serves a request instead of this agent.

use std::time::Duration;

use super::retry_budget::RetryBudget;
use crate::process::context::Context;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Gain in completion time that makes up for handing work to a peer.
const MARGIN: Duration = Duration::from_millis(2);

/// Lending by expected completion, and retries within a budget.
#[derive(Clone, Debug)]
pub struct Delegation {
    budget: RetryBudget,
}

impl Delegation {
    /// Opens with a full retry budget.
    pub fn open() -> Self {
        Self { budget: RetryBudget::open() }
    }

    /// Earns budget for one request.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Returns a peer that would be done clearly sooner than `mine`, the time
    /// that this agent would need; any peer that takes work if there is none.
    pub fn faster_peer(&self, context: &mut Context, mine: Option<Duration>) -> Option<Name> {
        let names = context.candidates();
        let (peer, theirs) = context.peers.better_of_two(&names, &mut context.rng)?;
        let theirs = Duration::from_micros(theirs) + MARGIN;
        mine.is_none_or(|mine| theirs < mine).then_some(peer)
    }

    /// Returns a peer to retry idempotent work on, within the budget.
    pub fn retry_peer(&mut self, context: &mut Context) -> Option<Name> {
        let names = context.candidates();
        let (peer, _) = context.peers.better_of_two(&names, &mut context.rng)?;
        if !self.budget.spend() {
            context.count(Reason::RetryBudget);
            return None;
        }
        context.count(Reason::RetryElsewhere);
        Some(peer)
    }
}
