//! The fleet of the demo, in one process.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lagoonhollow_daemon::process::daemon::Daemon;
use lagoonhollow_daemon::process::log;
use lagoonhollow_daemon::process::settings::Level;
use lagoonhollow_daemon::process::settings::Settings;
use lagoonhollow_testutils::backend::Backend;
use lagoonhollow_testutils::backend::BackendOptions;
use lagoonhollow_testutils::backend::Record;
use lagoonhollow_testutils::docs;
use lagoonhollow_testutils::fabric::Fabric;
use lagoonhollow_testutils::fleet::Host;
use lagoonhollow_testutils::fleet::Service;
use lagoonhollow_testutils::loopback;
use lagoonhollow_testutils::platform::Platform;

const ENTRIES: usize = 3;
/// Time for which callers repeat requests. It is short because witnesses abstain
/// for as long after a start.
const LIFETIME: Duration = Duration::from_secs(4);
/// Longest wait for a state of the fleet; it includes the abstention at the start.
const START_LIMIT: Duration = Duration::from_secs(60);

/// All components, which run in this process.
pub struct Fleet {
    platform: Platform,
    fabrics: Vec<Fabric>,
    services: Vec<Service>,
    entries: Vec<Daemon>,
    agents: Vec<Daemon>,
    backends: BTreeMap<String, Backend>,
    /// Seconds that each published manifest took to be in force everywhere; infinite
    /// if the wait ended first.
    pub rollout_seconds: Vec<f64>,
}

impl Fleet {
    pub fn spawn() -> Result<Self, Box<dyn Error>> {
        log::open(Level::Error)?;
        let platform = Platform::spawn(SocketAddr::new(loopback::next(), 8080))?;
        let mut services =
            vec![Service::open("alarm", 7, 4, LIFETIME), Service::open("firmware", 4, 4, LIFETIME)];
        for service in &mut services {
            service.doc.paths = vec![docs::rule("report", Duration::from_secs(4))];
        }
        platform.publish(services.iter().map(|s| s.doc.clone()).collect());
        let mut fabrics = Vec::new();
        for service in &services {
            fabrics.push(Fabric::open(service.doc.address)?);
            let names = service.hosts.iter().map(|h| h.name.as_str().into());
            platform.set_live(service.doc.service.as_str(), names);
        }
        let mut fleet = Self {
            platform,
            fabrics,
            services: services.clone(),
            entries: Vec::new(),
            agents: Vec::new(),
            backends: BTreeMap::new(),
            rollout_seconds: Vec::new(),
        };
        for service in &services {
            for host in &service.hosts {
                fleet.spawn_agent(service.doc.service.as_str(), host)?;
            }
        }
        for i in 0..ENTRIES {
            let host = Host::open(&format!("entry-{i}"));
            let text = host.entry_settings(&fleet.platform.url(), &fleet.peers());
            fleet.entries.push(spawn(&host, &text)?);
        }
        Ok(fleet)
    }

    pub fn wait_until_ready(&mut self) -> Result<(), Box<dyn Error>> {
        self.wait("the first version", |f| f.all_at(1))?;
        for fabric in &self.fabrics {
            fabric.spray(ENTRIES as u32)?;
        }
        println!("witnesses abstain for one request lifetime of {} s", LIFETIME.as_secs());
        self.wait("the witnesses", |f| {
            f.agents.iter().all(|a| a.status().held.get("recovering") == Some(&0))
        })
    }

    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let name = |s: &Service| s.doc.service.to_string();
        self.services.iter().map(|s| (name(s), s.doc.address)).collect()
    }

    /// Publishes a manifest that drains a backend server.
    pub fn drain(&mut self, backend: &str) {
        for service in &mut self.services {
            for member in &mut service.doc.backends {
                member.drain |= member.name.as_str() == backend;
            }
        }
        self.publish();
    }

    /// Starts one more backend server of the first service and publishes it; returns
    /// its name.
    pub fn join(&mut self) -> Result<String, Box<dyn Error>> {
        let host = self.services[0].add_backend(4);
        self.spawn_agent("alarm", &host)?;
        let names: Vec<_> = self.services[0].hosts.iter().map(|h| h.name.as_str().into()).collect();
        self.platform.set_live("alarm", names);
        self.publish();
        Ok(host.name)
    }

    /// Stops the last entry, without waiting for its end.
    pub fn remove_entry(&mut self) -> Result<(), Box<dyn Error>> {
        if let Some(entry) = self.entries.pop() {
            // The fabric no longer sends packets to the entry, as it is not ready.
            for fabric in &self.fabrics {
                fabric.spray(self.entries.len() as u32)?;
            }
            std::thread::spawn(move || entry.join());
        }
        Ok(())
    }

    pub fn notify(&self, text: &str) {
        self.backends.values().for_each(|b| b.notify(text));
    }

    pub fn records(&self) -> Vec<Record> {
        self.backends.values().map(Backend::record).collect()
    }

    pub fn stop(mut self) {
        let mut daemons: Vec<_> = self.entries.drain(..).chain(self.agents.drain(..)).collect();
        daemons.iter_mut().for_each(Daemon::drain);
        daemons.into_iter().for_each(Daemon::join);
        self.platform.stop();
    }

    fn spawn_agent(&mut self, service: &str, host: &Host) -> Result<(), Box<dyn Error>> {
        let options = BackendOptions {
            service: service.to_owned(),
            slots: 4,
            service_time: Duration::from_millis(5),
            warmup: Duration::ZERO,
        };
        self.backends.insert(host.name.clone(), Backend::spawn(host.backend(), options)?);
        let text = host.agent_settings(&self.platform.url(), &self.peers());
        self.agents.push(spawn(host, &text)?);
        Ok(())
    }

    /// Returns the control addresses of up to three running agents, from which a new
    /// process gets the state at its start.
    fn peers(&self) -> Vec<SocketAddr> {
        let hosts = self.services.iter().flat_map(|s| &s.hosts);
        let running = |h: &&Host| self.agents.iter().any(|a| a.name().as_str() == h.name);
        hosts.filter(running).take(3).map(Host::control).collect()
    }

    fn publish(&mut self) {
        let start = Instant::now();
        let version = self.platform.publish(self.services.iter().map(|s| s.doc.clone()).collect());
        let spread = self.wait("the manifest", |f| f.all_at(version));
        let seconds = if spread.is_ok() { start.elapsed().as_secs_f64() } else { f64::INFINITY };
        self.rollout_seconds.push(seconds);
    }

    fn all_at(&self, version: u64) -> bool {
        self.entries.iter().chain(&self.agents).all(|d| d.status().version >= version)
    }

    fn wait(&self, what: &str, holds: impl Fn(&Self) -> bool) -> Result<(), Box<dyn Error>> {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > START_LIMIT {
                return Err(format!("{what} took longer than {} s", START_LIMIT.as_secs()).into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

fn spawn(host: &Host, text: &str) -> Result<Daemon, Box<dyn Error>> {
    Ok(Daemon::spawn(Settings::parse(&host.name, text)?)?)
}
