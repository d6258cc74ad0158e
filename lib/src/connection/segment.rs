//! A decoded packet of a flow with a handshake and sequence numbers.

use std::sync::Arc;

use super::flow::FlowKey;

/// Maximum number of bytes that a backend server sends on one flow.
const MAX_FLOW_BYTES: u32 = 1 << 24;

/// Flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// The packet opens a flow, or answers an opening packet.
    pub opens: bool,
    /// The acknowledgement number is valid.
    pub acks: bool,
    /// The sender sends no more data.
    pub closes: bool,
    /// The packet resets the flow.
    pub aborts: bool,
    /// A backend server returned the packet without having accepted it.
    pub returned: bool,
}

/// The decoded part of a packet, on which decisions depend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow, from the caller's point of view in both directions.
    pub flow: FlowKey,
    /// Flags of the packet.
    pub flags: Flags,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Sequence number of the next byte that the sender expects.
    pub ack: u32,
    /// Length of the data in bytes.
    pub len: u16,
    /// For a caller's opening packet: how many it has sent before this one.
    pub attempt: u8,
}

/// A packet with its encoded form, which is forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The decoded part.
    pub segment: Segment,
    /// The bytes as they were received.
    pub raw: Arc<[u8]>,
}

impl Segment {
    /// Returns whether the packet asks for a new flow.
    pub fn is_opening(&self) -> bool {
        self.flags.opens && !self.flags.acks
    }

    /// Returns the sequence number after the last byte; closing the flow takes one
    /// number.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len)).wrapping_add(self.flags.closes.into())
    }

    /// Returns the acknowledgement number, if the packet has one.
    pub fn acked(&self) -> Option<u32> {
        self.flags.acks.then_some(self.ack)
    }

    /// Returns whether two packets between the same addresses belong to one flow rather than
    /// to two, of which the later one uses the caller's address again.
    pub fn is_near(&self, other: &Self) -> bool {
        let ahead = other.ack.wrapping_sub(self.ack);
        let behind = self.ack.wrapping_sub(other.ack);
        other.flags.acks == self.flags.acks && ahead.min(behind) <= MAX_FLOW_BYTES
    }

    /// Returns how many bytes the packet acknowledges to a backend server with
    /// initial sequence number `isn`; none if it acknowledges nothing, or more than
    /// a flow carries.
    pub fn acked_bytes(&self, isn: u32) -> Option<u32> {
        self.flags.acks.then(|| acked_bytes(self.ack, isn)).flatten()
    }

    /// Returns whether the packet may complete the handshake with a backend server
    /// whose initial sequence number is `isn`. Only the exact acknowledgement number
    /// counts, since two backend servers may have answered with numbers that are
    /// close to each other.
    pub fn completes_handshake(&self, isn: u32) -> bool {
        self.flags.acks && self.ack == isn.wrapping_add(1)
    }
}

/// Returns how many bytes acknowledgement number `ack` acknowledges to a backend server
/// with initial sequence number `isn`; none if it is more than a flow carries.
pub fn acked_bytes(ack: u32, isn: u32) -> Option<u32> {
    let count = ack.wrapping_sub(isn);
    (count <= MAX_FLOW_BYTES).then_some(count)
}
