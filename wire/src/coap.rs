//! CoAP encodings that callers and backend servers have in common.

use std::collections::LinkedList;

use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use coap_lite::block_handler::BlockValue;
use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::request::message::Block;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::request::token::Token;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::value::reason::Reason;

/// Start of the query that holds the time left for an answer in milliseconds.
pub const DEADLINE_QUERY: &str = "deadline_ms=";

/// Why a CoAP message could not be encoded or decoded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CoapError {
    /// The bytes are not a CoAP message.
    #[display("not a CoAP message")]
    Malformed,
    /// The message is of a kind that the receiver does not handle.
    #[display("unexpected kind of CoAP message")]
    Unexpected,
    /// The message is too long for a datagram.
    #[display("CoAP message too long for a datagram")]
    TooLong,
}

pub(crate) fn parse(raw: &[u8]) -> Result<Packet, CoapError> {
    Packet::from_bytes(raw).map_err(|_| CoapError::Malformed)
}

pub(crate) fn serialize(packet: &Packet) -> Result<Vec<u8>, CoapError> {
    packet.to_bytes().map_err(|_| CoapError::TooLong)
}

pub(crate) fn read_request(packet: Packet) -> Result<Request, CoapError> {
    let method = match packet.header.code {
        MessageClass::Request(RequestType::Get) => Method::Get,
        MessageClass::Request(RequestType::Post) => Method::Post,
        MessageClass::Request(RequestType::Put) => Method::Put,
        MessageClass::Request(RequestType::Delete) => Method::Delete,
        _ => return Err(CoapError::Unexpected),
    };
    let observe = match packet.get_observe_value() {
        Some(Ok(0)) => Some(true),
        Some(Ok(1)) => Some(false),
        _ => None,
    };
    Ok(Request {
        id: packet.header.message_id,
        token: Token(packet.get_token().into()),
        method,
        path: read_path(&packet)?,
        observe,
        block: read_block(&packet),
        body: packet.payload.into(),
    })
}

pub(crate) fn write_request(packet: &mut Packet, request: &Request) {
    packet.header.code = MessageClass::Request(match request.method {
        Method::Get => RequestType::Get,
        Method::Post => RequestType::Post,
        Method::Put => RequestType::Put,
        Method::Delete => RequestType::Delete,
    });
    let segments = request.path.as_str().split('/').map(|s| s.as_bytes().to_vec());
    packet.set_option(CoapOption::UriPath, segments.collect::<LinkedList<_>>());
    if let Some(register) = request.observe {
        packet.set_observe_value(if register { 0 } else { 1 });
    }
    write_block(packet, request.block);
    packet.payload = request.body.to_vec();
}

pub(crate) fn read_answer(packet: Packet) -> Result<Answer, CoapError> {
    let code = match packet.header.code {
        MessageClass::Response(ResponseType::Content) => Code::Content,
        MessageClass::Response(ResponseType::Changed) => Code::Changed,
        MessageClass::Response(ResponseType::ServiceUnavailable) => Code::NotRun(Reason::Shed),
        MessageClass::Response(ResponseType::GatewayTimeout) => Code::Unknown(Reason::AnswerLost),
        MessageClass::Response(_) => Code::Other(u8::from(packet.header.code)),
        _ => return Err(CoapError::Unexpected),
    };
    let observe = packet.get_observe_value().and_then(Result::ok);
    Ok(Answer {
        token: Token(packet.get_token().into()),
        code,
        observe,
        block: read_block(&packet),
        body: packet.payload.into(),
    })
}

pub(crate) fn write_answer(packet: &mut Packet, answer: &Answer) {
    packet.header.code = match answer.code {
        Code::Content => MessageClass::Response(ResponseType::Content),
        Code::Changed => MessageClass::Response(ResponseType::Changed),
        Code::NotRun(_) => MessageClass::Response(ResponseType::ServiceUnavailable),
        Code::Unknown(_) => MessageClass::Response(ResponseType::GatewayTimeout),
        Code::Other(code) => MessageClass::from(code),
    };
    packet.set_token(answer.token.0.to_vec());
    if let Some(sequence) = answer.observe {
        // RFC 7641 limits the sequence number to 24 bits.
        packet.set_observe_value(sequence & 0x00ff_ffff);
    }
    write_block(packet, answer.block);
    packet.payload = match answer.code {
        // A diagnostic payload according to RFC 7252 section 5.5.2.
        Code::NotRun(_) | Code::Unknown(_) => answer.code.to_string().into_bytes(),
        _ => answer.body.to_vec(),
    };
}

fn read_path(packet: &Packet) -> Result<Name, CoapError> {
    let segments = packet.get_option(CoapOption::UriPath).into_iter().flatten();
    let segments: Result<Vec<_>, _> = segments.map(|s| std::str::from_utf8(s)).collect();
    let segments = segments.map_err(|_| CoapError::Malformed)?;
    Ok(Name::from(segments.join("/")))
}

fn read_block(packet: &Packet) -> Option<Block> {
    let value = packet.get_first_option_as::<BlockValue>(CoapOption::Block2)?.ok()?;
    Some(Block { number: value.num.into(), more: value.more, size: value.size_exponent })
}

fn write_block(packet: &mut Packet, block: Option<Block>) {
    let Some(block) = block else { return };
    let Ok(num) = u16::try_from(block.number) else { return };
    let value = BlockValue { num, more: block.more, size_exponent: block.size };
    packet.add_option_as(CoapOption::Block2, value);
}
