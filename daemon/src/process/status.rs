//! What operators are told of a running process.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// State of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// Role: entry or agent.
    pub role: String,
    /// Failure domain.
    pub domain: String,
    /// Life cycle state.
    pub state: String,
    /// Version of the manifest in force, 0 before the first.
    pub version: u64,
    /// Whether new work is taken.
    pub ready: bool,
    /// Numbers of what is held.
    pub held: BTreeMap<String, u64>,
    /// Counts per reason that are not zero.
    pub reasons: BTreeMap<String, u64>,
}

/// Where a flow goes and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The flow, as asked.
    pub flow: String,
    /// Version of the manifest that the explanation is made under.
    pub version: u64,
    /// Service that holds the address.
    pub service: Option<String>,
    /// Backend servers by rank, the home first.
    pub ranks: Vec<String>,
    /// Owner as this process knows it.
    pub owner: Option<String>,
    /// Why the flow is there.
    pub reason: String,
}
