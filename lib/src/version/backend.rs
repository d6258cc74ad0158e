//! One backend server as the manifest declares it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::value::name::Name;

/// A backend server and the agent beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name, unique in the manifest.
    pub name: Name,
    /// Address of the agent's datagram socket.
    pub link: SocketAddr,
    /// Address of the agent's control endpoint.
    pub control: SocketAddr,
    /// Share of the service's flows, relative to the other backend servers.
    pub weight: u32,
    /// Requests that the backend server works on at once.
    pub slots: u32,
    /// Whether the operator wants the backend server to take no new work.
    #[serde(default)]
    pub drain: bool,
}
