//! Encoding of packets as the platform specifies it: a header of 32 bytes with a
//! checksum that only the two ends of a flow can compute.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;

/// Length of the header in bytes.
pub const HEADER_LEN: usize = 32;
/// Initial value of the checksum, which is a 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;

/// Encodes a packet that one end of a flow sends. The raw bytes are its data, padded
/// with zeros to the segment's length.
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
    let data_len = packet.raw.len().min(usize::from(len));
    raw[HEADER_LEN..HEADER_LEN + data_len].copy_from_slice(&packet.raw[..data_len]);
    let checksum = checksum(&raw);
    raw[2..6].copy_from_slice(&checksum.to_le_bytes());
    raw
}

/// Decodes a packet; its data becomes the raw bytes.
///
/// # Errors
///
/// Returns a description if the length or the checksum is wrong, which means that the
/// packet was changed after an end of the flow sent it. A reset that the load balancer
/// itself sends has a zero checksum and is accepted.
pub fn decode(raw: &[u8], from_caller: bool) -> Result<Packet, String> {
    if raw.len() < HEADER_LEN || raw.len() != HEADER_LEN + usize::from(u16_at(raw, 0)) {
        return Err(format!("wrong length: {} bytes", raw.len()));
    }
    let bits = raw[30];
    let has = |bit: u8| bits & bit != 0;
    let flags =
        Flags { opens: has(32), acks: has(8), closes: has(16), aborts: has(64), returned: has(4) };
    let stated = u32_at(raw, 2);
    let system_reset = flags.aborts && stated == 0 && raw.len() == HEADER_LEN;
    if !system_reset && stated != checksum(raw) {
        return Err("checksum does not match".to_owned());
    }
    let source = SocketAddrV4::new(Ipv4Addr::from(u32_at(raw, 18)), u16_at(raw, 28));
    let target = SocketAddrV4::new(Ipv4Addr::from(u32_at(raw, 22)), u16_at(raw, 26));
    let (caller, service) = if from_caller { (source, target) } else { (target, source) };
    let flow = FlowKey { protocol: Protocol::Tcp, caller: caller.into(), service: service.into() };
    let (seq, ack) = (u32_at(raw, 6), u32_at(raw, 10));
    let segment = Segment { flow, flags, seq, ack, len: u16_at(raw, 0), attempt: 0 };
    Ok(Packet { segment, raw: raw[HEADER_LEN..].into() })
}

/// Returns a copy of a packet as a backend server returns it to its agent.
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
