//! One packet of a flow whose opening and closing are marked.

use std::sync::Arc;

use super::flow::FlowKey;

/// Bytes that a backend server sends on one flow at most.
const MAX_FLOW_BYTES: u32 = 1 << 24;

/// What a packet marks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// It opens a flow, or answers an opening packet.
    pub opens: bool,
    /// Its acknowledgement number counts.
    pub acks: bool,
    /// Its sender sends nothing more.
    pub closes: bool,
    /// The flow is over at once.
    pub aborts: bool,
    /// A backend server gave it back without having taken it.
    pub returned: bool,
}

/// The part of a packet that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow, from the caller's point of view in both directions.
    pub flow: FlowKey,
    /// What it marks.
    pub flags: Flags,
    /// Number of its first byte.
    pub seq: u32,
    /// Number of the next byte that its sender expects.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// For a caller's opening packet: how many were sent before it.
    pub attempt: u8,
}

/// A packet with its encoded form, which passes unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// What was decoded.
    pub segment: Segment,
    /// The bytes as they came.
    pub raw: Arc<[u8]>,
}

impl Segment {
    /// Returns whether the packet asks for a new flow.
    pub fn is_opening(&self) -> bool {
        self.flags.opens && !self.flags.acks
    }

    /// Returns the number after its last byte.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len)).wrapping_add(self.flags.closes.into())
    }

    /// Returns how many bytes it acknowledges of a backend server that began to
    /// count at `first`; none if that is more than a flow carries.
    pub fn acked_bytes(&self, isn: u32) -> Option<u32> {
        let count = self.ack.wrapping_sub(isn);
        (self.flags.acks && count <= MAX_FLOW_BYTES).then_some(count)
    }

    /// Returns whether the packet may be the first one after the answer of a
    /// backend server that began to count at `first`. Two backend servers may
    /// have answered with numbers that are close to each other, so only the
    /// exact one counts.
    pub fn completes_handshake(&self, isn: u32) -> bool {
        self.flags.acks && self.ack == isn.wrapping_add(1)
    }
}
