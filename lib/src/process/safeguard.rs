//! Rules that tests and benches can disable.

/// A rule that can be disabled, to show which failures it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A witness that has just started abstains from votes.
    Abstention,
    /// A majority of every open membership is needed.
    JointMajority,
    /// Only the holder of a majority answers that a request was not run.
    MajorityBeforeRefusal,
    /// Grants outlast a change of version.
    GrantMemory,
    /// Work is admitted by its expected cost, instead of at the same cost for every
    /// request.
    ExpectedCost,
}

impl Safeguard {
    /// Returns whether the rule is in effect in builds that can't disable it.
    pub const fn is_enforced(self) -> bool {
        true
    }
}
