//! What differs between two configurations, and what that does to open flows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Serialize;

use super::route::Route;
use super::routes::Published;
use super::service::Service;
use crate::value::name::Name;

/// One difference.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{place}: {change}; {effect}")]
pub struct ConfigChange {
    /// The entry.
    pub place: String,
    /// What changes.
    pub change: String,
    /// What that does to open flows.
    pub effect: String,
}

/// The differences between the configuration in force and the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ConfigDiff(Vec<ConfigChange>);

impl ConfigDiff {
    /// Compares the configuration `next` with the one in force.
    pub fn between(in_force: &Published, next: &Published) -> Self {
        let mut diff = Self::default();
        diff.compare_limits(in_force, next);
        diff.compare_routes(in_force, next);
        diff.compare_services(in_force, next);
        diff
    }

    /// Returns the differences.
    pub fn changes(&self) -> &[ConfigChange] {
        &self.0
    }

    fn add(&mut self, place: impl Into<String>, change: impl Into<String>, effect: &str) {
        let (place, change) = (place.into(), change.into());
        self.0.push(ConfigChange { place, change, effect: effect.to_owned() });
    }

    fn compare_limits(&mut self, old: &Published, new: &Published) {
        if new.version != old.version {
            let effect = match new.version > old.version {
                true => "open flows stay",
                false => "every process ignores it, since versions only go up",
            };
            self.add("version", format!("{} to {}", old.version, new.version), effect);
        }
        if new.idle != old.idle {
            let effect = match new.idle < old.idle {
                true => "open flows that are unused for longer are forgotten",
                false => "open flows stay",
            };
            let change =
                format!("idle timeout {} to {} ms", old.idle.as_millis(), new.idle.as_millis());
            self.add("limits", change, effect);
        }
    }

    fn compare_routes(&mut self, old: &Published, new: &Published) {
        let (before, after) = (by_address(old), by_address(new));
        for (address, route) in &before {
            let place = format!("route {}", route.name);
            match after.get(address) {
                None => self.add(place, format!("dropped ({address})"), "its open flows end"),
                Some(next) => self.compare_route(route, next),
            }
        }
        for (address, route) in after.iter().filter(|(a, _)| !before.contains_key(a)) {
            let place = format!("route {}", route.name);
            self.add(place, format!("added ({address})"), "there are no flows yet");
        }
    }

    fn compare_route(&mut self, old: &Route, new: &Route) {
        let place = || format!("route {}", new.name);
        if old.name != new.name {
            self.add(place(), format!("renamed from {}", old.name), "open flows stay");
        }
        if old.shares != new.shares {
            let change = format!("services {} to {}", shares(old), shares(new));
            self.add(place(), change, "open flows stay where they are; new ones follow");
        }
        let times = [
            ("timeout", old.timeout, new.timeout),
            ("latency target", old.target_latency, new.target_latency),
        ];
        for (what, before, after) in times.into_iter().filter(|(_, b, a)| b != a) {
            let change = format!("{what} {} to {} ms", before.as_millis(), after.as_millis());
            self.add(place(), change, "the next requests on open flows follow");
        }
        if old.priority != new.priority {
            let change = format!("priority {} to {}", old.priority, new.priority);
            self.add(place(), change, "the next requests on open flows follow");
        }
    }

    fn compare_services(&mut self, old: &Published, new: &Published) {
        let (before, after) = (by_name(old), by_name(new));
        for (name, service) in &before {
            match after.get(name) {
                None => {
                    let effect = "open flows stay as long as a route names or named it";
                    self.add(format!("service {name}"), "dropped", effect);
                }
                Some(next) if next.warm_up != service.warm_up => {
                    let effect = "open flows stay";
                    self.add(format!("service {name}"), "other warm-up limit", effect);
                }
                Some(_) => {}
            }
        }
        for name in after.keys().filter(|n| !before.contains_key(*n)) {
            self.add(format!("service {name}"), "added", "there are no flows yet");
        }
    }
}

fn by_address(published: &Published) -> BTreeMap<SocketAddr, &Route> {
    published.routes.iter().map(|r| (r.address, r)).collect()
}

fn by_name(published: &Published) -> BTreeMap<&Name, &Service> {
    published.services.iter().map(|s| (&s.name, s)).collect()
}

fn shares(route: &Route) -> String {
    let shares = route.shares.iter().map(|s| format!("{} ({})", s.service, s.weight));
    shares.collect::<Vec<_>>().join(", ")
}
