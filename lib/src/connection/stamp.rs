//! Age of an ownership, which decides between two owners.

use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::value::name::Name;

/// When a flow was placed and how often it was moved since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Unix time of the placement in microseconds.
    pub born: u64,
    /// Planned moves since then.
    pub moves: u16,
    /// Agent that owns the flow.
    pub owner: Name,
}

impl Stamp {
    /// Returns whether this ownership prevails over `other`.
    ///
    /// The older placement prevails; of one placement, the last planned move does.
    pub fn prevails(&self, other: &Self) -> bool {
        let by_age = other.born.cmp(&self.born);
        let by_moves = self.moves.cmp(&other.moves);
        let by_name = other.owner.cmp(&self.owner);
        by_age.then(by_moves).then(by_name) == Ordering::Greater
    }
}
