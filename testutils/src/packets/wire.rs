//! Packets as bytes, from the platform's pages: a header of 32 bytes with a sum
//! that only the two ends of a flow can make.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;

/// Bytes of the header.
pub const HEADER_LEN: usize = 32;
/// Key of the sum.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;

/// Encodes a packet of one end of a flow; its raw bytes are the data, filled up.
pub fn encode(packet: &Packet, from_caller: bool) -> Vec<u8> {
    let Segment { flow, flags, seq, ack, len, .. } = packet.segment;
    let mut raw = vec![0; HEADER_LEN + usize::from(len)];
    let (source, target) =
        if from_caller { (flow.caller, flow.service) } else { (flow.service, flow.caller) };
    raw[0..2].copy_from_slice(&len.to_le_bytes());
    raw[6..10].copy_from_slice(&seq.to_le_bytes());
    raw[10..14].copy_from_slice(&ack.to_le_bytes());
    raw[18..22].copy_from_slice(&ip_bits(source).to_le_bytes());
    raw[22..26].copy_from_slice(&ip_bits(target).to_le_bytes());
    raw[26..28].copy_from_slice(&target.port().to_le_bytes());
    raw[28..30].copy_from_slice(&source.port().to_le_bytes());
    raw[30] = u8::from(flags.opens) << 5
        | u8::from(flags.acks) << 3
        | u8::from(flags.closes) << 4
        | u8::from(flags.aborts) << 6;
    let data = packet.raw.len().min(usize::from(len));
    raw[HEADER_LEN..HEADER_LEN + data].copy_from_slice(&packet.raw[..data]);
    let checksum = checksum(&raw);
    raw[2..6].copy_from_slice(&checksum.to_le_bytes());
    raw
}

/// Decodes a packet; its raw bytes become its data.
///
/// # Errors
///
/// Returns what is wrong if it is not as one of the ends wrote it. A reset of
/// the system's own has no sum.
pub fn decode(raw: &[u8], from_caller: bool) -> Result<Packet, String> {
    if raw.len() < HEADER_LEN || raw.len() != HEADER_LEN + usize::from(u16_at(raw, 0)) {
        return Err(format!("{} bytes", raw.len()));
    }
    let bits = raw[30];
    let has = |bit: u8| bits & bit != 0;
    let flags =
        Flags { opens: has(32), acks: has(8), closes: has(16), aborts: has(64), returned: has(4) };
    let stated = u32_at(raw, 2);
    let system_reset = flags.aborts && stated == 0 && raw.len() == HEADER_LEN;
    if !system_reset && stated != checksum(raw) {
        return Err("the sum does not match".to_owned());
    }
    let source = SocketAddrV4::new(Ipv4Addr::from(u32_at(raw, 18)), u16_at(raw, 28));
    let target = SocketAddrV4::new(Ipv4Addr::from(u32_at(raw, 22)), u16_at(raw, 26));
    let (caller, service) = if from_caller { (source, target) } else { (target, source) };
    let flow = FlowKey { protocol: Protocol::Tcp, caller: caller.into(), service: service.into() };
    let (seq, ack) = (u32_at(raw, 6), u32_at(raw, 10));
    let segment = Segment { flow, flags, seq, ack, len: u16_at(raw, 0), attempt: 0 };
    Ok(Packet { segment, raw: raw[HEADER_LEN..].into() })
}

/// Returns a packet as a backend server gives it back.
pub fn mark_returned(raw: &[u8]) -> Vec<u8> {
    let mut raw = raw.to_vec();
    raw[30] |= 4;
    raw[31] = 0;
    raw
}

fn checksum(raw: &[u8]) -> u32 {
    let covered = |i: usize| !(2..6).contains(&i) && !(14..18).contains(&i) && i != 31;
    let byte = |i: usize| if i == 30 { raw[i] & !4 } else { raw[i] };
    let mix = |hash: u32, i: usize| (hash ^ u32::from(byte(i))).wrapping_mul(0x0100_0193);
    (0..raw.len()).filter(|i| covered(*i)).fold(FNV_OFFSET_BASIS, mix).max(1)
}

fn ip_bits(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(v4) => (*v4.ip()).into(),
        SocketAddr::V6(_) => 0,
    }
}

fn u16_at(raw: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([raw[at], raw[at + 1]])
}

fn u32_at(raw: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([raw[at], raw[at + 1], raw[at + 2], raw[at + 3]])
}
