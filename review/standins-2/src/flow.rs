//! The check of FLOW.

use crate::Record;
use crate::backend::Run;
use crate::client::Seen;

/// `max_flow_s` and `idle_timeout_ms`.
const MAX_FLOW_S: f64 = 60.0;
const IDLE_S: f64 = 12.0;

/// Counts the flows of the backend that the system reset while the backend lived.
pub fn reset_flows(seen: &[Seen], runs: &[Run], event: f64, ended: f64, record: &Record) -> usize {
    let mut count = 0;
    for reset in seen.iter().flat_map(|s| &s.resets) {
        let prefix = format!("{}-{}-", reset.name, reset.port);
        let own = runs.iter().any(|r| r.id.starts_with(&prefix));
        let (age, idle) = (reset.at - reset.opened, reset.at - reset.used);
        let counts = own && reset.system && reset.at < ended && age < MAX_FLOW_S && idle < IDLE_S;
        if counts {
            count += 1;
            record.line(&format!(
                "VIOLATION FLOW port {} of {} was reset {:.3} s after the event, age \
                 {age:.1} s, idle {idle:.1} s; the backend held it",
                reset.port,
                reset.name,
                reset.at - event
            ));
        }
    }
    record.line(&format!("{count} flows of the backend were reset while it lived"));
    count
}
