//! The operator moves a route to another service; then the nodes beside the backends are
//! restarted in turn, and a frontend machine is added. Flows that are open at backends of the
//! former service must stay open.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Client;
use crate::client::End;
use crate::record::Record;
use crate::scene::Route;
use crate::scene::Scene;

/// Services of the backends, as many as in the smallest sheet.
const SERVICES: [&str; 7] = ["core", "core", "core", "core", "firm", "firm", "firm"];
/// Standing flows; each sends a request every 1.5 s and has a 15 s limit when idle.
const FLOWS: u16 = 24;
const PAUSE: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(4);

pub fn run(work: &Path, record: &Record, trouble: &str) -> Verdict {
    let moves = matches!(trouble, "1" | "move");
    let restarts = matches!(trouble, "1" | "restart");
    let moved = SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, 1), 443);
    let other = SocketAddrV4::new(Ipv4Addr::new(127, 18, 0, 2), 443);
    let routes = |service: &str| {
        let route = |name, address, service: &str| Route { name, address, service: service.into() };
        [route("r-moved", moved, service), route("r-other", other, "firm")]
    };
    let scene = Scene::open(work, record, 2, &SERVICES, &routes("core"));
    let Some(mut scene) = scene else { return Verdict::NotRun };
    let Ok(client) = Client::bind(scene.deployment.client(0), &scene.fabric, record) else {
        return Verdict::NotRun;
    };
    let keys: Vec<_> = (0..FLOWS).map(|i| client.open(40_000 + i, moved)).collect();
    thread::sleep(Duration::from_secs(2));
    if !keys.iter().all(|key| client.is_idle(key)) {
        record.line("not all flows opened");
        return Verdict::NotRun;
    }
    let start = Instant::now();
    let traffic = {
        let (client, keys) = (client.clone(), keys.clone());
        thread::spawn(move || {
            let mut round = 0;
            while start.elapsed() < Duration::from_secs(37) {
                for (i, key) in keys.iter().enumerate() {
                    let id = format!("q-{i}-{round}");
                    client.request(key, &id, Duration::from_millis(26), DEADLINE);
                }
                round += 1;
                thread::sleep(PAUSE);
            }
        })
    };
    let until = |seconds: f64| {
        let at = Duration::from_secs_f64(seconds);
        thread::sleep(at.saturating_sub(start.elapsed()));
    };
    until(3.0);
    if moves {
        scene.publish(3, &routes("firm"));
    }
    until(8.0);
    if restarts {
        for i in 0..SERVICES.len() {
            until(8.0 + 1.3 * i as f64);
            scene.restart_agent(i);
        }
    }
    // Everything has been calm for more than `stable_window_ms` before the last step.
    until(24.0);
    if restarts {
        scene.add_entry(2, false);
    }
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(1));
    let mut broken = 0;
    for key in &keys {
        let (end, answers) = client.end(key);
        let holder = scene.backends.iter().find(|b| b.holds(key));
        if let (Some((End::ResetBySystem, at)), Some(holder)) = (end, holder) {
            broken += 1;
            record.line(format!(
                "BROKEN {} was reset at {:.3} s after {answers} answers; {} still holds it",
                key.0,
                at.as_secs_f64(),
                holder.id
            ));
        }
    }
    record.line(format!("{broken} of {FLOWS} open flows were reset"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
