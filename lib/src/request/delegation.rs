//! Choice of a peer that processes a request instead of this agent.

use std::time::Duration;

use super::retry_budget::RetryBudget;
use crate::process::context::Context;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Gain in completion time that outweighs the cost of delegating a request.
const MARGIN: Duration = Duration::from_millis(2);

/// Delegation by expected completion time, and retries within a budget.
#[derive(Clone, Debug)]
pub struct Delegation {
    budget: RetryBudget,
}

impl Delegation {
    /// Creates a delegation with a full retry budget.
    pub fn open() -> Self {
        Self { budget: RetryBudget::open() }
    }

    /// Adds the share of one request to the retry budget.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Returns a peer that would complete a request clearly sooner than this agent,
    /// which would take `mine`.
    ///
    /// Without `mine`, returns any peer that accepts requests.
    pub fn faster_peer(&self, context: &mut Context, mine: Option<Duration>) -> Option<Name> {
        let names = context.candidates();
        let (peer, theirs) = context.peers.better_of_two(&names, &mut context.rng)?;
        let theirs = Duration::from_micros(theirs) + MARGIN;
        mine.is_none_or(|mine| theirs < mine).then_some(peer)
    }

    /// Returns a peer to retry an idempotent request on, within the budget.
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
