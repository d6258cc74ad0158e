//! Packets as the users' platform specifies them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const HEADER: usize = 32;
/// Largest number of data bytes in one packet.
pub const MAX_DATA: usize = 1_200;

pub const SYN: u8 = 32;
pub const ACK: u8 = 8;
pub const FIN: u8 = 16;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 4;

/// Whether the sum of a packet is right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sum {
    /// The sender wrote the packet as it is.
    Right,
    /// The sum is 0, as on resets of the system's own.
    Zero,
    /// The packet was changed or made up.
    Wrong,
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Sequence number after the packet's last byte; a FIN takes one number.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(self.data.len() as u32).wrapping_add(u32::from(self.has(FIN)))
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut raw = vec![0; HEADER + self.data.len()];
        raw[0..2].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        raw[6..10].copy_from_slice(&self.seq.to_le_bytes());
        raw[10..14].copy_from_slice(&self.ack.to_le_bytes());
        raw[18..22].copy_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        raw[22..26].copy_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        raw[26..28].copy_from_slice(&self.dst.port().to_le_bytes());
        raw[28..30].copy_from_slice(&self.src.port().to_le_bytes());
        raw[30] = self.flags;
        raw[HEADER..].copy_from_slice(&self.data);
        let sum = sum(&raw);
        raw[2..6].copy_from_slice(&sum.to_le_bytes());
        raw
    }

    /// Decodes a packet; none if its length is wrong.
    pub fn decode(raw: &[u8]) -> Option<(Self, Sum)> {
        if raw.len() < HEADER || raw.len() - HEADER != usize::from(u16_at(raw, 0)) {
            return None;
        }
        let end = |ip, port| SocketAddrV4::new(Ipv4Addr::from(u32_at(raw, ip)), u16_at(raw, port));
        let packet = Self {
            src: end(18, 28),
            dst: end(22, 26),
            flags: raw[30] & !BOUNCED,
            seq: u32_at(raw, 6),
            ack: u32_at(raw, 10),
            data: raw[HEADER..].to_vec(),
        };
        let state = match u32_at(raw, 2) {
            0 => Sum::Zero,
            stated if stated == sum(raw) => Sum::Right,
            _ => Sum::Wrong,
        };
        Some((packet, state))
    }
}

/// Returns a packet as a backend returns it to its node.
pub fn bounced(raw: &[u8]) -> Vec<u8> {
    let mut raw = raw.to_vec();
    raw[30] |= BOUNCED;
    raw[31] = 0;
    raw
}

/// A sum over all fields except `sum`, `echo`, `pad` and BOUNCED; never 0.
fn sum(raw: &[u8]) -> u32 {
    let mut hash = 0x811c_9dc5_u32;
    for (i, byte) in raw.iter().enumerate() {
        let byte = match i {
            2..=5 | 14..=17 | 31 => continue,
            30 => byte & !BOUNCED,
            _ => *byte,
        };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash.max(1)
}

fn u16_at(raw: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([raw[at], raw[at + 1]])
}

fn u32_at(raw: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([raw[at], raw[at + 1], raw[at + 2], raw[at + 3]])
}
