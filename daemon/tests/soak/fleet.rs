//! A fleet of processes that reach each other and the store through proxies.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_testutils::packets::live::LiveBackend;
use lagoonhollow_testutils::packets::monitor::Monitor;
use lagoonhollow_testutils::packets::site::OWN_SERVICES;
use lagoonhollow_testutils::packets::site::Site;
use lagoonhollow_testutils::packets::site::Weights;
use lagoonhollow_testutils::packets::store::Store;
use lagoonhollow_testutils::packets::tcp_proxy::TcpProxy;
use lagoonhollow_testutils::packets::udp_proxy::UdpProxy;
use nix::sys::signal::Signal;
use tokio::time::Instant;

use crate::daemon::Daemon;
use crate::fault::Node;
use crate::run::FIRST_EVACUATION_SEED;

/// A fleet shared by the tasks of one thread.
pub type Shared = Rc<RefCell<Fleet>>;

/// Number of processes of each role.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: u8,
    pub agents: u8,
}

/// The VM of one entry or agent.
pub struct Vm {
    pub node: Node,
    /// Its process, unless it is down.
    pub daemon: Option<Daemon>,
    /// Number of processes that were started on it.
    pub run: u64,
    /// Start of the latest process.
    pub started: Instant,
    /// Number of signals that it was sent.
    pub signals: u64,
    /// Whether its process was asked to stop.
    pub stopping: bool,
    /// Latest version that its process has reported.
    pub version: u64,
    /// Whether the fabric sends packets to it, if it is an entry.
    pub in_rotation: bool,
    /// Proxy for its connections to the store.
    pub store: TcpProxy,
    /// Proxy for connections of other processes to it.
    pub link: TcpProxy,
}

/// The VM of one backend server.
pub struct Host {
    pub member: Member,
    pub backend: Option<LiveBackend>,
    /// Number of backend servers that were started on it.
    pub run: u64,
}

/// Time for which backend servers are cold after an evacuation.
const COLD_TIME: Duration = Duration::from_secs(6);

/// The fleet with its store, its network and its backend servers.
pub struct Fleet {
    pub size: Size,
    pub site: Site,
    pub monitor: Monitor,
    pub store: Store,
    pub proxy: UdpProxy,
    pub vms: Vec<Vm>,
    pub hosts: Vec<Host>,
    /// Published versions of the routes, with the time of publication.
    pub published: Vec<(u64, Instant)>,
    /// Weights of the services in the latest version of the routes.
    pub weights: Weights,
    /// Failure domains that the operator has evacuated.
    pub orders: BTreeSet<Name>,
}

impl Fleet {
    pub async fn open(seed: u64, number: u8, size: Size, timed: bool) -> Self {
        // Three fifths of the backend servers belong to the first service.
        let site = Site::proxied(number, size.agents * 3 / 5);
        let monitor = Monitor::open(site.services(), timed);
        let entries = (0..size.entries).map(|i| Node { entry: true, i });
        let agents = (0..size.agents).map(|i| Node { entry: false, i });
        let site = if seed >= FIRST_EVACUATION_SEED { site.warming_up() } else { site };
        let nodes: Vec<_> = entries.chain(agents).collect();
        let endpoints: Vec<_> = nodes.iter().map(|n| site.endpoints(n.entry, n.i)).collect();
        let proxy = UdpProxy::bind(&endpoints, seed).await.expect("the proxy is bound");
        let store = Store::bind(site.store());
        let mut vms = Vec::new();
        for (node, endpoint) in nodes.into_iter().zip(endpoints) {
            let store_proxy =
                TcpProxy::bind(site.store_for(node.entry, node.i), site.store()).await;
            let link = TcpProxy::bind(endpoint.public, endpoint.private).await;
            vms.push(Vm {
                node,
                daemon: None,
                run: 0,
                started: Instant::now(),
                signals: 0,
                stopping: false,
                version: 0,
                in_rotation: true,
                store: store_proxy.expect("the proxy is bound"),
                link: link.expect("the proxy is bound"),
            });
        }
        let mut fleet = Self {
            size,
            site,
            monitor,
            store,
            proxy,
            vms,
            hosts: vec![],
            published: vec![],
            weights: OWN_SERVICES,
            orders: BTreeSet::new(),
        };
        fleet.publish();
        for i in 0..size.agents {
            let member = site.member(i, 0);
            fleet.hosts.push(Host { member, backend: None, run: 0 });
        }
        for i in 0..fleet.vms.len() {
            fleet.start(fleet.vms[i].node);
        }
        fleet
    }

    /// Writes the operator's orders to evacuate failure domains, and no others.
    pub fn write_orders(&self) {
        let key = |name: &Name| format!("op/evacuate/{name}");
        let orders: Vec<_> = self.orders.iter().map(key).collect();
        let withdrawn = self.store.keys("op/evacuate/").into_iter().filter(|k| !orders.contains(k));
        withdrawn.for_each(|key| self.store.remove(&key));
        orders.iter().for_each(|key| self.store.put(key, b"{}"));
        let names: Vec<_> = self.orders.iter().cloned().collect();
        self.monitor.record_orders(&names);
    }

