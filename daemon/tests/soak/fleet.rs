//! A fleet of processes behind proxies.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_testutils::packets::live::LiveBackend;
use lagoonhollow_testutils::packets::monitor::Monitor;
use lagoonhollow_testutils::packets::site::Site;
use lagoonhollow_testutils::packets::store::Store;
use lagoonhollow_testutils::packets::tcp_proxy::TcpProxy;
use lagoonhollow_testutils::packets::udp_proxy::UdpProxy;
use nix::sys::signal::Signal;
use tokio::time::Instant;

use crate::daemon::Daemon;
use crate::fault::Node;

/// A fleet that tasks of one thread share.
pub type Shared = Rc<RefCell<Fleet>>;

/// How many processes there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: u8,
    pub agents: u8,
}

/// One VM of ours.
pub struct Vm {
    pub node: Node,
    /// Its process, unless it is down.
    pub daemon: Option<Daemon>,
    /// Counts its processes.
    pub run: u64,
    /// When the last one was started.
    pub started: Instant,
    /// Counts faults that hit it.
    pub faults: u64,
    /// Whether its process was asked to stop.
    pub stopping: bool,
    /// Version that its process has shown.
    pub version: u64,
    /// Whether the fabric hands packets to it.
    pub in_rotation: bool,
    /// Its way to the store.
    pub store: TcpProxy,
    /// The way of other processes' connections to it.
    pub link: TcpProxy,
}

/// One backend server's VM.
pub struct Host {
    pub member: Member,
    pub backend: Option<LiveBackend>,
    pub run: u64,
}

/// The fleet and all that it meets.
pub struct Fleet {
    pub size: Size,
    pub site: Site,
    pub monitor: Monitor,
    pub store: Store,
    pub proxy: UdpProxy,
    pub vms: Vec<Vm>,
    pub hosts: Vec<Host>,
    /// Versions that were published, with the time.
    pub published: Vec<(u64, Instant)>,
}

impl Fleet {
    pub async fn open(seed: u64, number: u8, size: Size, timed: bool) -> Self {
        // Three of five backend servers are of the first service.
        let site = Site::proxied(number, size.agents * 3 / 5);
        let monitor = Monitor::open(site.services(), timed);
        let entries = (0..size.entries).map(|i| Node { entry: true, i });
        let agents = (0..size.agents).map(|i| Node { entry: false, i });
        let nodes: Vec<_> = entries.chain(agents).collect();
        let ports: Vec<_> = nodes.iter().map(|n| site.endpoints(n.entry, n.i)).collect();
        let proxy = UdpProxy::bind(&ports, seed).await.expect("the proxy is bound");
        let store = Store::bind(site.store());
        let mut vms = Vec::new();
        for (node, port) in nodes.into_iter().zip(ports) {
            let way = TcpProxy::bind(site.store_for(node.entry, node.i), site.store()).await;
            let link = TcpProxy::bind(port.public, port.private).await;
            vms.push(Vm {
                node,
                daemon: None,
                run: 0,
                started: Instant::now(),
                faults: 0,
                stopping: false,
                version: 0,
                in_rotation: true,
                store: way.expect("the proxy is bound"),
                link: link.expect("the proxy is bound"),
            });
        }
        let mut fleet =
            Self { size, site, monitor, store, proxy, vms, hosts: vec![], published: vec![] };
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

    /// Returns the next run of a backend server, of another service if one is
    /// given; none if one runs.
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

    /// Starts a process unless it runs.
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

    /// Sends a signal to a process, if it runs; returns whether it does.
    pub fn signal(&mut self, node: Node, signal: Signal) -> bool {
        let vm = self.vm(node);
        vm.faults += 1;
        if signal == Signal::SIGKILL {
            // Dropping it kills it and waits for its end.
            return vm.daemon.take().is_some();
        }
        vm.daemon.as_ref().inspect(|d| d.signal(signal)).is_some()
    }

    /// Publishes a later version of the routes.
    pub fn publish(&mut self) {
        let version = self.published.last().map_or(7, |(v, _)| v + 3);
        self.store.publish(&self.site.routes(version));
        self.published.push((version, Instant::now()));
    }

    /// Writes the entry of a backend server.
    pub fn register(&self, i: u8) {
        let member = &self.hosts[usize::from(i)].member;
        self.store.register(member.name.as_str(), &self.site.registry_entry(member));
    }

    /// Takes away a backend server that runs, with its flows.
    pub fn end_backend(&mut self, i: u8) -> Option<(Member, LiveBackend)> {
        let host = &mut self.hosts[usize::from(i)];
        let backend = host.backend.take()?;
        self.monitor.record_removal(&host.member);
        Some((host.member.clone(), backend))
    }

    /// Returns the version that was published at least `ago`.
    pub fn version_before(&self, ago: Duration) -> u64 {
        let old = self.published.iter().filter(|(_, at)| at.elapsed() >= ago);
        old.map(|(version, _)| *version).max().unwrap_or(0)
    }
}

/// Starts another run of a backend server, of another service if one is given,
/// unless one runs.
pub async fn start_backend(fleet: &Shared, i: u8, service: Option<Name>) {
    let Some(member) = fleet.borrow_mut().next_run(i, service) else { return };
    let (site, monitor) = (fleet.borrow().site, fleet.borrow().monitor.clone());
    // Two backend servers don't begin to count at the same numbers.
    let seed = member.born << 8 | u64::from(i);
    let bound = LiveBackend::bind(member, site.outbound(i), seed, monitor).await;
    let mut fleet = fleet.borrow_mut();
    fleet.hosts[usize::from(i)].backend = Some(bound.expect("the backend server is bound"));
    fleet.register(i);
}
