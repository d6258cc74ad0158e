//! Rules that tests and benches can switch off.

/// A rule that can be switched off, to show what it is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A witness that has just started abstains.
    Abstention,
    /// A majority of every open membership is needed.
    JointMajority,
    /// Only the holder of a majority says that a request was not run.
    MajorityBeforeRefusal,
    /// Grants outlast a change of version.
    GrantMemory,
    /// Work is charged by its expected cost, not as one piece like any other.
    ExpectedCost,
}

impl Safeguard {
    /// Returns whether the rule is in place where tests can't switch it off.
    pub const fn is_enforced(self) -> bool {
        true
    }
}
