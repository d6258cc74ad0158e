//! Why the backend servers of a service can't be offered a flow.

use crate::value::reason::Reason;

/// What kept a home from offering a flow to the members of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    evacuated: bool,
}

impl Shortage {
    /// Adds why one member can't be offered the flow.
    pub fn add(&mut self, reason: Reason) {
        self.evacuated |= reason == Reason::Evacuated;
    }

    /// Returns the reason for refusing the flow: without the evacuation it could have been
    /// served.
    pub fn reason(&self) -> Reason {
        if self.evacuated { Reason::Evacuated } else { Reason::NoBackend }
    }
}
