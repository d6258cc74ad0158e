//! Counts per reason.

use super::reason::Reason;

/// A count for each [`Reason`].
#[derive(Clone, Debug, PartialEq)]
pub struct Tally([u64; Reason::ALL.len()]);

impl Tally {
    /// Adds one to the count of `reason`.
    pub fn add(&mut self, reason: Reason) {
        self.0[reason as usize] += 1;
    }

    /// Returns the count of `reason`.
    pub fn get(&self, reason: Reason) -> u64 {
        self.0[reason as usize]
    }

    /// Returns the counts that are not zero and resets all counts.
    pub fn drain(&mut self) -> Vec<(Reason, u64)> {
        let counts = std::mem::take(self).0;
        let pairs = Reason::ALL.into_iter().zip(counts);
        pairs.filter(|(_, n)| *n > 0).collect()
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self([0; Reason::ALL.len()])
    }
}
