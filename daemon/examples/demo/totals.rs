//! Counts of what callers and backend servers observed.

use std::fmt;

/// Counts taken by callers and backend servers, none by the daemons themselves.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub channels: u64,
    pub reports: u64,
    pub downloads: u64,
    pub refused: u64,
    pub unknown: u64,
    pub unanswered: u64,
    pub broken_flows: u64,
    pub misrouted: u64,
    pub double_runs: u64,
    pub false_not_run: u64,
    pub wrong_answers: u64,
    pub incomplete: u64,
    pub manifest_seconds: f64,
}

impl Totals {
    /// Returns whether all counts of what must never happen are 0.
    pub fn is_clean(&self) -> bool {
        let never = [
            self.broken_flows,
            self.misrouted,
            self.double_runs,
            self.false_not_run,
            self.wrong_answers,
            self.incomplete,
        ];
        never.iter().all(|n| *n == 0)
    }

    /// Returns the last line of the demo's output, in a form that programs can parse.
    pub fn summary(&self) -> String {
        format!(
            "channels={} reports={} downloads={} broken_flows={} misrouted={} double_runs={} \
             false_not_run={} wrong_answers={} incomplete={} manifest_seconds={:.2}",
            self.channels,
            self.reports,
            self.downloads,
            self.broken_flows,
            self.misrouted,
            self.double_runs,
            self.false_not_run,
            self.wrong_answers,
            self.incomplete,
            self.manifest_seconds
        )
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("channels open to the end", self.channels),
            ("reports accepted", self.reports),
            ("reports refused as not run", self.refused),
            ("reports with unknown outcome", self.unknown),
            ("reports without an answer", self.unanswered),
            ("downloads complete", self.downloads),
            ("broken flows", self.broken_flows),
            ("misrouted packets", self.misrouted),
            ("double runs", self.double_runs),
            ("refused as not run, but run", self.false_not_run),
            ("wrong answers", self.wrong_answers),
            ("incomplete downloads", self.incomplete),
        ];
        for (name, count) in rows {
            writeln!(f, "{name:<30} {count:>8}")?;
        }
        write!(f, "{:<30} {:>8.2}", "slowest manifest in s", self.manifest_seconds)
    }
}
