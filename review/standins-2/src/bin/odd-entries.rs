//! Another writer puts long entries that can't be read beside those of the backends; then a
//! backend drains.

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
use review_standins_2::drain::late_requests;
use review_standins_2::fleet::Fleet;
use review_standins_2::site;

const ENTRIES: u8 = 3;
const AGENTS: u8 = 7;
/// Number and length in bytes of the other writer's entries; the store takes up to 1,048,576.
const ODD: u32 = 6;
const LENGTH: usize = 1_000_000;
/// For how long the backend serves beyond the drain time.
const LONGER: Duration = Duration::from_millis(2_000);

const REPORT: Kind = Kind {
    requests: 1,
    pause: Duration::ZERO,
    work: Duration::from_millis(100),
    deadline: Duration::from_millis(1_200),
    every: Duration::from_millis(100),
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
            client::spawn(ip, site.callers(), site::ROUTE, REPORT, router, record, &stop, &name)
        })
        .collect();
    sleep(Duration::from_secs(8));
    if trouble {
        let garbage = "\u{1}\u{7f}{not an entry".repeat(LENGTH / 15);
        for i in 0..ODD {
            fleet.store.put(&format!("servers/x-{i}"), &garbage);
        }
        record.line(&format!("another writer writes {ODD} entries of {} bytes", garbage.len()));
    }
    sleep(Duration::from_secs(1));
    let backend = fleet.backends[0].take().expect("it was started");
    let id = backend.plan.id.clone();
    backend.drain();
    let drained = record.now();
    record.line(&format!("the store accepts that {id} drains"));
    sleep(Duration::from_secs(3) + LONGER);
    record.line(&format!("{id} ends"));
    let runs = backend.leave();
    sleep(Duration::from_secs(2));
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
    i32::from(late_requests(&seen, &runs, drained, record) > 0)
}
