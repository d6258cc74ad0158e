//! A backend drains and closes its health port, as a server does that leaves; its open flows stay.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::sleep;
use std::time::Duration;

use review_standins_2::Record;
use review_standins_2::client;
use review_standins_2::client::End;
use review_standins_2::client::Kind;
use review_standins_2::fleet::Fleet;
use review_standins_2::flow::reset_flows;
use review_standins_2::site;

const ENTRIES: u8 = 3;
const AGENTS: u8 = 7;
/// `drain_timeout_ms`, and for how long the backend serves beyond it.
const DRAIN: Duration = Duration::from_millis(3_000);
const LONGER: Duration = Duration::from_millis(4_000);

/// A flow that stays open, with pauses between its requests.
const CHANNEL: Kind = Kind {
    requests: 6,
    pause: Duration::from_secs(8),
    work: Duration::from_millis(26),
    deadline: Duration::from_millis(1_000),
    every: Duration::from_millis(1_000),
};

fn main() {
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the record's path")));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let code = run(trouble, &record);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

fn run(trouble: bool, record: &Record) -> i32 {
    let Some(mut fleet) = Fleet::open(ENTRIES, AGENTS, &[], record) else { return 2 };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|i| {
            let (site, router) = (&fleet.site, &fleet.router);
            let (name, ip) = (format!("client-{i}"), site.client_ip(i));
            client::spawn(ip, site.callers(), site::ROUTE, CHANNEL, router, record, &stop, &name)
        })
        .collect();
    sleep(Duration::from_secs(16));
    let backend = fleet.backends[0].take().expect("it was started");
    let id = backend.plan.id.clone();
    backend.drain();
    let drained = record.now();
    record.line(&format!("the store accepts that {id} drains"));
    if trouble {
        backend.close_health();
        record.line(&format!("{id} closes its health port"));
    }
    sleep(DRAIN + LONGER);
    let ended = record.now();
    record.line(&format!("{id} ends"));
    let runs = backend.leave();
    sleep(Duration::from_secs(1));
    stop.store(true, SeqCst);
    let seen: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    fleet.end();
    let sent: usize = seen.iter().map(|s| s.sent.len()).sum();
    let is_answered = |s: &client::Sent| matches!(&s.end, Some((End::Answered, _)));
    let answered = seen.iter().flat_map(|s| &s.sent).filter(|s| is_answered(s)).count();
    record.line(&format!("{sent} requests, {answered} answered; {id} ran {}", runs.len()));
    // Without traffic the case says nothing.
    if answered * 2 < sent || runs.len() < 10 {
        return 2;
    }
    i32::from(reset_flows(&seen, &runs, drained, ended, record) > 0)
}
