//! Revisions of what a source of backend servers holds.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Bits of the encoded form that hold the number; those above hold the epoch.
const NUMBER_BITS: u32 = 40;
/// Epoch of a source that has not come back from a copy, if it states its epoch; one that
/// states none is in epoch 0.
pub const FIRST_EPOCH: u32 = 1;

/// A revision of a source. Numbers count up within an epoch; a source that lost writes and
/// gives their numbers out again begins a new epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{epoch}.{number}")]
#[serde(from = "u64", into = "u64")]
pub struct Revision {
    /// The epoch, which decides first which of two revisions is later.
    pub epoch: u32,
    /// The number within the epoch.
    pub number: u64,
}

/// The encoded form keeps the order, so a process that takes it for a plain number is
/// not misled.
impl From<Revision> for u64 {
    fn from(revision: Revision) -> Self {
        let number = revision.number.min((1 << NUMBER_BITS) - 1);
        (u64::from(revision.epoch) << NUMBER_BITS) | number
    }
}

impl From<u64> for Revision {
    fn from(encoded: u64) -> Self {
        let epoch = (encoded >> NUMBER_BITS) as u32;
        Self { epoch, number: encoded & ((1 << NUMBER_BITS) - 1) }
    }
}
