//! One packet of a flow whose opening and closing are marked.

use std::sync::Arc;

use super::flow::FlowKey;

/// What a packet marks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Marks {
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
    pub marks: Marks,
    /// Number of its first byte.
    pub seq: u32,
    /// Number of the next byte that its sender expects.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// For a caller's opening packet: how many were sent before it.
    pub copy: u8,
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
        self.marks.opens && !self.marks.acks
    }

    /// Returns the number after its last byte.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len)).wrapping_add(self.marks.closes.into())
    }

    /// Returns whether the packet acknowledges bytes of a flow whose backend
    /// server began to count at `first`.
    pub fn acknowledges(&self, first: u32) -> bool {
        // First numbers are drawn at random, so a flow with another one is
        // nearly always further away than a flow's data can reach.
        const REACH: u32 = 1 << 24;
        self.marks.acks && self.ack.wrapping_sub(first) <= REACH
    }
}
