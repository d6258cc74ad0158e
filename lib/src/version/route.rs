//! One address that callers use, and where its new flows go.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::value::name::Name;

/// Seed that makes the choice of a service independent of the ranks, which hash the
/// same key.
const SPLIT_SEED: u64 = 0x5f3a;

/// One service's share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its share, relative to the other services of the route.
    pub weight: u32,
}

/// A route.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// The services that take its new flows.
    pub shares: Vec<Share>,
    /// Time in milliseconds after which callers give up on a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Target latency in milliseconds, within which callers want an answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "aim")]
    pub target_latency: Duration,
    /// Priority of its requests where not all can be served; 0 is the highest.
    pub priority: u8,
    /// Services that it sent flows to earlier, which may still hold some.
    #[serde(default)]
    pub former: Vec<Name>,
}

impl Route {
    /// Returns the service for a new flow with the hashed key; every process
    /// with the same version agrees.
    pub fn service(&self, key: u64) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut at = xxh3_64_with_seed(&key.to_le_bytes(), SPLIT_SEED) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        None
    }

    /// Returns the services that may hold flows of this route.
    pub fn holders(&self) -> impl Iterator<Item = &Name> {
        self.shares.iter().map(|s| &s.service).chain(&self.former)
    }
}
