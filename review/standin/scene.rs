//! A small deployment that runs: store, backends, nodes, routers.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::backend::Backend;
use crate::backend::Event;
use crate::backend::Key;
use crate::client::Client;
use crate::client::End;
use crate::fabric;
use crate::fabric::Fabric;
use crate::node::Deployment;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// `heartbeat_interval_ms` of the sheet.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `stable_window_ms` of the sheet.
const STABLE: Duration = Duration::from_millis(4_000);
/// Time between two flows with a report each.
const REPORT_GAP: Duration = Duration::from_micros(13_600);
/// Time from the start of the machines to that of the traffic.
const LEAD: Duration = Duration::from_secs(10);
/// Time for all nodes to be ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A running deployment.
pub struct Scene {
    pub deployment: Deployment,
    pub store: Store,
    pub fabric: Fabric,
    pub backends: Vec<Backend>,
    // The backends that write heartbeats.
    beating: Arc<Mutex<Vec<Backend>>>,
    pub entries: BTreeMap<usize, Node>,
    pub agents: BTreeMap<usize, Node>,
    pub record: Record,
    services: Vec<String>,
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub address: SocketAddrV4,
    pub service: String,
}

impl Scene {
    /// Starts everything; `services` names the service of each backend.
    pub fn open(
        work: &Path,
        record: &Record,
        entries: usize,
        services: &[&str],
        routes: &[Route],
    ) -> Option<Self> {
        let begun = record.now();
        let deployment = Deployment::open(work, record)?;
        let store = Store::bind(deployment.store()).ok()?;
        let mut names: Vec<_> = services.iter().map(|s| (*s).to_owned()).collect();
        names.sort();
        names.dedup();
        let mut scene = Self {
            deployment,
            store,
            fabric: Fabric::default(),
            backends: Vec::new(),
            beating: Arc::default(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            record: record.clone(),
            services: names,
        };
        scene.publish(1, routes);
        for (i, service) in services.iter().enumerate() {
            let (app, outbound) = (scene.deployment.app(i), scene.deployment.outbound(i));
            let id = format!("i-{i}-{}", app.ip().octets()[1]);
            let backend = Backend::bind(&id, service, app, outbound, record).ok()?;
            scene.register(&backend);
            scene.beating.lock().unwrap().push(backend.clone());
            scene.backends.push(backend);
        }
        let (store, beating) = (scene.store.clone(), scene.beating.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                for backend in beating.lock().unwrap().iter().filter(|b| b.is_running()) {
                    store.beat(&format!("servers/{}", backend.id), &backend.entry());
                }
            }
        });
        for (i, service) in services.iter().enumerate() {
            scene.agents.insert(i, scene.deployment.start_agent(i, service, true));
        }
        for i in 0..entries {
            scene.add_entry(i, true);
        }
        let end = Instant::now() + START_LIMIT;
        while scene.fabric.ready() < entries || !scene.agents_are_ready() {
            if Instant::now() > end {
                record.line("the nodes were not ready in time");
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Traffic starts 10 s after the machines do.
        thread::sleep(LEAD.saturating_sub(record.now() - begun));
        Some(scene)
    }

    /// Writes a backend's entry.
    pub fn register(&self, backend: &Backend) {
        self.write_entry(backend, &backend.entry());
    }

    /// Writes a backend's entry as it was when its write was sent.
    pub fn write_entry(&self, backend: &Backend, entry: &str) {
        self.store.beat(&format!("servers/{}", backend.id), entry);
        self.record.line(format!("ENTRY of {} written: {entry}", backend.id));
    }

    /// Crashes a backend; `down` later it runs again under its id and registers itself.
    pub fn restart_backend(&mut self, index: usize, down: Duration) -> Option<()> {
        let old = self.backends[index].clone();
        old.crash();
        thread::sleep(down);
        let new = old.restart().ok()?;
        self.register(&new);
        self.beating.lock().unwrap()[index] = new.clone();
        self.backends[index] = new;
        Some(())
    }

    /// Writes a version of the configuration.
    pub fn publish(&self, version: u64, routes: &[Route]) {
        let route = |r: &Route| {
            let Route { name, address, service } = r;
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"safe\",\
                 \"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":1,\
                 \"service\":\"{service}\",\"max_attempts\":2}}",
                address.ip(),
                address.port()
            )
        };
        let list = routes.iter().map(route).collect::<Vec<_>>().join(",");
        let service = |s: &String| format!("{{\"name\":\"{s}\",\"health_path\":\"/health\"}}");
        let services = self.services.iter().map(service).collect::<Vec<_>>().join(",");
        self.store.put(
            "op/config",
            &format!(
                "{{\"version\":{version},\"routes\":[{list}],\"services\":[{services}],\
                 \"limits\":{{\"idle_timeout_ms\":15000}}}}"
            ),
        );
        let to = |r: &Route| format!("{} {} to {}", r.name, r.address, r.service);
        let text = routes.iter().map(to).collect::<Vec<_>>().join(", ");
        self.record.line(format!("CONFIG version {version} acknowledged: {text}"));
    }

