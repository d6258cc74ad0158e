//! Identity of a request, the same for each of its retransmissions.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::connection::flow::FlowKey;

/// A caller's request: its flow and its message ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The flow.
    pub flow: FlowKey,
    /// The message ID, unique in the flow for one request lifetime.
    pub id: u16,
}

impl RequestKey {
    /// Returns a hash that is the same in every process.
    pub fn hash(&self) -> u64 {
        xxh3_64_with_seed(&self.id.to_be_bytes(), self.flow.hash())
    }
}
