//! What callers are answered, apart from its encoding.

use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::message::Block;
use super::token::Token;
use crate::value::reason::Reason;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Code {
    /// Done, with content.
    #[display("content")]
    Content,
    /// Done, with a change.
    #[display("changed")]
    Changed,
    /// Not run, and nobody will run it.
    #[display("not run: {_0}")]
    NotRun(Reason),
    /// It may have run or not.
    #[display("outcome unknown: {_0}")]
    Unknown(Reason),
    /// The backend server's own code, passed on.
    #[display("backend server code {_0:#04x}")]
    Other(u8),
}

/// An answer or notification for a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Token of the request.
    pub token: Token,
    /// Outcome.
    pub code: Code,
    /// Sequence number, on a channel.
    pub observe: Option<u32>,
    /// The block that the body is.
    pub block: Option<Block>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Returns an answer without a body.
    pub fn bare(token: Token, code: Code) -> Self {
        Self { token, code, observe: None, block: None, body: Arc::from([]) }
    }
}
