//! One service as the manifest declares it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::backend::Backend;
use super::path_rule::PathRule;
use crate::value::name::Name;

/// Deadline of a path that has no rule of its own.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// EXCHANGE_LIFETIME of RFC 7252 with its default parameters.
pub const EXCHANGE_LIFETIME: Duration = Duration::from_secs(247);

/// The document of one service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Doc {
    /// Name, unique in the manifest.
    pub service: Name,
    /// Version of the manifest in which this document last changed.
    pub revision: u64,
    /// Address that callers use.
    pub address: SocketAddr,
    /// Services that held the address before and may still own flows of it.
    #[serde(default)]
    pub former: Vec<Name>,
    /// The service's backend servers.
    pub backends: Vec<Backend>,
    /// Limits for single paths.
    #[serde(default)]
    pub paths: Vec<PathRule>,
    /// Time during which a caller may repeat a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lifetime_ms", default = "exchange_lifetime")]
    pub lifetime: Duration,
}

impl Doc {
    /// Returns the deadline of requests to `path`.
    pub fn deadline(&self, path: &str) -> Duration {
        let rule = self.paths.iter().find(|r| r.path.as_str() == path);
        rule.map_or(DEFAULT_DEADLINE, |r| r.deadline)
    }

    /// Returns the backend server with `name`.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.iter().find(|b| b.name.as_str() == name)
    }
}

fn exchange_lifetime() -> Duration {
    EXCHANGE_LIFETIME
}
