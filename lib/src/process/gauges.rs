//! What operators are shown of a running agent.

/// Numbers that operators are shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Flows owned.
    pub flows: usize,
    /// Redirects to other owners.
    pub redirects: usize,
    /// Lookups under way.
    pub lookups: usize,
    /// Channels served.
    pub channels: usize,
    /// Requests not answered yet.
    pub requests: usize,
    /// Requests kept for retransmissions.
    pub exchanges: usize,
    /// Grants remembered as a witness.
    pub grants: usize,
    /// Whether requests that begin now are abstained on.
    pub recovering: bool,
    /// Whether every peer has said which flows it owns.
    pub settled: bool,
}
