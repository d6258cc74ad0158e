//! Why the backend servers of a service can't be offered a flow.

use std::time::Duration;

use super::decline::Decline;
use crate::value::reason::Reason;

/// What kept a home from offering a flow to the members of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    evacuated: bool,
    cold: Option<Duration>,
}

impl Shortage {
    /// Adds why one member can't be offered the flow.
    pub fn add(&mut self, why: Decline) {
        match why {
            Decline::Evacuated => self.evacuated = true,
            Decline::Cold { after_ms } => {
                let wait = Duration::from_millis(after_ms.into());
                self.cold = Some(self.cold.map_or(wait, |least| least.min(wait)));
            }
            _ => {}
        }
    }

    /// Adds that a member was offered the flow and declined for `reason`.
    pub fn add_declined(&mut self, reason: Reason) {
        self.evacuated |= reason == Reason::Evacuated;
    }

    /// Returns the time after which a cold backend server may accept the flow, if one is all
    /// that is left.
    pub fn wait(&self) -> Option<Duration> {
        self.cold
    }

    /// Returns the reason for refusing the flow, without which it could have been served.
    pub fn reason(&self) -> Reason {
        match (self.cold, self.evacuated) {
            (Some(_), _) => Reason::Cold,
            (None, true) => Reason::Evacuated,
            (None, false) => Reason::NoBackend,
        }
    }
}
