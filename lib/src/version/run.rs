//! Identity of one run of a backend server.

use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::value::name::Name;

/// One run of the backend server with this name. Runs of one name are ordered by their
/// start; runs of different names are not ordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Name under which the backend server registered.
    pub name: Name,
    /// Unix time of the start in milliseconds, by the backend server's clock.
    pub start: u64,
}

impl PartialOrd for Run {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        (self.name == other.name).then(|| self.start.cmp(&other.start))
    }
}
