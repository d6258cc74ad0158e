//! Status and explanations that the admin HTTP server returns.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Status of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// Role of the process, `entry` or `agent`.
    pub role: String,
    /// Failure domain of the process.
    pub domain: String,
    /// State of the life cycle.
    pub state: String,
    /// Version of the manifest in force, 0 before the first.
    pub version: u64,
    /// Whether new work is accepted.
    pub ready: bool,
    /// Whether the process observes the store for the others.
    #[serde(default)]
    pub observer: bool,
    /// What confirmed last that its knowledge matches the store: `store`, or the address of
    /// another process.
    #[serde(default)]
    pub confirmed_by: Option<String>,
    /// Time in milliseconds since a change of the store may be missing.
    #[serde(default)]
    pub confirmation_ms: Option<u64>,
    /// Numbers of flows, requests and other items held, by kind.
    pub held: BTreeMap<String, u64>,
    /// Nonzero counts of refusals, drops and retries, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Evacuated failure domains, as this process knows them.
    #[serde(default)]
    pub evacuations: Vec<EvacuationStatus>,
    /// Warm-up limit of the backend server, if one applies now.
    #[serde(default)]
    pub cold: Option<ColdStatus>,
}

/// An evacuated failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The failure domain.
    pub domain: String,
    /// Revision of the order.
    pub revision: String,
    /// Time in milliseconds for which this process has known it.
    pub known_for_ms: u64,
}

/// A cold backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStatus {
    /// Requests a second that it bears.
    pub rate: f64,
    /// Time in milliseconds for which it is still cold.
    pub left_ms: u64,
}

/// Explanation of where a flow goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The flow: addresses of its caller and its service.
    pub flow: String,
    /// Version of the manifest that the explanation is based on.
    pub version: u64,
    /// Service that the flow's address belongs to.
    pub service: Option<String>,
    /// Backend servers by rank, the flow's home first.
    pub ranks: Vec<String>,
    /// Owner of the flow, if this process knows it.
    pub owner: Option<String>,
    /// Why the flow goes there, in words.
    pub reason: String,
}
