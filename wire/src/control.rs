//! Calls between processes over a control connection.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest call or answer in bytes: the whole manifest of the largest fleet.
pub const MAX_MESSAGE: usize = 8 << 20;

/// A call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCall {
    /// Asks for everything that changed after a version.
    Pull {
        /// The caller's version, 0 for none.
        known: u64,
    },
    /// Hands over a sealed envelope.
    Deliver {
        /// The sealed envelope.
        sealed: Vec<u8>,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Nothing newer is known, or the envelope was taken.
    Done,
    /// What changed.
    Delta {
        /// The later index.
        index: Index,
        /// Documents that changed since.
        docs: Vec<Arc<Doc>>,
    },
}

/// The bytes are no call or answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a control message")]
pub struct ControlError;

/// Encodes a call or its answer.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, ControlError> {
    postcard::to_stdvec(message).map_err(|_| ControlError)
}

/// Decodes a call or its answer.
///
/// # Errors
///
/// Returns an error if the bytes are no such message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ControlError> {
    postcard::from_bytes(bytes).map_err(|_| ControlError)
}
