//! Demonstrates the main use: two services whose packets arrive at random entries
//! while one backend server drains, another joins and an entry leaves.

#[path = "demo/callers.rs"]
mod callers;
#[path = "demo/fleet.rs"]
mod fleet;
#[path = "demo/totals.rs"]
mod totals;

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use callers::Workload;
use fleet::Fleet;

/// Time for which callers send requests.
const RUN_TIME: Duration = Duration::from_secs(12);
/// Time within which the last notification has to reach every channel.
const LAST_WAIT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool, Box<dyn std::error::Error>> {
    println!("starting a platform, 3 entries, 7 + 4 backend servers with their agents");
    let mut fleet = Fleet::spawn()?;
    fleet.wait_until_ready()?;
    println!("opening channels, then reports and downloads for {} s", RUN_TIME.as_secs());
    let workload = Workload::spawn(&fleet.addresses());
    workload.wait_for_channels();
    let start = Instant::now();
    let seconds = |s: u64| start + Duration::from_secs(s);

    sleep_until(seconds(2));
    println!("  2 s: alarm-0 drains");
    fleet.drain("alarm-0");
    sleep_until(seconds(5));
    let joined = fleet.join()?;
    println!("  5 s: {joined} joins");
    sleep_until(seconds(8));
    println!("  8 s: entry-2 leaves");
    fleet.remove_entry()?;
    sleep_until(start + RUN_TIME);
    println!(" 12 s: last notification, then the count");
    workload.stop_work();
    fleet.notify("last");
    workload.finish(LAST_WAIT);

    let totals = workload.count(&fleet);
    fleet.stop();
    println!("{totals}");
    println!("{}", totals.summary());
    Ok(totals.is_clean())
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
