//! One backend server as it registered itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::value::name::Name;

/// Whether a backend server takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It does.
    Ready,
    /// It keeps its flows and takes no new ones.
    Leaving,
}

/// One run of a backend server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name under which it registered.
    pub name: Name,
    /// Its service.
    pub service: Name,
    /// Address on which it takes packets, on the VM of its agent.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Pieces of work that it does at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub standing: MemberState,
    /// Time in milliseconds for which it is still slow after its start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warming: Duration,
    /// Unix time of its start in milliseconds; tells two runs under one name apart.
    pub born: u64,
}

impl Member {
    /// Returns whether `other` is the same run.
    pub fn same_run(&self, other: &Self) -> bool {
        self.name == other.name && self.born == other.born
    }
}
