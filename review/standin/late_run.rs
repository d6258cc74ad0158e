//! A heartbeat of a backend is done late and not answered; meanwhile the backend crashes and
//! starts again under its id. Flows that are open at its new run must stay open.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::Client;
use crate::record::Record;
use crate::scene::Route;
use crate::scene::Scene;
use crate::scene::count_resets;
use crate::scene::nobet_services;

const ENTRIES: usize = 7;
/// How late the write is done; the platform's limits are 1 and 6 s.
const LATE: Duration = Duration::from_millis(5_600);
/// Time for which the backend is down.
const DOWN: Duration = Duration::from_millis(500);
const FLOWS: u16 = 80;

pub fn run(work: &Path, record: &Record, trouble: &str) -> Verdict {
    let address = SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, 1), 443);
    let routes = [Route { name: "r-watch", address, service: "nobet-core".into() }];
    let services = nobet_services();
    let Some(mut scene) = Scene::open(work, record, ENTRIES, &services, &routes) else {
        return Verdict::NotRun;
    };
    let Ok(client) = Client::bind(scene.deployment.client(0), &scene.fabric, record) else {
        return Verdict::NotRun;
    };
    let sent = record.now();
    let old = scene.backends[0].entry();
    record.line(format!("HEARTBEAT of {} sent, not answered: {old}", scene.backends[0].id));
    thread::sleep(Duration::from_millis(100));
    if matches!(trouble, "1" | "crash") && scene.restart_backend(0, DOWN).is_none() {
        return Verdict::NotRun;
    }
    let restarted = record.now();
    thread::sleep(Duration::from_millis(1_500));
    let mut keys = Vec::new();
    for i in 0..FLOWS {
        keys.push(client.open(42_000 + i, address));
        thread::sleep(Duration::from_millis(20));
    }
    let ask = |round: u32| {
        for key in &keys {
            let id = format!("q-{}-{round}", key.0.port());
            client.request(key, &id, Duration::from_millis(26), Duration::from_secs(4));
        }
    };
    ask(0);
    thread::sleep(LATE.saturating_sub(record.now() - sent));
    if matches!(trouble, "1" | "late") {
        record.line("TROUBLE the write that was not answered is done");
        scene.write_entry(&scene.backends[0], &old);
    }
    for round in 1..7 {
        thread::sleep(Duration::from_millis(800));
        ask(round);
    }
    thread::sleep(Duration::from_secs(1));
    count_resets(&client, &keys, &scene.backends[0], restarted, record)
}
