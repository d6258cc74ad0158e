//! A backend starts again under its id after the clock of its machine was set back, and drains
//! later. `drain`: which requests does it get then? `flow`: what becomes of its open flows?

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::sleep;
use std::time::Duration;

use review_standins_2::Record;
use review_standins_2::backend::Backend;
use review_standins_2::client;
use review_standins_2::client::End;
use review_standins_2::client::Kind;
use review_standins_2::drain::late_requests;
use review_standins_2::fleet::Fleet;
use review_standins_2::flow::reset_flows;
use review_standins_2::site;
use review_standins_2::unix_ms;

const ENTRIES: u8 = 3;
const AGENTS: u8 = 7;
/// How far the clock of the machine is set back, in milliseconds.
const STEP_MS: u64 = 2_000;

/// A flow with one short request.
const REPORT: Kind = Kind {
    requests: 1,
    pause: Duration::ZERO,
    work: Duration::from_millis(100),
    deadline: Duration::from_millis(1_200),
    every: Duration::from_millis(100),
};
/// A flow that stays open, with pauses between its requests.
const CHANNEL: Kind = Kind {
    requests: 6,
    pause: Duration::from_millis(11_600),
    work: Duration::from_millis(26),
    deadline: Duration::from_millis(1_000),
    every: Duration::from_millis(200),
};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().expect("drain or flow");
    let record = Record::open(Path::new(&arguments.next().expect("the record's path")));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let code = run(&mode, &trouble, &record);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

fn run(mode: &str, trouble: &str, record: &Record) -> i32 {
    let kind = if mode == "drain" { REPORT } else { CHANNEL };
    // `VICTIM` chooses another backend by hand.
    let victim = std::env::var("VICTIM").ok().and_then(|v| v.parse().ok()).unwrap_or(0);
    let Some(mut fleet) = Fleet::open(ENTRIES, AGENTS, &[victim], record) else { return 2 };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|i| {
            let (site, router) = (&fleet.site, &fleet.router);
            let (name, ip) = (format!("client-{i}"), site.client_ip(i));
            client::spawn(ip, site.callers(), site::ROUTE, kind, router, record, &stop, &name)
        })
        .collect();
    sleep(Duration::from_secs(3));
    // The backend starts. With trouble it crashes 0.8 s later, the clock of its machine is set
    // back by 2 s, and it starts again under its id.
    let plan = |born| fleet.plan(victim, site::SERVICE, born);
    let mut backend = Backend::start(plan(unix_ms()), &fleet.store, record, 200);
    if trouble != "0" {
        sleep(Duration::from_millis(800));
        let runs = backend.crash();
        record.line(&format!("{} crashed after {} runs", plan(0).id, runs.len()));
        // `TROUBLE=crash` leaves the clock as it is.
        let step = if trouble == "crash" { 0 } else { STEP_MS };
        record.line(&format!("the clock of its machine is set back by {step} ms"));
        sleep(Duration::from_millis(400));
        backend = Backend::start(plan(unix_ms() - step), &fleet.store, record, 201);
    }
    sleep(Duration::from_secs(20));
    let id = backend.plan.id.clone();
    backend.drain();
    let drained = record.now();
    record.line(&format!("the store accepts that {id} drains"));
    // It serves for the drain time and somewhat longer, then it ends.
    let longer = if mode == "drain" { 1_500 } else { 9_000 };
    sleep(Duration::from_millis(3_000 + longer));
    let ended = record.now();
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
    let broken = match mode {
        "drain" => late_requests(&seen, &runs, drained, record),
        _ => reset_flows(&seen, &runs, drained, ended, record),
    };
    i32::from(broken > 0)
}
