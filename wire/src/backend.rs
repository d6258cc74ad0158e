//! CoAP messages to and from backend servers.
//!
//! The token of each request is its 64-bit ID, so an answer is matched to its own
//! request however late it arrives.

use std::time::Duration;

use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::request::token::Token;

use crate::coap;
use crate::coap::CoapError;
use crate::coap::DEADLINE_QUERY;

/// Encodes a request with its ID and the time left for its answer.
///
/// # Errors
///
/// Returns an error if the request is too long for a datagram.
pub fn encode_request(id: u64, request: &Request, left: Duration) -> Result<Vec<u8>, CoapError> {
    let mut packet = new_packet(id);
    coap::write_request(&mut packet, request);
    let query = format!("{DEADLINE_QUERY}{}", left.as_millis());
    packet.add_option(CoapOption::UriQuery, query.into_bytes());
    coap::serialize(&packet)
}

/// Encodes the cancellation of request `id`, as a deregistration according to
/// RFC 7641 section 3.6.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode_cancel(id: u64) -> Result<Vec<u8>, CoapError> {
    let mut packet = new_packet(id);
    packet.header.code = MessageClass::Request(coap_lite::RequestType::Get);
    packet.set_observe_value(1);
    coap::serialize(&packet)
}

/// Decodes a backend server's answer; returns it with the ID of its request.
///
/// # Errors
///
/// Returns an error if the bytes are not an answer or its token is not a request ID.
pub fn decode_answer(raw: &[u8]) -> Result<(u64, Answer), CoapError> {
    let answer = coap::read_answer(coap::parse(raw)?)?;
    Ok((request_id(&answer.token)?, answer))
}

/// Decodes a request as a backend server receives it; returns it with its ID and the
/// time left for its answer.
///
/// # Errors
///
/// Returns an error if the bytes are not a request or its token is not a request ID.
pub fn decode_request(raw: &[u8]) -> Result<(u64, Request, Option<Duration>), CoapError> {
    let packet = coap::parse(raw)?;
    let queries = packet.get_option(CoapOption::UriQuery).into_iter().flatten();
    let mut texts = queries.filter_map(|q| std::str::from_utf8(q).ok());
    let left = texts.find_map(|q| q.strip_prefix(DEADLINE_QUERY)?.parse().ok());
    let request = coap::read_request(packet)?;
    Ok((request_id(&request.token)?, request, left.map(Duration::from_millis)))
}

/// Encodes the answer to request `id` as a backend server sends it.
///
/// # Errors
///
/// Returns an error if the answer is too long for a datagram.
pub fn encode_answer(id: u64, answer: &Answer) -> Result<Vec<u8>, CoapError> {
    let mut packet = new_packet(id);
    packet.header.set_type(MessageType::NonConfirmable);
    let answer = Answer { token: Token(id.to_be_bytes().into()), ..answer.clone() };
    coap::write_answer(&mut packet, &answer);
    coap::serialize(&packet)
}

fn new_packet(id: u64) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Confirmable);
    packet.header.message_id = id as u16;
    packet.set_token(id.to_be_bytes().to_vec());
    packet
}

fn request_id(token: &Token) -> Result<u64, CoapError> {
    let bytes = (&*token.0).try_into().map_err(|_| CoapError::Unexpected)?;
    Ok(u64::from_be_bytes(bytes))
}
