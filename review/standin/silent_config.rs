//! All open connections to the store go silent just after a change of the configuration; new
//! ones work. The next change must be in force in time once the machines are in touch again.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::backend::Event;
use crate::client::Client;
use crate::client::End;
use crate::record::Record;
use crate::scene::Route;
use crate::scene::Scene;
use crate::scene::nobet_services;

/// Frontend machines of the sheet.
const ENTRIES: usize = 7;
/// `stable_window_ms` and `config_apply_ms` of the sheet.
const STABLE: Duration = Duration::from_millis(4_000);
const APPLY: Duration = Duration::from_millis(3_000);
/// Allowance for this machine's own delays.
const SLACK: Duration = Duration::from_millis(50);
/// Rounds of flows that test which configuration is in force.
const ROUNDS: u16 = 8;

pub fn run(work: &Path, record: &Record, trouble: &str) -> Verdict {
    let address = |i| SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, i), 443);
    let route = |name, i| Route { name, address: address(i), service: "nobet-core".into() };
    let first = [route("r-watch", 1), route("r-dropped", 2)];
    let services = nobet_services();
    let scene = Scene::open(work, record, ENTRIES, &services, &first);
    let Some(scene) = scene else { return Verdict::NotRun };
    let Ok(client) = Client::bind(scene.deployment.client(0), &scene.fabric, record) else {
        return Verdict::NotRun;
    };
    scene.publish(3, &[route("r-watch", 1), route("r-dropped", 2), route("r-other", 3)]);
    thread::sleep(Duration::from_millis(100));
    if trouble != "0" {
        scene.store.silence();
        record.line("TROUBLE all open connections to the store go silent; new ones work");
    }
    let silenced = record.now();
    thread::sleep(STABLE + SLACK);
    scene.publish(5, &[route("r-watch", 1), route("r-other", 3), route("r-added", 4)]);
    let acknowledged = record.now();
    let bound = acknowledged + APPLY;
    thread::sleep((bound + SLACK).saturating_sub(record.now()));
    let mut sent = Vec::new();
    for round in 0..ROUNDS {
        for entry in 0..ENTRIES {
            let node = Some(scene.deployment.packets(entry));
            let port = 41_000 + round * 100 + entry as u16 * 2;
            let at = record.now();
            record.line(format!("TEST round {round} through frontend-{entry}"));
            sent.push((entry, at, true, client.open_through(node, port, address(2))));
            sent.push((entry, at, false, client.open_through(node, port + 1, address(4))));
        }
        for _ in 0..10 {
            thread::sleep(Duration::from_millis(40));
            for (_, _, _, key) in &sent {
                let id = format!("q-{}", key.0.port());
                if client.end(key).1 == 0 {
                    client.request(key, &id, Duration::from_millis(5), Duration::from_secs(2));
                }
            }
        }
    }
    thread::sleep(Duration::from_secs(2));
    let events: Vec<_> = scene.backends.iter().flat_map(|b| b.events()).collect();
    let runs = |key| events.iter().any(|(_, e)| matches!(e, Event::Run(k) if k == key));
    let mut broken = 0;
    for (entry, at, dropped, key) in &sent {
        let after = (*at - acknowledged).as_millis();
        let line = format!("{after} ms after the acknowledgement, through frontend-{entry}");
        if *dropped && runs(key) {
            broken += 1;
            record.line(format!("BROKEN a request of the dropped route was run, sent {line}"));
        }
        if !*dropped && matches!(client.end(key).0, Some((End::Refused, _))) {
            broken += 1;
            record.line(format!("BROKEN the added route was refused, sent {line}"));
        }
    }
    let calm = (acknowledged - silenced).as_millis();
    record.line(format!("the change was acknowledged {calm} ms after the disruption"));
    record.line(format!("{broken} of {} flows were handled as before the change", sent.len()));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
