//! The rules that running a request at most once depends on.

/// A rule that tests can switch off, to show that their check then fails.
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
}

impl Safeguard {
    /// Returns whether the rule is in place where tests can't switch it off.
    pub const fn is_kept(self) -> bool {
        true
    }
}
