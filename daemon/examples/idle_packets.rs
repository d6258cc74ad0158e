//! Measures what an idle fleet of the packet front end costs:
//! `idle_packets ENTRIES AGENTS [SECONDS]` starts one service in one process and
//! prints control datagrams and bytes of each entry and agent, and calls to the
//! store.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use lagoonhollow_daemon::process::log;
use lagoonhollow_daemon::process::packet::daemon::PacketDaemon;
use lagoonhollow_daemon::process::packet::settings::PacketSettings;
use lagoonhollow_daemon::process::settings::Level;
use lagoonhollow_testutils::packets::site::Site;
use lagoonhollow_testutils::packets::store::Store;

/// Site number, part of the fleet's loopback addresses; no test uses this one.
const SITE: u8 = 99;
/// Most items in one answer of the store.
const PAGE: usize = 500;
/// Time for the fleet to settle before the measurement.
const SETTLE: Duration = Duration::from_secs(8);

/// Sums over all entries and agents, and calls to the store.
#[derive(Clone, Copy, Default)]
struct Sums {
    datagrams: u64,
    bytes: u64,
    calls: u64,
}

fn main() -> ExitCode {
    let number = |at: usize| std::env::args().nth(at).and_then(|a| a.parse::<u8>().ok());
    let (Some(entries), Some(agents)) = (number(1), number(2)) else {
        eprintln!("usage: idle_packets ENTRIES AGENTS [SECONDS]");
        return ExitCode::from(2);
    };
    match run(entries, agents, number(3).unwrap_or(20)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("idle_packets: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(entries: u8, agents: u8, seconds: u8) -> Result<(), Box<dyn Error>> {
    log::open(Level::Error)?;
    let site = Site::open(SITE);
    let store = Store::bind(site.store());
    store.set_page_size(PAGE);
    store.publish(&site.routes(1));
    let mut settings = Vec::new();
    for i in 0..agents {
        let member = site.member(i, 1);
        store.register(member.name.as_str(), &site.registry_entry(&member));
        settings.push(site.agent_settings(i));
    }
    settings.extend((0..entries).map(|i| site.entry_settings(i)));
    let mut daemons = Vec::new();
    for text in &settings {
        daemons.push(PacketDaemon::spawn(PacketSettings::parse("fleet", text)?)?);
    }
    std::thread::sleep(SETTLE);
    let before = sums(&daemons, &store);
    std::thread::sleep(Duration::from_secs(seconds.into()));
    let after = sums(&daemons, &store);
    let seconds = f64::from(seconds);
    let each = seconds * daemons.len() as f64;
    println!(
        "entries={entries} agents={agents} control_datagrams_per_second_each={:.1} \
         control_bytes_per_second_each={:.0} store_calls_per_second={:.2}",
        (after.datagrams - before.datagrams) as f64 / each,
        (after.bytes - before.bytes) as f64 / each,
        (after.calls - before.calls) as f64 / seconds
    );
    daemons.iter_mut().for_each(PacketDaemon::drain);
    daemons.into_iter().for_each(PacketDaemon::join);
    Ok(())
}

fn sums(daemons: &[PacketDaemon], store: &Store) -> Sums {
    let zero = Sums { calls: store.calls(), ..Sums::default() };
    daemons.iter().fold(zero, |sums, daemon| {
        let (datagrams, bytes) = daemon.control_sent();
        Sums { datagrams: sums.datagrams + datagrams, bytes: sums.bytes + bytes, ..sums }
    })
}
