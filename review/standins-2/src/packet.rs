//! Packets as PROTOCOL.md describes them: a header of 32 bytes, little-endian, with a keyed sum.

use std::net::Ipv4Addr;

pub const HEADER: usize = 32;
pub const BOUNCED: u8 = 4;
pub const ACK: u8 = 8;
pub const FIN: u8 = 16;
pub const SYN: u8 = 32;
pub const RST: u8 = 64;

/// Identity of a flow: client's address and port, route's address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    pub client: (Ipv4Addr, u16),
    pub route: (Ipv4Addr, u16),
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub flow: Flow,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn opens(&self) -> bool {
        self.has(SYN) && !self.has(ACK)
    }
}

pub fn encode(p: &Packet, from_client: bool) -> Vec<u8> {
    let (src, dst) =
        if from_client { (p.flow.client, p.flow.route) } else { (p.flow.route, p.flow.client) };
    let mut raw = vec![0; HEADER];
    raw[0..2].copy_from_slice(&(p.data.len() as u16).to_le_bytes());
    raw[6..10].copy_from_slice(&p.seq.to_le_bytes());
    raw[10..14].copy_from_slice(&p.ack.to_le_bytes());
    raw[18..22].copy_from_slice(&u32::from(src.0).to_le_bytes());
    raw[22..26].copy_from_slice(&u32::from(dst.0).to_le_bytes());
    raw[26..28].copy_from_slice(&dst.1.to_le_bytes());
    raw[28..30].copy_from_slice(&src.1.to_le_bytes());
    raw[30] = p.flags;
    raw.extend_from_slice(&p.data);
    let sum = sum(&raw);
    raw[2..6].copy_from_slice(&sum.to_le_bytes());
    raw
}

/// Decodes a packet; an error if it is not as its sender wrote it. A reset of the system's own has
/// no data and the sum 0; the second value tells whether it is one.
pub fn decode(raw: &[u8], from_client: bool) -> Result<(Packet, bool), String> {
    if raw.len() < HEADER || raw.len() != HEADER + usize::from(u16_at(raw, 0)) {
        return Err(format!("wrong length {}", raw.len()));
    }
    let flags = raw[30];
    let stated = u32_at(raw, 2);
    let system = flags == RST && stated == 0 && raw.len() == HEADER;
    if !system && stated != sum(raw) {
        return Err("the sum is wrong".to_owned());
    }
    let src = (Ipv4Addr::from(u32_at(raw, 18)), u16_at(raw, 28));
    let dst = (Ipv4Addr::from(u32_at(raw, 22)), u16_at(raw, 26));
    let (client, route) = if from_client { (src, dst) } else { (dst, src) };
    let (seq, ack) = (u32_at(raw, 6), u32_at(raw, 10));
    let data = raw[HEADER..].to_vec();
    Ok((Packet { flow: Flow { client, route }, flags, seq, ack, data }, system))
}

/// Returns the packet as a backend returns it.
pub fn bounced(raw: &[u8]) -> Vec<u8> {
    let mut raw = raw.to_vec();
    raw[30] |= BOUNCED;
    raw[31] = 0;
    raw
}

// Covers everything but the sum itself, `echo`, `pad` and BOUNCED.
fn sum(raw: &[u8]) -> u32 {
    let mut hash: u32 = 0x9e37_79b9;
    for (i, byte) in raw.iter().enumerate() {
        if (2..6).contains(&i) || (14..18).contains(&i) || i == 31 {
            continue;
        }
        let byte = if i == 30 { byte & !BOUNCED } else { *byte };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193).rotate_left(5);
    }
    hash.max(1)
}

fn u16_at(raw: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([raw[at], raw[at + 1]])
}

fn u32_at(raw: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([raw[at], raw[at + 1], raw[at + 2], raw[at + 3]])
}
