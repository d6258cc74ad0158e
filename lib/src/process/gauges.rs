//! Gauges of a running agent.

/// Counts and states of an agent that operators are shown.
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
    /// Whether the agent, as a witness, abstains from votes on requests that begin
    /// now.
    pub recovering: bool,
    /// Whether every peer has reported the flows that it owns.
    pub settled: bool,
}
