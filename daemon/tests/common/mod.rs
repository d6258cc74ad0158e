//! A small fleet of separate processes.

#[allow(dead_code, reason = "the soak uses the rest")]
pub mod daemon;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use daemon::Daemon;
use lagoonhollow_daemon::process::status::Explanation;
use lagoonhollow_daemon::process::status::Status;
use lagoonhollow_testutils::backend::Backend;
use lagoonhollow_testutils::backend::BackendOptions;
use lagoonhollow_testutils::fabric::Fabric;
use lagoonhollow_testutils::fleet::Host;
use lagoonhollow_testutils::fleet::Service;
use lagoonhollow_testutils::loopback;
use lagoonhollow_testutils::platform::Platform;
use nix::sys::signal::Signal;

/// Time that a condition is waited for.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Request lifetime of the service, and so the abstention of its witnesses.
const LIFETIME: Duration = Duration::from_secs(4);

/// A running process of the fleet.
pub struct Process {
    pub host: Host,
    daemon: Daemon,
}

/// A platform, a fabric, entries, agents and backend servers.
pub struct Fleet {
    pub platform: Platform,
    pub fabric: Fabric,
    pub service: Service,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub backends: Vec<Backend>,
}

impl Process {
    pub fn spawn(host: Host, settings: &str) -> Self {
        let daemon = Daemon::spawn(&host.name, host.admin(), settings);
        println!("{} logs to {}", host.name, daemon.log.display());
        Self { host, daemon }
    }

    pub fn signal(&self, signal: Signal) {
        self.daemon.signal(signal);
    }

    pub fn status(&self) -> Option<Status> {
        self.daemon.get_json("/status")
    }

    pub fn explain(&self, caller: SocketAddr, service: SocketAddr) -> Option<Explanation> {
        self.daemon.get_json(&format!("/explain?caller={caller}&service={service}"))
    }

    pub fn metrics(&self) -> Option<String> {
        self.daemon.get("/metrics")
    }

    pub fn held(&self, name: &str) -> Option<u64> {
        self.status()?.held.get(name).copied()
    }

    pub fn wait(self) -> Option<i32> {
        self.daemon.wait()
    }
}

impl Fleet {
    pub fn spawn(entries: usize, agents: usize) -> Self {
        let platform = Platform::spawn(SocketAddr::new(loopback::next(), 8080)).unwrap();
        let service = Service::open("alarm", agents, 4, LIFETIME);
        platform.publish(vec![service.doc.clone()]);
        platform.set_live("alarm", service.hosts.iter().map(|h| h.name.as_str().into()));
        let fabric = Fabric::open(service.doc.address).unwrap();
        let backends = service.hosts.iter().map(spawn_backend).collect();
        let mut fleet = Self {
            platform,
            fabric,
            service: service.clone(),
            entries: Vec::new(),
            agents: Vec::new(),
            backends,
        };
        for host in &service.hosts {
            fleet.spawn_agent(host.clone());
        }
        for i in 0..entries {
            fleet.spawn_entry(Host::open(&format!("entry-{i}")));
        }
        fleet.wait_until(|f| f.all(|p| p.status().is_some_and(|s| s.version > 0)));
        fleet.fabric.spray(entries as u32).unwrap();
        fleet
    }

    pub fn spawn_agent(&mut self, host: Host) {
        let peers = self.agents.iter().map(|p| p.host.control()).collect::<Vec<_>>();
        let settings = host.agent_settings(&self.platform.url(), &peers);
        self.agents.push(Process::spawn(host, &settings));
    }

    pub fn spawn_entry(&mut self, host: Host) {
        let peers = self.agents.iter().map(|p| p.host.control()).collect::<Vec<_>>();
        let settings = host.entry_settings(&self.platform.url(), &peers);
        self.entries.push(Process::spawn(host, &settings));
    }

    pub fn all(&self, fits: impl Fn(&Process) -> bool) -> bool {
        self.entries.iter().chain(&self.agents).all(fits)
    }

    pub fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < CONDITION_TIMEOUT, "the condition does not come true");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn wait_until_granting(&self) {
        let ready = |p: &Process| p.held("recovering") == Some(0) && p.held("settled") == Some(1);
        self.wait_until(|f| f.agents.iter().all(ready));
    }

    pub fn run_count(&self, body: &str) -> usize {
        let ran = |b: &Backend| b.record().ran.iter().filter(|r| *r == body).count();
        self.backends.iter().map(ran).sum()
    }

    pub fn notify(&self, text: &str) {
        self.backends.iter().for_each(|b| b.notify(text));
    }

    pub fn stop(mut self) {
        let processes = self.entries.drain(..).chain(self.agents.drain(..)).collect::<Vec<_>>();
        processes.iter().for_each(|p| p.signal(Signal::SIGTERM));
        for process in processes {
            assert_eq!(process.wait(), Some(0), "a planned stop ends with exit code 0");
        }
    }
}

pub fn new_entry() -> Host {
    Host::open("entry-new")
}

pub fn spawn_backend(host: &Host) -> Backend {
    let options = BackendOptions {
        service: "alarm".to_owned(),
        slots: 4,
        service_time: Duration::from_millis(10),
        warmup: Duration::ZERO,
    };
    Backend::spawn(host.backend(), options).expect("the backend server starts")
}
