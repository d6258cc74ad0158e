//! Answers to callers, independent of their encoding.

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
    /// The request was completed and the answer has content.
    #[display("content")]
    Content,
    /// The request was completed and changed a resource.
    #[display("changed")]
    Changed,
    /// The request was not run, and no agent will run it.
    #[display("not run: {_0}")]
    NotRun(Reason),
    /// The request may or may not have run.
    #[display("outcome unknown: {_0}")]
    Unknown(Reason),
    /// Another code of the backend server, passed on unchanged.
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
    /// Sequence number of a notification on a channel.
    pub observe: Option<u32>,
    /// The block of a block-wise transfer that the body contains.
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
