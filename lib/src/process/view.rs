//! Routes and backend servers, as a process knows them.

use std::sync::Arc;

use crate::value::moment::Moment;
use crate::version::evacuations::Evacuations;
use crate::version::revision::Revision;
use crate::version::roster::Roster;
use crate::version::routes::InForce;
use crate::version::routes::Routes;

/// A snapshot that the control thread builds and shares with the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The routes in force; version 0 before the first.
    pub routes: Arc<Routes<InForce>>,
    /// The registered backend servers.
    pub roster: Arc<Roster>,
    /// The failure domains whose backend servers must get no new flows.
    pub evacuations: Arc<Evacuations>,
    /// Whether the knowledge is certainly current, so that a missing backend server is
    /// known to be gone.
    pub fresh: bool,
    /// Whether the source has just come back, so that backend servers may be missing that
    /// are about to register again.
    pub partial: bool,
    /// Time up to which no change of the source is missing.
    pub read_at: Moment,
    /// Time up to which no change of the registered backend servers is missing.
    pub members_at: Moment,
}

impl View {
    /// Returns whether any roster is known, so that a service without backend servers
    /// has none rather than none that this process has read.
    pub fn has_roster(&self) -> bool {
        self.roster.revision() != Revision::default()
    }

    /// Returns the time in milliseconds since a change of the source may be missing, none if
    /// it is unknown or backend servers may be missing.
    pub fn age_ms(&self, now: Moment) -> Option<u16> {
        // Rounded up, so that no later time is confirmed than is known.
        let age = now.since(self.read_at).as_micros().div_ceil(1_000);
        u16::try_from(age).ok().filter(|_| self.fresh)
    }
}
