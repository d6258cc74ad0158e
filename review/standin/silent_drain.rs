//! All open connections to the store go silent just after a backend has left; new ones work.
//! The next backend that drains must get no new flows in time once the machines are in touch
//! again.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::backend::Backend;
use crate::client::Client;
use crate::record::Record;
use crate::scene::Route;
use crate::scene::Scene;
use crate::scene::count_late;
use crate::scene::nobet_services;
use crate::scene::send_reports;

const ENTRIES: usize = 7;
/// `stable_window_ms` and `drain_timeout_ms` of the sheet.
const STABLE: Duration = Duration::from_millis(4_000);
const DRAIN: Duration = Duration::from_millis(3_000);
const SLACK: Duration = Duration::from_millis(50);

pub fn run(work: &Path, record: &Record, trouble: &str) -> Verdict {
    let address = SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, 1), 443);
    let routes = [Route { name: "r-report", address, service: "nobet-core".into() }];
    let services = nobet_services();
    let Some(scene) = Scene::open(work, record, ENTRIES, &services, &routes) else {
        return Verdict::NotRun;
    };
    let Ok(client) = Client::bind(scene.deployment.client(0), &scene.fabric, record) else {
        return Verdict::NotRun;
    };
    let traffic = send_reports(&client, address, 1_150, record);
    // Two backends of the other service drain one after the other; it has no traffic.
    let last = services.len() - 1;
    thread::sleep(Duration::from_secs(2));
    scene.backends[last - 1].drain();
    scene.register(&scene.backends[last - 1]);
    record.line(format!("DRAIN of {} acknowledged", scene.backends[last - 1].id));
    thread::sleep(Duration::from_secs(2));
    let first = &scene.backends[last];
    // A change of the configuration comes at the same time: a route without traffic.
    let unused = SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, 2), 443);
    let added = Route { name: "r-unused", address: unused, service: "nobet-core".into() };
    scene.publish(3, &routes.into_iter().chain([added]).collect::<Vec<_>>());
    first.drain();
    scene.register(first);
    record.line(format!("DRAIN of {} acknowledged", first.id));
    thread::sleep(Duration::from_millis(150));
    if trouble != "0" {
        scene.store.silence();
        record.line("TROUBLE all open connections to the store go silent; new ones work");
    }
    thread::sleep(STABLE + SLACK);
    // The operator takes away the backend that got the most new flows of late.
    let since = record.now() - Duration::from_secs(1);
    let taken = |b: &&Backend| b.events().iter().filter(|(at, _)| *at > since).count();
    let core = scene.backends.iter().filter(|b| b.service == "nobet-core");
    let Some(second) = core.max_by_key(taken) else { return Verdict::NotRun };
    second.drain();
    scene.register(second);
    let acknowledged = record.now();
    record.line(format!("DRAIN of {} acknowledged", second.id));
    let sent = traffic.join().unwrap_or_default();
    thread::sleep(Duration::from_secs(1));
    let broken = count_late(second, &sent, acknowledged, DRAIN + SLACK, record);
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
