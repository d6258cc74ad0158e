//! What callers send, independent of its encoding.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::token::Token;
use crate::value::name::Name;

/// Method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Method {
    /// Reads; idempotent.
    Get,
    /// Submits a report or order; not idempotent.
    Post,
    /// Replaces; idempotent.
    Put,
    /// Removes; idempotent.
    Delete,
}

impl Method {
    /// Returns whether running a request twice has the same effect as running it once.
    pub fn is_idempotent(self) -> bool {
        self != Self::Post
    }
}

/// One block of a block-wise transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Number of the block.
    pub number: u32,
    /// Whether more blocks follow.
    pub more: bool,
    /// Exponent of the block size: a block has 2^(`size` + 4) bytes.
    pub size: u8,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Message ID.
    pub id: u16,
    /// Token that the answer carries.
    pub token: Token,
    /// Method.
    pub method: Method,
    /// Path, without a leading slash.
    pub path: Name,
    /// Whether a channel is opened (true) or closed (false).
    pub observe: Option<bool>,
    /// The requested block.
    pub block: Option<Block>,
    /// The body, as the caller sent it.
    pub body: Arc<[u8]>,
}

/// What a packet from a caller contains.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A request.
    Request(Request),
    /// An acknowledgement of the notification with this message ID.
    Acknowledge(u16),
    /// A refusal of the notification with this message ID.
    Reset(u16),
}

impl Content {
    /// Returns whether a packet with this content may start a flow.
    pub fn may_open(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}
