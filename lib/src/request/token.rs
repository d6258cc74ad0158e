//! Tokens that match answers to requests.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// A caller's token: up to eight bytes that are opaque to all other processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub Arc<[u8]>);
