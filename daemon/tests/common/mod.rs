//! A small fleet whose entries and agents are separate processes.

#[allow(dead_code, reason = "the soak test uses the rest")]
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

/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Request lifetime of the service. Witnesses abstain for as long after they
/// start, so it is short.
const LIFETIME: Duration = Duration::from_secs(4);

/// A running entry or agent.
pub struct Process {
    pub host: Host,
    daemon: Daemon,
}

/// A platform, a fabric, entries, agents and the backend servers of one service.
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

    /// Returns the entry `name` of the `held` counts in the process's status.
    pub fn held(&self, name: &str) -> Option<u64> {
        self.status()?.held.get(name).copied()
    }

    pub fn wait(self) -> Option<i32> {
        self.daemon.wait()
    }
}

impl Fleet {
    /// Starts the processes and waits until all of them have a manifest.
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

    /// Returns whether `fits` is true of every entry and agent.
    pub fn all(&self, fits: impl Fn(&Process) -> bool) -> bool {
        self.entries.iter().chain(&self.agents).all(fits)
    }

    /// Polls until `holds` is true; fails the test after 60 s.
    pub fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(
                start.elapsed() < CONDITION_TIMEOUT,
                "condition not met within {CONDITION_TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until every agent has settled and no longer abstains as a witness.
    pub fn wait_until_granting(&self) {
        let ready = |p: &Process| p.held("recovering") == Some(0) && p.held("settled") == Some(1);
        self.wait_until(|f| f.agents.iter().all(ready));
    }

    /// Returns how often backend servers ran the request with this body.
    pub fn run_count(&self, body: &str) -> usize {
        let ran = |b: &Backend| b.record().ran.iter().filter(|r| *r == body).count();
        self.backends.iter().map(ran).sum()
    }

    pub fn notify(&self, text: &str) {
        self.backends.iter().for_each(|b| b.notify(text));
    }

    /// Stops all processes by SIGTERM and checks their exit codes.
    pub fn stop(mut self) {
        let processes = self.entries.drain(..).chain(self.agents.drain(..)).collect::<Vec<_>>();
        processes.iter().for_each(|p| p.signal(Signal::SIGTERM));
        for process in processes {
            assert_eq!(process.wait(), Some(0), "SIGTERM leads to exit code 0");
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
