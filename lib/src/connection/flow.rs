//! Identity of a flow, and the part of a packet that routing depends on.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Transport protocol of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Protocol {
    /// TCP, whose packets mark the start and end of a flow.
    Tcp,
    /// UDP, which marks neither.
    Udp,
}

/// Identity of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the service.
    pub service: SocketAddr,
}

impl FlowKey {
    /// Returns a hash that is the same in every process.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0u8; 37];
        bytes[0] = match self.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        };
        write_address(&mut bytes[1..19], self.caller);
        write_address(&mut bytes[19..37], self.service);
        xxh3_64(&bytes)
    }
}

fn write_address(bytes: &mut [u8], address: SocketAddr) {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        std::net::IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..18].copy_from_slice(&address.port().to_be_bytes());
}

/// The part of a packet that routing depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The flow.
    pub flow: FlowKey,
    /// Whether the packet starts a flow; never set for UDP.
    pub opens: bool,
    /// Whether the packet ends its flow; never set for UDP.
    pub closes: bool,
}

impl Header {
    /// Returns the header of a UDP packet.
    pub fn udp(caller: SocketAddr, service: SocketAddr) -> Self {
        let flow = FlowKey { protocol: Protocol::Udp, caller, service };
        Self { flow, opens: false, closes: false }
    }

    /// Returns whether the packet may start a flow that no agent owns yet.
    pub fn may_open(&self) -> bool {
        self.opens || self.flow.protocol == Protocol::Udp
    }
}
