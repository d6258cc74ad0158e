//! Notices of an agent's failure or return, which its peers gossip to the fleet.

use serde::Deserialize;
use serde::Serialize;

use crate::value::name::Name;

/// A statement that an agent does or does not answer its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The agent.
    pub agent: Name,
    /// Whether it is presumed dead.
    pub down: bool,
    /// Unix time of the statement in microseconds; the latest one counts.
    pub stamp: u64,
}
