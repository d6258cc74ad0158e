//! Ownership of a flow, and which of two ownerships prevails.

use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::value::name::Name;

/// The owner of a flow, with when the flow was placed and how often it was moved
/// since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Unix time of the placement in microseconds.
    pub placed_at: u64,
    /// Number of planned moves since then.
    pub moves: u16,
    /// Agent that owns the flow.
    pub owner: Name,
}

impl Ownership {
    /// Returns whether this ownership prevails over `other`.
    ///
    /// The older placement prevails; of one placement, the last planned move does.
    /// The owner's name breaks ties.
    pub fn prevails(&self, other: &Self) -> bool {
        let by_age = other.placed_at.cmp(&self.placed_at);
        let by_moves = self.moves.cmp(&other.moves);
        let by_name = other.owner.cmp(&self.owner);
        by_age.then(by_moves).then(by_name) == Ordering::Greater
    }
}
