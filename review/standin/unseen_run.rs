//! All open connections to the store go silent; new ones work. A backend crashes and starts
//! again under its id at once. Flows that are open at its new run must stay open.

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
    let other = &scene.backends[services.len() - 1];
    // A change of the configuration comes at the same time: a route without traffic.
    let unused = SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, 2), 443);
    let added = Route { name: "r-unused", address: unused, service: "nobet-core".into() };
    scene.publish(3, &routes.into_iter().chain([added]).collect::<Vec<_>>());
    other.drain();
    scene.register(other);
    record.line(format!("DRAIN of {} acknowledged", other.id));
    thread::sleep(Duration::from_millis(150));
    if matches!(trouble, "1" | "silence") {
        scene.store.silence();
        record.line("TROUBLE all open connections to the store go silent; new ones work");
    }
    thread::sleep(Duration::from_millis(300));
    let crashes = matches!(trouble, "1" | "crash");
    if crashes && scene.restart_backend(0, Duration::ZERO).is_none() {
        return Verdict::NotRun;
    }
    let restarted = record.now();
    thread::sleep(Duration::from_millis(800));
    let mut keys = Vec::new();
    for i in 0..FLOWS {
        keys.push(client.open(42_000 + i, address));
        thread::sleep(Duration::from_millis(30));
    }
    for round in 0..14 {
        for key in &keys {
            let id = format!("q-{}-{round}", key.0.port());
            client.request(key, &id, Duration::from_millis(26), Duration::from_secs(4));
        }
        thread::sleep(Duration::from_millis(800));
    }
    count_resets(&client, &keys, &scene.backends[0], restarted, record)
}
