//! Round trips through the encodings, and the refusal of other bytes.

use std::time::Duration;

use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::request::message::Block;
use lagoonhollow_lib::request::message::Content;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::request::token::Token;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_testutils::property::holds;
use lagoonhollow_wire::backend;
use lagoonhollow_wire::caller;
use lagoonhollow_wire::coap::CoapError;
use lagoonhollow_wire::control;
use lagoonhollow_wire::control::ControlCall;
use lagoonhollow_wire::seal::FleetKey;
use lagoonhollow_wire::seal::SealError;

fn request(id: u16, body: &[u8]) -> Request {
    Request {
        id,
        token: Token([1, 2, 3].as_slice().into()),
        method: Method::Post,
        path: "a/report".into(),
        observe: None,
        block: Some(Block { number: 5, more: true, size: 2 }),
        body: body.into(),
    }
}

fn envelope(to: &str) -> Envelope {
    let (from, to, run) = ("a".into(), to.into(), Incarnation(7));
    Envelope { from, run, to, version: 3, message: Message::Ack }
}

#[test]
fn requests_round_trip() {
    fn property(id: u16, body: Vec<u8>) -> bool {
        let body = &body[..body.len().min(1_000)];
        let request = request(id, body);
        let raw = caller::encode_request(&request).unwrap();
        caller::decode(&raw) == Ok(Content::Request(request))
    }
    holds(property as fn(u16, Vec<u8>) -> bool);
}

#[test]
fn requests_to_backend_servers_round_trip_with_their_id() {
    fn property(id: u64, body: Vec<u8>, ms: u32) -> bool {
        let body = &body[..body.len().min(1_000)];
        let left = Duration::from_millis(ms.into());
        let raw = backend::encode_request(id, &request(1, body), left).unwrap();
        let (decoded_id, decoded, decoded_left) = backend::decode_request(&raw).unwrap();
        decoded_id == id && *decoded.body == *body && decoded_left == Some(left)
    }
    holds(property as fn(u64, Vec<u8>, u32) -> bool);
}

#[test]
fn answers_of_backend_servers_round_trip_with_their_id() {
    fn property(id: u64, body: Vec<u8>) -> bool {
        let body = &body[..body.len().min(1_000)];
        let mut answer = Answer::bare(Token(id.to_be_bytes().as_slice().into()), Code::Changed);
        answer.body = body.into();
        backend::decode_answer(&backend::encode_answer(id, &answer).unwrap()) == Ok((id, answer))
    }
    holds(property as fn(u64, Vec<u8>) -> bool);
}

#[test]
fn an_envelope_with_a_changed_byte_is_forged() {
    fn property(at: usize, change: u8) -> bool {
        let key = FleetKey::open([9; 32]);
        let mut sealed = key.seal(&envelope("b")).unwrap();
        let at = at % sealed.len();
        sealed[at] ^= change.max(1);
        key.unseal(&sealed) == Err(SealError::Forged)
    }
    holds(property as fn(usize, u8) -> bool);
}

#[test]
fn random_bytes_are_refused_without_a_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let key = FleetKey::open([9; 32]);
        let _ = caller::decode(&bytes);
        let _ = caller::decode_answer(&bytes);
        let _ = backend::decode_answer(&bytes);
        let _ = control::decode::<ControlCall>(&bytes);
        key.unseal(&bytes).is_err()
    }
    holds(property as fn(Vec<u8>) -> bool);
}

#[test]
fn the_key_of_another_fleet_unseals_nothing() {
    let sealed = FleetKey::open([1; 32]).seal(&envelope("b")).unwrap();
    assert_eq!(FleetKey::open([2; 32]).unseal(&sealed), Err(SealError::Forged));
    let unsealed = FleetKey::open([1; 32]).unseal(&sealed);
    assert_eq!(unsealed, Ok(envelope("b")));
}

#[test]
fn a_refusal_gives_the_caller_the_reason() {
    use lagoonhollow_lib::value::reason::Reason;
    let answer = Answer::bare(Token::default(), Code::NotRun(Reason::Deadline));
    let raw = caller::encode_answer(9, &answer).unwrap();
    let (id, confirm, decoded) = caller::decode_answer(&raw).unwrap();
    assert_eq!((id, confirm), (9, false));
    assert_eq!(&*decoded.body, b"not run: deadline");
    assert!(matches!(decoded.code, Code::NotRun(_)));
}

#[test]
fn a_request_too_long_for_a_datagram_is_an_error() {
    let raw = caller::encode_request(&request(1, &[0; 2_000]));
    assert_eq!(raw, Err(CoapError::TooLong));
}
