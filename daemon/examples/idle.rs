//! Measures what idle agents cost: `idle COUNT [SECONDS]` starts one service with
//! COUNT agents in one process and prints CPU time, memory and control bytes of
//! each agent.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use lagoonhollow_daemon::process::daemon::Daemon;
use lagoonhollow_daemon::process::log;
use lagoonhollow_daemon::process::settings::Level;
use lagoonhollow_daemon::process::settings::Settings;
use lagoonhollow_testutils::fleet::Service;
use lagoonhollow_testutils::loopback;
use lagoonhollow_testutils::platform::Platform;

/// Clock ticks per second, the unit of CPU times in `/proc`.
const TICKS: f64 = 100.0;
/// Size of a memory page in bytes.
const PAGE: u64 = 4_096;

fn main() -> ExitCode {
    let number = |at: usize| std::env::args().nth(at).and_then(|a| a.parse::<u64>().ok());
    match run(number(1).unwrap_or(4) as usize, number(2).unwrap_or(15)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("idle: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(count: usize, seconds: u64) -> Result<(), Box<dyn Error>> {
    log::open(Level::Error)?;
    let platform = Platform::spawn(SocketAddr::new(loopback::next(), 8080))?;
    let service = Service::open("idle", count, 4, Duration::from_secs(2));
    platform.publish(vec![service.doc.clone()]);
    let before = resident_bytes();
    let mut daemons = Vec::new();
    for host in &service.hosts {
        let text = host.agent_settings(&platform.url(), &[]);
        daemons.push(Daemon::spawn(Settings::parse(&host.name, &text)?)?);
    }
    std::thread::sleep(Duration::from_secs(8));
    let sent = |daemons: &[Daemon]| daemons.iter().map(Daemon::control_bytes).sum::<u64>();
    let (start, bytes) = (cpu_seconds()?, sent(&daemons));
    std::thread::sleep(Duration::from_secs(seconds));
    let used = cpu_seconds()? - start;
    let bytes = sent(&daemons) - bytes;
    let each = (count as u64 * seconds) as f64;
    println!(
        "agents={count} core_percent_each={:.3} memory_kb_each={} control_bytes_per_second_each={:.0} platform_calls={}",
        100.0 * used / each,
        (resident_bytes() - before) / 1_024 / count as u64,
        bytes as f64 / each,
        platform.calls()
    );
    daemons.iter_mut().for_each(Daemon::drain);
    daemons.into_iter().for_each(Daemon::join);
    platform.stop();
    Ok(())
}

/// Returns the user and system CPU time of this process in seconds.
fn cpu_seconds() -> Result<f64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<_> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(ticks as f64 / TICKS)
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
