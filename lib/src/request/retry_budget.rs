//! Limit on retries, in proportion to requests.

/// Retries earned by each request.
const PER_REQUEST: f64 = 0.1;
/// Maximum number of unused retries.
const CAPACITY: f64 = 20.0;

/// A retry budget: one retry per ten requests, with a small reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn open() -> Self {
        Self { balance: CAPACITY }
    }

    /// Adds the share of one request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + PER_REQUEST).min(CAPACITY);
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.balance >= 1.0;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
