//! Calls between processes over a control connection.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a call or reply in bytes: the manifest of the largest fleet.
pub const MAX_MESSAGE: usize = 8 << 20;

/// A call to another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCall {
    /// Asks for the changes to the manifest after a version.
    Pull {
        /// The sender's manifest version, 0 for none.
        known: u64,
    },
    /// Delivers an envelope.
    Deliver {
        /// The sealed envelope.
        sealed: Vec<u8>,
    },
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// There is no later version, or the envelope was received.
    Done,
    /// The changes after the version in the call.
    Delta {
        /// Index of the later version.
        index: Index,
        /// Documents that changed after the version in the call.
        docs: Vec<Arc<Doc>>,
    },
}

/// A call or reply could not be encoded or decoded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a control message")]
pub struct ControlError;

/// Encodes a call or reply.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, ControlError> {
    postcard::to_stdvec(message).map_err(|_| ControlError)
}

/// Decodes a call or reply.
///
/// # Errors
///
/// Returns an error if the bytes are not such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ControlError> {
    postcard::from_bytes(bytes).map_err(|_| ControlError)
}
