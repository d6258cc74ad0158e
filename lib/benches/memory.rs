//! Bytes held per flow, service, backend server and grant, at three sizes each.
//!
//! Each size runs in a process of its own, which reads its resident memory.

#[path = "speed/steps.rs"]
#[allow(dead_code)]
mod steps;

use std::process::Command;
use std::process::ExitCode;

use steps::Step;

/// Size of a page in bytes, the unit of `/proc/self/statm`.
const PAGE: u64 = 4_096;

/// Kinds of state, each with the counts to measure.
const CASES: [(&str, [u32; 3]); 4] = [
    ("service with 4 backend servers", [425, 850, 1_700]),
    ("backend server more in 400 services", [4, 8, 16]),
    ("flow", [10_000, 20_000, 40_000]),
    ("grant", [10_000, 20_000, 40_000]),
];

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    if let Some(at) = arguments.iter().position(|a| a == "--held") {
        println!("{}", measure_here(&arguments[at + 1], arguments[at + 2].parse().unwrap_or(1)));
        return ExitCode::SUCCESS;
    }
    println!("{:<38} {:>8} {:>14} {:>14}", "held", "count", "resident bytes", "bytes each");
    for (what, counts) in CASES {
        let mut last: Option<(u32, u64)> = None;
        for count in counts {
            let Some(bytes) = measure(what, count) else { return ExitCode::FAILURE };
            let each = last.map(|(n, b)| bytes.saturating_sub(b) / u64::from(count - n));
            let each = each.map_or(String::new(), |e| e.to_string());
            println!("{what:<38} {count:>8} {bytes:>14} {each:>14}");
            last = Some((count, bytes));
        }
    }
    ExitCode::SUCCESS
}

fn measure(what: &str, count: u32) -> Option<u64> {
    let program = std::env::current_exe().ok()?;
    let output = Command::new(program).args(["--held", what, &count.to_string()]).output().ok()?;
    String::from_utf8(output.stdout).ok()?.trim().parse().ok()
}

fn measure_here(what: &str, count: u32) -> u64 {
    let mut step = match what {
        "flow" => Step::open_flow(4),
        "grant" => Step::grant(4),
        "backend server more in 400 services" => Step::route(400, count as u16),
        _ => Step::route(count as u16, 4),
    };
    // Every agent is used at least once, as an entry does over time.
    let repeats = if matches!(what, "flow" | "grant") { count } else { 40_000 };
    (0..repeats).for_each(|_| step.run());
    let bytes = resident();
    step.run();
    bytes
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
