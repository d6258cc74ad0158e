//! A large configuration changes in quick succession while the store turns away the machines that
//! read it most.

use std::net::Ipv4Addr;
use std::net::UdpSocket;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::Record;
use review_standins_2::fleet::Fleet;
use review_standins_2::packet;
use review_standins_2::packet::ACK;
use review_standins_2::packet::FIN;
use review_standins_2::packet::Flow;
use review_standins_2::packet::Packet;
use review_standins_2::packet::RST;
use review_standins_2::packet::SYN;
use review_standins_2::site;

const ENTRIES: u8 = 3;
const AGENTS: u8 = 7;
/// Routes without traffic, how many a growth of the configuration adds, and how often it grows.
const IDLE_ROUTES: u32 = 8;
const GROWTH: u32 = 388;
const GROWTHS: u32 = 5;
/// Two storms of 2 s, with a change each 80 ms.
const CHANGES: u64 = 50;
const GAP: Duration = Duration::from_millis(80);
/// For how long the machines are turned away.
const AWAY: Duration = Duration::from_millis(5_000);
/// `config_apply_ms` and `stable_window_ms` of the small sites.
const APPLY_S: f64 = 3.0;
const STABLE_S: f64 = 4.0;
/// When the routes that each version adds are tried, after the last change.
const TRY_S: f64 = 13.0;

fn main() {
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the record's path")));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let code = run(trouble, &record);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

fn text(version: u64, routes: u32, last: Option<(Ipv4Addr, u16)>) -> String {
    let names: Vec<_> = (0..routes).map(|i| format!("r-{:07x}", i * 37 + 0x0a3_b771)).collect();
    let address = |i: u32| (Ipv4Addr::new(127, 18, 4 + (i / 200) as u8, (i % 200) as u8), 8_443);
    let idle =
        names.iter().enumerate().map(|(i, n)| (n.as_str(), address(i as u32), site::SERVICE));
    let own = [("report", site::ROUTE, site::SERVICE)];
    let new = last.map(|address| ("newest", address, site::SERVICE));
    let routes: Vec<_> = own.into_iter().chain(idle).chain(new).collect();
    site::config(version, &routes, &[site::SERVICE])
}

fn run(trouble: bool, record: &Record) -> i32 {
    let Some(mut fleet) = Fleet::open(ENTRIES, AGENTS, &[], record) else { return 2 };
    sleep(Duration::from_secs(2));
    let mut version = 20;
    fleet.store.put("op/config", &text(version, IDLE_ROUTES, None));
    sleep(Duration::from_secs(3));
    for i in 1..=GROWTHS {
        version += 3;
        let large = text(version, IDLE_ROUTES + GROWTH * i, None);
        record.line(&format!("the configuration grows to {} bytes", large.len()));
        fleet.store.put("op/config", &large);
        sleep(Duration::from_secs(1));
    }
    let routes = IDLE_ROUTES + GROWTH * GROWTHS;
    // The growth is long over when the storm begins.
    sleep(Duration::from_secs(22));
    let readers = fleet.store.readers();
    if trouble {
        // A third of the machines, those that read the store most first.
        let away: Vec<_> = readers.iter().take(3).copied().collect();
        record.line(&format!("the store turns machines {away:?} away"));
        fleet.store.turn_away(&away);
        sleep(Duration::from_millis(400));
    }
    let away = Instant::now();
    let newest = (Ipv4Addr::new(127, 18, 1, 77), 443);
    for i in 0..CHANGES {
        let due = away + GAP * i as u32;
        sleep(due.saturating_duration_since(Instant::now()));
        version += 2;
        // The last change adds a route.
        let last = (i + 1 == CHANGES).then_some(newest);
        let revision = fleet.store.put("op/config", &text(version, routes, last));
        record.line(&format!("the store accepts version {version} at revision {revision}"));
    }
    let changed = record.now();
    sleep((away + AWAY).saturating_duration_since(Instant::now()));
    let restored = record.now();
    if trouble {
        fleet.store.turn_away(&[]);
        record.line("the store serves all machines again");
    }
    // Each entry is tried each half second: how does it handle the new route?
    let socket = UdpSocket::bind((fleet.site.client_ip(0), fleet.site.callers())).unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let (mut port, mut broken, mut served, mut known) = (30_000, 0, 0, 0);
    while record.now() < changed + TRY_S {
        for entry in 0..ENTRIES {
            for (route, is_new) in [(newest, true), (site::ROUTE, false)] {
                port += 1;
                let outcome = open(&fleet, &socket, entry, port, route);
                let (at, since) = (record.now(), record.now() - changed);
                // All machines are in touch again once the store has been stable.
                let counts = since > APPLY_S + 0.5 && at > restored + STABLE_S + 0.5;
                record.line(&format!(
                    "entry {entry}, route {}: {outcome}, {since:.2} s after the last version, \
                     counts {counts}",
                    if is_new { "newest" } else { "report" }
                ));
                if is_new && counts {
                    broken += u32::from(outcome == "refused");
                    known += u32::from(outcome == "opened");
                } else if !is_new {
                    served += u32::from(outcome == "opened");
                }
            }
        }
        sleep(Duration::from_millis(500));
    }
    if broken > 0 {
        record.line(&format!(
            "VIOLATION CONFIG {broken} flows on the new route were refused, {known} opened, later \
             than {APPLY_S} s after the acknowledgement and with the store stable for {STABLE_S} s"
        ));
    }
    record.line(&format!("{served} flows on the old route opened"));
    fleet.end();
    if served == 0 {
        return 2;
    }
    i32::from(broken > 0)
}

/// Opens a flow through an entry and closes it; returns what became of it.
fn open(
    fleet: &Fleet,
    socket: &UdpSocket,
    entry: u8,
    port: u16,
    route: (Ipv4Addr, u16),
) -> &'static str {
    let flow = Flow { client: (fleet.site.client_ip(0), port), route };
    let to = (fleet.site.entry_ip(entry), fleet.site.callers());
    let isn = u32::from(port) * 7_919;
    let syn = Packet { flow, flags: SYN, seq: isn, ack: 0, data: Vec::new() };
    let _ = socket.send_to(&packet::encode(&syn, true), to);
    let mut buffer = [0; 2_048];
    let end = Instant::now() + Duration::from_millis(300);
    while Instant::now() < end {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else { break };
        let Ok((p, _)) = packet::decode(&buffer[..length], false) else { return "corrupted" };
        if p.flow != flow {
            continue;
        }
        if p.has(RST) {
            return "refused";
        }
        if p.has(SYN) {
            let (seq, ack) = (isn.wrapping_add(1), p.seq.wrapping_add(1));
            for flags in [ACK, ACK | FIN] {
                let p = Packet { flow, flags, seq, ack, data: Vec::new() };
                let _ = socket.send_to(&packet::encode(&p, true), to);
            }
            return "opened";
        }
    }
    "no answer"
}
