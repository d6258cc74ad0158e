//! Limit on the questions of a home to agents that hardly own a flow.

use crate::value::moment::Moment;

/// Questions per second, so that an agent of a fleet whose homes all use their budgets is
/// asked as often.
const PER_SECOND: f64 = 1_000.0;
/// Questions that can be saved up: those for one flow in a fleet of the largest size.
const CAPACITY: f64 = 8_192.0;

/// A budget of questions to the agents beyond the services of a flow's route.
///
/// Load that it answers: after the loss of a failure domain every lost flow would have its
/// home ask the whole fleet. Flows beyond the budget are not resolved, which leaves their
/// callers waiting but resets none that is open.
#[derive(Clone, Debug)]
pub struct SearchBudget {
    balance: f64,
    at: Moment,
}

impl Default for SearchBudget {
    fn default() -> Self {
        Self { balance: CAPACITY, at: Moment::default() }
    }
}

impl SearchBudget {
    /// Spends `count` questions; returns false if the balance is used up. The last search may
    /// overdraw it, or a fleet beyond the capacity could not be asked at all.
    pub fn spend(&mut self, count: usize, now: Moment) -> bool {
        let earned = now.since(self.at).as_secs_f64() * PER_SECOND;
        self.balance = (self.balance + earned).min(CAPACITY);
        self.at = now;
        let allowed = count == 0 || self.balance > 0.0;
        if allowed {
            self.balance -= count as f64;
        }
        allowed
    }
}
