//! A backend starts while the clock of its machine is ahead. The clock is set right, and when it
//! shows the time of that start again, all processes of the system are started after a kill.

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
use review_standins_2::fleet::Fleet;
use review_standins_2::flow::reset_flows;
use review_standins_2::site;
use review_standins_2::unix_ms;

const ENTRIES: u8 = 3;
const AGENTS: u8 = 7;
/// How far the clock of the backend's machine is ahead, in milliseconds.
const STEP_MS: u64 = 2_000;
/// When all processes are killed, in milliseconds after the start of the backend.
const KILL_MS: u64 = 1_750;
/// When they are started again: the clock shows the stated start of the backend then.
const START_MS: u64 = STEP_MS + 25;
/// `stable_window_ms` of the small sites, and some time more.
const STABLE_S: f64 = 4.5;

/// A flow that stays open, with pauses between its requests.
const CHANNEL: Kind = Kind {
    requests: 3,
    pause: Duration::from_secs(8),
    work: Duration::from_millis(26),
    deadline: Duration::from_millis(1_000),
    every: Duration::from_millis(150),
};

fn main() {
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the record's path")));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let code = run(&trouble, &record);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

fn run(trouble: &str, record: &Record) -> i32 {
    let Some(mut fleet) = Fleet::open(ENTRIES, AGENTS, &[0], record) else { return 2 };
    // The other backends and their nodes have run for a while.
    sleep(Duration::from_secs(4));
    // `TROUBLE=kill` leaves the clock right, `TROUBLE=clock` leaves out the kill.
    let step = if matches!(trouble, "1" | "clock") { STEP_MS } else { 0 };
    let start = unix_ms();
    record.line(&format!("the clock of the first agent's machine is ahead by {step} ms"));
    let plan = fleet.plan(0, site::SERVICE, start + step);
    let backend = Backend::start(plan, &fleet.store, record, 200);
    sleep(Duration::from_millis(100));
    record.line("its clock is right again");
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|i| {
            let (site, router) = (&fleet.site, &fleet.router);
            let (name, ip) = (format!("client-{i}"), site.client_ip(i));
            client::spawn(ip, site.callers(), site::ROUTE, CHANNEL, router, record, &stop, &name)
        })
        .collect();
    let until = |ms: u64| sleep(Duration::from_millis((start + ms).saturating_sub(unix_ms())));
    if matches!(trouble, "1" | "kill") {
        until(KILL_MS);
        record.line("all processes of the system are killed");
        let agents: Vec<_> = (0..AGENTS).map(|i| format!("agent-{i}")).collect();
        let entries: Vec<_> = (0..ENTRIES).map(|i| format!("entry-{i}")).collect();
        agents.iter().chain(&entries).for_each(|name| fleet.site.kill(name));
        agents.iter().chain(&entries).for_each(|name| fleet.site.wait(name));
        until(START_MS);
        (0..AGENTS).for_each(|i| fleet.site.start_agent(i, site::SERVICE, false));
        (0..ENTRIES).for_each(|i| fleet.site.start_entry(i, false));
        record.line("all processes of the system are started");
    }
    let back = record.now();
    sleep(Duration::from_secs(13));
    let ended = record.now();
    stop.store(true, SeqCst);
    let seen: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let runs = backend.crash();
    fleet.end();
    let sent: usize = seen.iter().map(|s| s.sent.len()).sum();
    let is_answered = |s: &client::Sent| matches!(&s.end, Some((End::Answered, _)));
    let answered = seen.iter().flat_map(|s| &s.sent).filter(|s| is_answered(s)).count();
    record.line(&format!("{sent} requests, {answered} answered; the backend ran {}", runs.len()));
    // Without traffic the case says nothing.
    if answered * 2 < sent || runs.len() < 5 {
        return 2;
    }
    // Only what happens once all machines are in touch again.
    let mut seen = seen;
    seen.iter_mut().for_each(|s| s.resets.retain(|r| r.at > back + STABLE_S));
    i32::from(reset_flows(&seen, &runs, back, ended, record) > 0)
}
