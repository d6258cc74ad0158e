//! CoAP messages to and from callers.

use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::message::Content;
use lagoonhollow_lib::request::message::Request;

use crate::coap;
use crate::coap::CoapError;

/// Decodes a caller's packet.
///
/// # Errors
///
/// Returns an error if the bytes are not a request, an acknowledgement or a reset.
pub fn decode(raw: &[u8]) -> Result<Content, CoapError> {
    let packet = coap::parse(raw)?;
    let id = packet.header.message_id;
    match (packet.header.get_type(), packet.header.code) {
        (MessageType::Acknowledgement, MessageClass::Empty) => Ok(Content::Acknowledge(id)),
        (MessageType::Reset, _) => Ok(Content::Reset(id)),
        (_, MessageClass::Request(_)) => coap::read_request(packet).map(Content::Request),
        _ => Err(CoapError::Unexpected),
    }
}

/// Encodes the answer to a confirmable request with message ID `id`, as part of the
/// acknowledgement.
///
/// # Errors
///
/// Returns an error if the answer is too long for a datagram.
pub fn encode_answer(id: u16, answer: &Answer) -> Result<Vec<u8>, CoapError> {
    encode(MessageType::Acknowledgement, id, answer)
}

/// Encodes a confirmable notification with message ID `id`.
///
/// # Errors
///
/// Returns an error if the notification is too long for a datagram.
pub fn encode_notification(id: u16, answer: &Answer) -> Result<Vec<u8>, CoapError> {
    encode(MessageType::Confirmable, id, answer)
}

/// Encodes a request as a caller sends it.
///
/// # Errors
///
/// Returns an error if the request is too long for a datagram.
pub fn encode_request(request: &Request) -> Result<Vec<u8>, CoapError> {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Confirmable);
    packet.header.message_id = request.id;
    packet.set_token(request.token.0.to_vec());
    coap::write_request(&mut packet, request);
    coap::serialize(&packet)
}

/// Encodes a caller's acknowledgement of the notification with message ID `id`.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode_ack(id: u16) -> Result<Vec<u8>, CoapError> {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Acknowledgement);
    packet.header.code = MessageClass::Empty;
    packet.header.message_id = id;
    coap::serialize(&packet)
}

/// Decodes an answer or notification as a caller receives it; returns its message ID,
/// whether it has to be acknowledged, and its content.
///
/// # Errors
///
/// Returns an error if the bytes are not an answer.
pub fn decode_answer(raw: &[u8]) -> Result<(u16, bool, Answer), CoapError> {
    let packet = coap::parse(raw)?;
    let id = packet.header.message_id;
    let confirm = packet.header.get_type() == MessageType::Confirmable;
    Ok((id, confirm, coap::read_answer(packet)?))
}

fn encode(kind: MessageType, id: u16, answer: &Answer) -> Result<Vec<u8>, CoapError> {
    let mut packet = Packet::new();
    packet.header.set_type(kind);
    packet.header.message_id = id;
    coap::write_answer(&mut packet, answer);
    coap::serialize(&packet)
}
