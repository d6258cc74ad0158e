//! Identity of one run of a process.

use serde::Deserialize;
use serde::Serialize;

/// One run of a process: the Unix time of its start in microseconds.
///
/// A restarted process has a greater incarnation, which tells the state of its
/// current run from that of earlier runs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);
