//! One backend server as it registered itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::run::Run;
use crate::value::name::Name;

/// State of a backend server, as it registered itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes new flows.
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
    /// Address on which it receives packets, on the VM of its agent.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub standing: MemberState,
    /// Time in milliseconds after its start for which it is slow.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warming: Duration,
    /// Unix time of its start in milliseconds; tells two runs under one name apart.
    pub born: u64,
}

impl Member {
    /// Returns whether this is a later state than `other` of the backend server with this
    /// name: a later run, or the same run after it has announced that it leaves.
    pub fn follows(&self, other: &Self) -> bool {
        let left = self.standing == MemberState::Leaving && other.standing == MemberState::Ready;
        let (run, before) = (self.run(), other.run());
        run > before || run == before && left
    }

    /// Returns the run that registered itself.
    pub fn run(&self) -> Run {
        Run { name: self.name.clone(), start: self.born }
    }

    /// Returns whether `other` is the same run.
    pub fn same_run(&self, other: &Self) -> bool {
        self.name == other.name && self.born == other.born
    }
}
