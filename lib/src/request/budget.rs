//! Limit on retries, in proportion to requests.

/// Retries earned by each request.
const EARNED: f64 = 0.1;
/// Retries saved up at most.
const SAVED: f64 = 20.0;

/// A retry budget: one retry for ten requests, with a small reserve.
#[derive(Clone, Debug)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// Opens a full budget.
    pub fn open() -> Self {
        Self { left: SAVED }
    }

    /// Earns for one request.
    pub fn earn(&mut self) {
        self.left = (self.left + EARNED).min(SAVED);
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}
