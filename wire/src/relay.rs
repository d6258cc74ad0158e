//! Datagrams between processes of the packet front end.
//!
//! A datagram holds the versions that its sender knows, one message and, if the
//! message carries one, a packet as it was received. Callers can't reach the
//! addresses that datagrams are sent to, so datagrams have no authentication code.

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;

/// Maximum length of a datagram in bytes: a packet of 1,232 bytes with its message,
/// or 30 claims.
pub const MAX_DATAGRAM: usize = 2_048;

/// A message could not be encoded, or a datagram not decoded.
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

/// Decodes a message; returns it with the bytes of its packet, which are empty if it
/// carries none.
///
/// # Errors
///
/// Returns an error if the bytes are not a message, if the packet that it carries is
/// missing, or if bytes follow a message that carries none.
pub fn decode(bytes: &[u8]) -> Result<(KnownVersions, Message, &[u8]), RelayError> {
    let ((known, message), packet) =
        postcard::take_from_bytes::<(KnownVersions, Message)>(bytes).map_err(|_| RelayError)?;
    if message.carries_packet() == packet.is_empty() {
        return Err(RelayError);
    }
    Ok((known, message, packet))
}