    /// Prepares the next run of a backend server, for `service` if one is given;
    /// returns none if the present run has not ended.
    fn next_run(&mut self, i: u8, service: Option<Name>) -> Option<Member> {
        let site = self.site;
        let host = &mut self.hosts[usize::from(i)];
        if host.backend.is_some() {
            return None;
        }
        host.run += 1;
        let service = service.unwrap_or_else(|| host.member.service.clone());
        host.member = Member { service, ..site.member(i, host.run) };
        Some(host.member.clone())
    }

    pub fn vm(&mut self, node: Node) -> &mut Vm {
        let first = if node.entry { 0 } else { usize::from(self.size.entries) };
        &mut self.vms[first + usize::from(node.i)]
    }

    /// Starts a process unless it is running.
    pub fn start(&mut self, node: Node) {
        let site = self.site;
        let vm = self.vm(node);
        if vm.daemon.is_some() {
            return;
        }
        (vm.run, vm.version, vm.stopping) = (vm.run + 1, 0, false);
        vm.started = Instant::now();
        vm.daemon = Some(match node.entry {
            true => {
                let settings = site.entry_settings(node.i);
                Daemon::spawn(&format!("entry-{}", node.i), site.entry_admin(node.i), &settings)
            }
            false => {
                let settings = site.agent_settings(node.i);
                Daemon::spawn(&format!("agent-{}", node.i), site.agent_admin(node.i), &settings)
            }
        });
    }

    /// Sends a signal to a process; returns whether there was one.
    pub fn signal(&mut self, node: Node, signal: Signal) -> bool {
        let vm = self.vm(node);
        vm.signals += 1;
        if signal == Signal::SIGKILL {
            // Dropping the daemon kills its process and waits for its end.
            return vm.daemon.take().is_some();
        }
        vm.daemon.as_ref().inspect(|d| d.signal(signal)).is_some()
    }

    /// Publishes a later version of the routes.
    pub fn publish(&mut self) {
        let version = self.published.last().map_or(7, |(v, _)| v + 3);
        self.published.push((version, Instant::now()));
        self.republish();
    }

    /// Writes the latest published version of the routes again.
    pub fn republish(&self) {
        if let Some((version, _)) = self.published.last() {
            self.store.publish(&self.site.weighted_routes(*version, self.weights));
            self.monitor.record_routes(&self.site.shares(self.weights));
        }
    }

    /// Writes entries which state that the backend servers of a failure domain are cold.
    pub fn cool(&mut self, domain: &Name) {
        for i in 0..self.size.agents {
            let host = &mut self.hosts[usize::from(i)];
            if host.backend.is_some() && host.member.domain == *domain {
                host.member.warming = COLD_TIME;
                let limit = Site::WARM_UP_LIMIT;
                self.monitor.record_cold(&host.member, limit, COLD_TIME / 2, COLD_TIME);
                self.register(i);
            }
        }
    }

    /// Writes the entry of a backend server to the store.
    pub fn register(&self, i: u8) {
        let member = &self.hosts[usize::from(i)].member;
        self.store.register(member.name.as_str(), &self.site.registry_entry(member));
    }

    /// Removes a running backend server and notes that its flows are gone.
    pub fn end_backend(&mut self, i: u8) -> Option<(Member, LiveBackend)> {
        let host = &mut self.hosts[usize::from(i)];
        let backend = host.backend.take()?;
        self.monitor.record_removal(&host.member);
        Some((host.member.clone(), backend))
    }

    /// Returns the latest version that was published at least `ago` before now, or 0.
    pub fn version_before(&self, ago: Duration) -> u64 {
        let old = self.published.iter().filter(|(_, at)| at.elapsed() >= ago);
        old.map(|(version, _)| *version).max().unwrap_or(0)
    }
}

/// Starts the next run of a backend server, for `service` if one is given, unless
/// the present run has not ended.
pub async fn start_backend(fleet: &Shared, i: u8, service: Option<Name>) {
    let Some(member) = fleet.borrow_mut().next_run(i, service) else { return };
    let (site, monitor) = (fleet.borrow().site, fleet.borrow().monitor.clone());
    // A seed of its own, so that no two runs use the same sequence numbers.
    let seed = member.born << 8 | u64::from(i);
    let bound = LiveBackend::bind(member, site.outbound(i), seed, monitor).await;
    let mut fleet = fleet.borrow_mut();
    if site.warms_up() {
        let member = &fleet.hosts[usize::from(i)].member;
        let (limit, time) = (Site::WARM_UP_LIMIT, Site::WARM_UP_TIME);
        fleet.monitor.record_cold(member, limit, Duration::ZERO, time);
    }
    fleet.hosts[usize::from(i)].backend = Some(bound.expect("the backend server is bound"));
    fleet.register(i);
}
