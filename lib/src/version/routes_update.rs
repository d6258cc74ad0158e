//! What brings a process from earlier routes to later ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::route::Route;
use super::routes::Published;
use super::service::Service;

/// What a process sends to one that knows an earlier version of the routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RoutesUpdate {
    /// All routes, for a process that knows none or too early ones.
    Whole(Published),
    /// What differs from the version that the process knows.
    Changes(RoutesChanges),
}

/// The difference between two versions of the routes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutesChanges {
    /// The version that these changes follow.
    pub from: u64,
    /// The version that they lead to.
    pub to: u64,
    /// Time in milliseconds after which an unused flow may be forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
    /// Routes that were added or changed.
    pub set: Vec<Route>,
    /// Addresses whose routes were dropped.
    pub dropped: Vec<SocketAddr>,
    /// The services, if they differ.
    pub services: Option<Vec<Service>>,
}

impl RoutesChanges {
    /// Returns the difference between two versions.
    pub fn between(old: &Published, new: &Published) -> Self {
        let before: BTreeMap<_, _> = old.routes.iter().map(|r| (r.address, r)).collect();
        let after: BTreeSet<_> = new.routes.iter().map(|r| r.address).collect();
        let set = new.routes.iter().filter(|r| before.get(&r.address) != Some(r));
        let dropped = before.keys().filter(|a| !after.contains(*a));
        Self {
            from: old.version,
            to: new.version,
            idle: new.idle,
            set: set.cloned().collect(),
            dropped: dropped.copied().collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
        }
    }

    /// Returns the routes to which these changes lead; none if they follow another version
    /// than `old`.
    pub fn apply(self, old: &Published) -> Option<Published> {
        if old.version != self.from {
            return None;
        }
        let replaced: BTreeSet<_> =
            self.dropped.into_iter().chain(self.set.iter().map(|r| r.address)).collect();
        let kept = old.routes.iter().filter(|r| !replaced.contains(&r.address)).cloned();
        Some(Published {
            version: self.to,
            idle: self.idle,
            routes: kept.chain(self.set).collect(),
            services: self.services.unwrap_or_else(|| old.services.clone()),
        })
    }
}
