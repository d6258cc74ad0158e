//! What a home knows of the warm-up limits of other agents' backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::value::moment::Moment;

/// Age of a report from which on its number of openings says nothing: the limit applies to a
/// second, so some have become free since, and one offer tells more.
const REPORT_TTL: Duration = Duration::from_millis(250);

/// What one agent reported.
#[derive(Clone, Copy, Debug)]
struct Budget {
    openings: u16,
    // Flows offered since the report.
    placed: u16,
    reported: Moment,
    // Until when it declines, by its own words.
    full_until: Moment,
}

/// The agents whose backend servers are cold, so that homes choose others early. Answers the
/// load of many homes that offer flows to the same backend server.
#[derive(Debug, Default)]
pub struct ColdBackends {
    by_link: HashMap<SocketAddr, Budget>,
}

impl ColdBackends {
    /// Records how many flows an agent may still accept; `u16::MAX` without a limit.
    pub fn report(&mut self, link: SocketAddr, openings: u16, now: Moment) {
        if openings == u16::MAX {
            self.by_link.remove(&link);
            return;
        }
        let full_until = self.by_link.get(&link).map_or(now, |b| b.full_until);
        let full_until = if openings > 0 { now } else { full_until };
        self.by_link.insert(link, Budget { openings, placed: 0, reported: now, full_until });
    }

    /// Records that a flow is offered to an agent.
    pub fn charge(&mut self, link: SocketAddr) {
        if let Some(budget) = self.by_link.get_mut(&link) {
            budget.placed = budget.placed.saturating_add(1);
        }
    }

    /// Records that an agent declines flows for `wait`.
    pub fn decline(&mut self, link: SocketAddr, wait: Duration, now: Moment) {
        let full_until = now + wait;
        self.by_link.insert(link, Budget { openings: 0, placed: 0, reported: now, full_until });
    }

    /// Returns how long an agent will not accept a flow, as far as known; zero if it may now.
    pub fn wait(&self, link: SocketAddr, now: Moment) -> Duration {
        let Some(budget) = self.by_link.get(&link) else { return Duration::ZERO };
        if budget.full_until > now {
            return budget.full_until.since(now);
        }
        match budget.placed < budget.openings {
            true => Duration::ZERO,
            false => (budget.reported + REPORT_TTL).since(now),
        }
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Moment) {
        self.by_link.retain(|_, b| b.full_until > now || now.since(b.reported) < REPORT_TTL);
    }
}
