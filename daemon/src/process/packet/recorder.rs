//! Decisions in the log, within a budget.

use std::collections::HashMap;
use std::time::Duration;

use lagoonhollow_lib::front::packet::event::Decision;
use lagoonhollow_lib::front::packet::event::Event;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::value::moment::Moment;

/// Lines of each decision that are written in a [`SPAN`].
const BUDGET: u32 = 20;
/// Time after which the budget is renewed.
const SPAN: Duration = Duration::from_secs(1);

/// Writes decisions to the log, so many of each kind in a second, and counts
/// what it leaves out.
#[derive(Debug, Default)]
pub struct Recorder {
    since: Moment,
    used: HashMap<Decision, u32>,
}

impl Recorder {
    /// Writes one line, or counts it as left out.
    pub fn record(&mut self, event: &Event, known: KnownVersions, now: Moment) {
        if !spdlog::default_logger().should_log(level(event.decision)) {
            return;
        }
        self.renew(now);
        let used = self.used.entry(event.decision).or_insert(0);
        *used += 1;
        if *used > BUDGET {
            return;
        }
        let absent = || "-".to_owned();
        let reason = event.reason.map_or_else(absent, |r| r.to_string());
        let (caller, service) = match event.flow {
            Some(flow) => (flow.caller.to_string(), flow.service.to_string()),
            None => (absent(), absent()),
        };
        let peer = event.peer.map_or_else(absent, |p| p.ip().to_string());
        let KnownVersions { routes, roster } = known;
        spdlog::log!(level(event.decision), "{}", event.decision, kv: {
            caller, service, reason, peer, value = event.value, routes, roster
        });
    }

    /// Writes how many lines were left out, if the budget is due.
    pub fn renew(&mut self, now: Moment) {
        if now.since(self.since) < SPAN {
            return;
        }
        self.since = now;
        for (decision, used) in self.used.drain() {
            if used > BUDGET {
                let left_out = used - BUDGET;
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
