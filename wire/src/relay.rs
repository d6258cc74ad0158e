//! Datagrams between processes of the packet front end.
//!
//! A datagram is what the sender knows, one message and, for messages that
//! carry one, a packet as it came. Callers can't reach the addresses that these
//! datagrams are sent to, so they carry no authentication code.

use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;

use derive_more::Display;
use derive_more::Error;

/// Longest datagram: a packet of 1,232 bytes and its message, or 30 claims.
pub const MAX_DATAGRAM: usize = 2_048;

/// The bytes are no datagram of the protocol.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a message between processes")]
pub struct RelayError;

/// Encodes a message with the packet that it carries, if any.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode(
    known: KnownVersions,
    message: &Message,
    packet: &[u8],
) -> Result<Vec<u8>, RelayError> {
    let bytes = Vec::with_capacity(packet.len() + 64);
    let mut bytes = postcard::to_extend(&(known, message), bytes).map_err(|_| RelayError)?;
    bytes.extend_from_slice(packet);
    Ok(bytes)
}

/// Decodes a message; returns it with the bytes of its packet, which are empty
/// if it carries none.
///
/// # Errors
///
/// Returns an error if the bytes are no message, or follow one that carries no packet.
pub fn decode(bytes: &[u8]) -> Result<(KnownVersions, Message, &[u8]), RelayError> {
    let ((known, message), packet) =
        postcard::take_from_bytes::<(KnownVersions, Message)>(bytes).map_err(|_| RelayError)?;
    if message.carries_packet() == packet.is_empty() {
        return Err(RelayError);
    }
    Ok((known, message, packet))
}