    pub fn add_entry(&mut self, index: usize, first_start: bool) {
        let node = self.deployment.start_entry(index, first_start);
        let (packets, ready) = (self.deployment.packets(index), self.deployment.ready(node.ip));
        self.fabric.add(&node.name, packets, ready, &self.record);
        self.entries.insert(index, node);
    }

    fn agents_are_ready(&self) -> bool {
        self.agents.values().all(|n| fabric::check(self.deployment.ready(n.ip)))
    }
}

/// Returns the services of the backends of the sheet for Marmara.
pub fn nobet_services() -> Vec<&'static str> {
    [["nobet-core"; 7].as_slice(), ["yazilim-dagit"; 4].as_slice()].concat()
}

/// When a flow's first packet was sent.
pub type Sent = (Duration, Key);

/// Opens a flow with one request each 13.6 ms, as the sheet has 73.4 reports a second; returns
/// the flows once all were sent.
pub fn send_reports(
    client: &Client,
    route: SocketAddrV4,
    count: u16,
    record: &Record,
) -> JoinHandle<Vec<Sent>> {
    let (client, record) = (client.clone(), record.clone());
    thread::spawn(move || {
        let start = record.now();
        let mut sent = Vec::new();
        let mut waiting = Vec::new();
        for i in 0..count {
            let at = start + REPORT_GAP * u32::from(i);
            thread::sleep(at.saturating_sub(record.now()));
            let key = client.open(20_000 + i, route);
            sent.push((record.now(), key));
            waiting.push((i, key, false));
            waiting.retain_mut(|(i, key, asked)| {
                let id = format!("q-{i}");
                let (work, deadline) = (Duration::from_millis(33), Duration::from_secs(2));
                if !*asked {
                    *asked = client.request(key, &id, work, deadline);
                } else if client.is_idle(key) {
                    client.close(key);
                    return false;
                }
                client.end(key).0.is_none()
            });
        }
        sent
    })
}

/// Returns how many requests a draining backend has run whose flows were sent and opened
/// there later than `bound` after its draining was acknowledged.
pub fn count_late(
    backend: &Backend,
    sent: &[Sent],
    acknowledged: Duration,
    bound: Duration,
    record: &Record,
) -> usize {
    let mut late = 0;
    let events = backend.events();
    for (at, event) in &events {
        let Event::Taken(key) = event else { continue };
        let sent = sent.iter().find(|(_, k)| k == key).map(|(at, _)| *at);
        let runs = events.iter().any(|(_, e)| matches!(e, Event::Run(k) if k == key));
        let bound = acknowledged + bound;
        if *at > bound && sent.is_some_and(|sent| sent > bound) && runs {
            late += 1;
            let after = (*at - acknowledged).as_millis();
            record.line(format!(
                "BROKEN {} was opened and run at {} {after} ms after its draining was acknowledged",
                key.0, backend.id
            ));
        }
    }
    record.line(format!("{late} requests reached a draining backend too late"));
    late
}

/// Judges the flows that a backend holds, which has run since `started`: none of them may be
/// reset by the system once the backend has run for `stable_window_ms`.
pub fn count_resets(
    client: &Client,
    keys: &[Key],
    backend: &Backend,
    started: Duration,
    record: &Record,
) -> Verdict {
    let held: Vec<_> = keys.iter().filter(|key| backend.holds(key)).collect();
    let mut broken = 0;
    for key in &held {
        let (end, answers) = client.end(key);
        if let Some((End::ResetBySystem, at)) = end
            && at > started + STABLE
        {
            broken += 1;
            let after = (at - started).as_millis();
            record.line(format!(
                "BROKEN {} was reset after {answers} answers, {after} ms after {} had started, \
                 which still holds it",
                key.0, backend.id
            ));
        }
    }
    record.line(format!("{broken} of {} flows that {} holds were reset", held.len(), backend.id));
    match (held.len(), broken) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
