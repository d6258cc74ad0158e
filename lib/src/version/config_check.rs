//! Check of a configuration before it is published.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::route::Route;
use super::routes::Published;
use super::service::Service;
use crate::value::findings::Findings;
use crate::value::name::Name;

/// Result of a check: what must be corrected, and what is probably not meant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigCheck {
    /// Entries that are invalid or that no process could follow.
    pub errors: Findings,
    /// Entries without effect, and limits that contradict each other.
    pub warnings: Findings,
}

impl ConfigCheck {
    /// Checks `published`. Flows live for at most `longest_flow`, if that is known.
    pub fn run(published: &Published, longest_flow: Option<Duration>) -> Self {
        let mut check = Self::default();
        if published.version == 0 {
            check
                .errors
                .add("version", "0 is the version of a process that has none; use 1 or more");
        }
        check.check_limits(published, longest_flow);
        check.check_routes(published);
        check.check_services(published);
        check
    }

    fn check_limits(&mut self, published: &Published, longest_flow: Option<Duration>) {
        let idle = published.idle;
        if idle.is_zero() {
            self.errors.add("limits", "the idle timeout is 0, so every flow is forgotten at once");
        }
        if let Some(longest) = longest_flow.filter(|longest| idle > *longest) {
            let problem = format!(
                "the idle timeout of {} ms never applies, since flows end after {} ms",
                idle.as_millis(),
                longest.as_millis()
            );
            self.warnings.add("limits", problem);
        }
    }

    fn check_routes(&mut self, published: &Published) {
        let services: BTreeSet<_> = published.services.iter().map(|s| &s.name).collect();
        let mut names: BTreeSet<&Name> = BTreeSet::new();
        // The last route of an address is the one that processes use.
        let last: BTreeMap<_, _> = published.routes.iter().map(|r| (r.address, &r.name)).collect();
        for route in &published.routes {
            let place = format!("route {}", route.name);
            if !names.insert(&route.name) {
                self.errors.add(&place, "another route has the same name");
            }
            if let Some(other) = last.get(&route.address).filter(|name| **name != &route.name) {
                let address = route.address;
                let problem = format!("never matches: route {other} has the address {address} too");
                self.warnings.add(&place, problem);
            }
            self.check_shares(&place, route, &services);
            self.check_times(&place, route);
        }
    }

    fn check_shares(&mut self, place: &str, route: &Route, services: &BTreeSet<&Name>) {
        if route.shares.iter().all(|s| s.weight == 0) {
            self.errors.add(place, "all weights are 0, so every flow is refused");
        }
        let mut seen = BTreeSet::new();
        for share in &route.shares {
            let service = &share.service;
            if !services.is_empty() && !services.contains(service) {
                self.errors.add(place, format!("service {service} is not configured"));
            }
            if !seen.insert(service) {
                self.warnings.add(place, format!("service {service} is listed twice"));
            }
            if share.weight == 0 && route.shares.len() > 1 {
                let problem = format!("service {service} has weight 0 and gets no new flows");
                self.warnings.add(place, problem);
            }
        }
    }

    fn check_times(&mut self, place: &str, route: &Route) {
        let (target, timeout) = (route.target_latency.as_millis(), route.timeout.as_millis());
        if timeout == 0 {
            self.errors.add(place, "the timeout is 0 ms, so every request is given up at once");
        } else if target > timeout {
            let problem =
                format!("the latency target of {target} ms lies after the timeout of {timeout} ms");
            self.warnings.add(place, problem);
        } else if target == 0 {
            self.warnings.add(place, "the latency target is 0 ms, so every answer is late");
        }
    }

    fn check_services(&mut self, published: &Published) {
        let routed: BTreeSet<_> = published.routes.iter().flat_map(Route::holders).collect();
        let mut names = BTreeSet::new();
        for service in &published.services {
            let place = format!("service {}", service.name);
            if !names.insert(&service.name) {
                self.errors.add(&place, "another service has the same name");
            }
            if !routed.contains(&service.name) {
                self.warnings.add(&place, "no route names it, so it gets no flows");
            }
            self.check_warm_up(&place, service);
        }
    }

    fn check_warm_up(&mut self, place: &str, service: &Service) {
        let Some(warm_up) = service.warm_up else { return };
        if !warm_up.rate.is_finite() || warm_up.rate < 0.0 {
            self.errors.add(place, format!("{} is not a rate of requests a second", warm_up.rate));
        } else if warm_up.rate > 0.0 && warm_up.period.is_zero() {
            self.warnings.add(place, "its warm-up rate never applies: the warm-up takes 0 ms");
        } else if warm_up.rate > 0.0 && warm_up.rate * warm_up.period.as_secs_f64() < 1.0 {
            let problem = "its warm-up rate allows less than one request during the warm-up";
            self.warnings.add(place, problem);
        }
    }
}
