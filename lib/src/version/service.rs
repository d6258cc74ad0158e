//! A service as the operator configures it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::value::name::Name;

/// What a cold backend server of a service bears.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time in milliseconds after its start for which a backend server is cold.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub period: Duration,
    /// Requests a second that it bears meanwhile; 0 if the service states no limit.
    pub rate: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// What its cold backend servers bear, if the configuration says so.
    #[serde(default)]
    pub warm_up: Option<WarmUp>,
}
