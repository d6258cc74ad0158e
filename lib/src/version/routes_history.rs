//! The last versions of the routes that were in force.

use std::collections::VecDeque;
use std::sync::Arc;

use super::routes::InForce;
use super::routes::Routes;
use super::routes_update::RoutesChanges;
use super::routes_update::RoutesUpdate;

/// Number of versions that are kept. Processes ask for later versions several times a second,
/// so few are further behind.
const MAX_VERSIONS: usize = 4;

/// The last versions of the routes, so that other processes can be sent what changed.
///
/// Answers the load of changes in quick succession: each is read by all processes, and a
/// configuration of some hundred routes is a hundred times as long as one change.
#[derive(Debug, Default)]
pub struct RoutesHistory {
    versions: VecDeque<Arc<Routes<InForce>>>,
}

impl RoutesHistory {
    /// Adds the version that is in force now.
    pub fn add(&mut self, routes: Arc<Routes<InForce>>) {
        if self.versions.len() >= MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back(routes);
    }

    /// Returns what brings a process at `version` to the latest one; none if there is none
    /// later.
    pub fn update_since(&self, version: u64) -> Option<RoutesUpdate> {
        let latest = self.versions.back().filter(|r| r.version() > version)?.published();
        let known = self.versions.iter().find(|r| r.version() == version);
        Some(match known {
            Some(known) => RoutesUpdate::Changes(RoutesChanges::between(known.published(), latest)),
            None => RoutesUpdate::Whole(latest.clone()),
        })
    }
}
