//! Log of decisions, limited in its rate.

use std::collections::HashMap;
use std::time::Duration;

use lagoonhollow_lib::connection::search_range::SearchRange;
use lagoonhollow_lib::connection::unresolved::SearchOutcome;
use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_lib::front::packet::event::Event;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;

/// Maximum number of lines of each decision in a [`WINDOW`].
const LINES_PER_WINDOW: u32 = 20;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Writes decisions to the log, a limited number of each kind per second, and
/// counts those that it leaves out.
#[derive(Debug, Default)]
pub struct DecisionLog {
    window_start: Moment,
    counts: HashMap<Decision, u32>,
}

impl DecisionLog {
    /// Writes one line, or counts it as left out if the budget is used up.
    pub fn record(&mut self, event: &Event, known: KnownVersions, now: Moment) {
        if !spdlog::default_logger().should_log(level(event.decision)) {
            return;
        }
        self.renew_budget(now);
        let count = self.counts.entry(event.decision).or_insert(0);
        *count += 1;
        if *count > LINES_PER_WINDOW {
            return;
        }
        let absent = || "-".to_owned();
        let reason = event.reason.map_or_else(absent, |r| r.to_string());
        let (caller, service) = match event.flow {
            Some(flow) => (flow.caller.to_string(), flow.service.to_string()),
            None => (absent(), absent()),
        };
        let peer = event.peer.map_or_else(absent, |p| p.ip().to_string());
        let drawn = event.service.as_ref().map_or_else(absent, |s| s.to_string());
        let KnownVersions { routes, roster, evacuations } = known;
        if let Some(range) = &event.range {
            let SearchRange { services, covered, listed, first_routes } = range.clone();
            let services: Vec<_> = services.iter().map(Name::as_str).collect();
            let services = services.join(",");
            let SearchOutcome { silent, unsure, unasked } = event.outcome.unwrap_or_default();
            spdlog::log!(level(event.decision), "{}", event.decision, kv: {
                caller, service, reason, peer, value = event.value, silent, unsure, unasked, services, covered, listed, first_routes, routes, roster:, evacuations:
            });
            return;
        }
        spdlog::log!(level(event.decision), "{}", event.decision, kv: {
            caller, service, drawn, reason, peer, value = event.value, routes, roster:, evacuations:
        });
    }

    /// Renews the budget if its window has ended, and logs how many lines were left
    /// out.
    pub fn renew_budget(&mut self, now: Moment) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        self.window_start = now;
        for (decision, count) in self.counts.drain() {
            if count > LINES_PER_WINDOW {
                let left_out = count - LINES_PER_WINDOW;
                let of = decision.to_string();
                spdlog::info!("left_out", kv: { of, left_out });
            }
        }
    }
}

fn level(decision: Decision) -> spdlog::Level {
    match decision {
        Decision::Placed | Decision::Opened => spdlog::Level::Debug,
        Decision::BackendDead | Decision::BackendSilent => spdlog::Level::Warn,
        _ => spdlog::Level::Info,
    }
}
