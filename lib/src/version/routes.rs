//! The operator's routes in one version.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::route::Route;
use super::service::Service;
use super::service::WarmUp;
use crate::value::name::Name;

/// Maximum number of former services remembered for one route.
const MAX_FORMER: usize = 4;

/// Routes as they were read from a source.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// Version; a later one has a higher number.
    pub version: u64,
    /// Time in milliseconds after which an unused flow may be forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that backend servers may be of; any, if the source lists none.
    #[serde(default)]
    pub services: Vec<Service>,
}

impl Published {
    /// Returns the services that backend servers may be of, with those that may still
    /// hold flows of a route; none if the source lists none.
    pub fn known_services(&self) -> Option<BTreeSet<&Name>> {
        let holders = self.routes.iter().flat_map(Route::holders);
        let known = || self.services.iter().map(|s| &s.name).chain(holders).collect();
        (!self.services.is_empty()).then(known)
    }

    /// Returns what cold backend servers of a service bear, if the source says so.
    pub fn warm_up(&self, service: &Name) -> Option<WarmUp> {
        self.services.iter().find(|s| s.name == *service)?.warm_up
    }
}

/// Routes in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    by_address: HashMap<SocketAddr, Arc<Route>>,
    // Routes of the previous version whose addresses this one lacks.
    dropped: HashMap<SocketAddr, Arc<Route>>,
    // The first version that this process put in force.
    first: u64,
}

/// Routes in state `S`; a version that is in force has been compared with the
/// previous one.
#[derive(Clone, Debug, Default)]
pub struct Routes<S> {
    published: Published,
    state: S,
}

impl Routes<()> {
    /// Opens routes that were read from a source.
    pub fn open(published: Published) -> Self {
        Self { published, state: () }
    }

    /// Puts the routes in force after `before`.
    pub fn enforce(mut self, before: &Routes<InForce>) -> Routes<InForce> {
        let old = &before.state.by_address;
        for route in &mut self.published.routes {
            if let Some(old) = old.get(&route.address) {
                remember(route, old);
            }
        }
        let by_address: HashMap<_, _> =
            self.published.routes.iter().map(|r| (r.address, Arc::new(r.clone()))).collect();
        let gone = |address: &SocketAddr| !by_address.contains_key(address);
        let dropped = old.iter().filter(|(a, _)| gone(a)).map(|(a, r)| (*a, r.clone())).collect();
        let first = if before.version() == 0 { self.version() } else { before.state.first };
        Routes { published: self.published, state: InForce { by_address, dropped, first } }
    }
}

impl<S> Routes<S> {
    /// Returns the version's number.
    pub fn version(&self) -> u64 {
        self.published.version
    }

    /// Returns what was published, with the former services of each route.
    pub fn published(&self) -> &Published {
        &self.published
    }
}

impl Routes<InForce> {
    /// Returns the route of `address`.
    pub fn route(&self, address: SocketAddr) -> Option<&Arc<Route>> {
        self.state.by_address.get(&address)
    }

    /// Returns whether the previous version had a route of `address` and this one
    /// has none.
    pub fn dropped(&self, address: SocketAddr) -> bool {
        self.state.dropped.contains_key(&address)
    }

    /// Returns the first version that this process put in force. Of earlier ones it knows only
    /// what other processes have told it.
    pub fn first_version(&self) -> u64 {
        self.state.first
    }

    /// Returns the number of routes.
    pub fn count(&self) -> usize {
        self.published.routes.len()
    }
}

/// Remembers the services that `old` sent flows to and `route` does not.
fn remember(route: &mut Route, old: &Route) {
    let now: Vec<Name> = route.shares.iter().map(|s| s.service.clone()).collect();
    for service in old.holders() {
        if !now.contains(service) && !route.former.contains(service) {
            route.former.push(service.clone());
        }
    }
    route.former.truncate(MAX_FORMER);
}
