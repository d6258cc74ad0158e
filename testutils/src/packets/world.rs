//! A fleet of the packet front end with its network, simulated in virtual time.

mod operations;
mod packets;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::segment::Flags;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::event::Event;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::process::liveness::KEEP_ALIVE_TIMEOUT;
use lagoonhollow_lib::process::liveness::KeepAlive;
use lagoonhollow_lib::process::registry;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::request::warm_up::Allowance;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::InForce;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use lagoonhollow_lib::version::service::Service;
use lagoonhollow_lib::version::service::WarmUp;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::backend::Backend;
use super::caller::Caller;
use super::caller::End;
use super::caller::Plan;
use super::checks::Checks;
use super::node::Node;
use super::power::LostFlow;

/// Port of processes for datagrams between them.
const LINK_PORT: u16 = 7_000;
/// Interval between ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between reads of the store by one process.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// Time of a read that a process asks for.
const CONFIRM_TIME: Duration = Duration::from_millis(8);
/// Time of a read after a pause.
const READ_DELAY: Duration = Duration::from_millis(20);
/// Time after which a leaving backend server must get no new flows.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// One-way delay between an agent and its backend server.
const BACKEND_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between callers and entries or agents.
const CALLER_DELAY: Duration = Duration::from_millis(3);

/// An event of the simulation.
#[derive(Debug)]
enum SimEvent {
    ToEntry(usize, Packet),
    ToNode {
        to: SocketAddr,
        from: SocketAddr,
        known: KnownVersions,
        message: Message,
        packet: Option<Packet>,
    },
    ToBackend(usize, Packet),
    FromBackend {
        agent: usize,
        packet: Packet,
        returned: bool,
    },
    Refused(usize),
    Finish {
        backend: usize,
        flow: FlowKey,
        born: u64,
    },
    ToCaller(Segment),
    Begin(FlowKey, Plan),
    Wake(FlowKey, u64),
    Tick(SocketAddr),
    Read(SocketAddr),
    Confirm(SocketAddr),
}

/// A copy of the entries that the store held at one time.
pub struct StoreCopy {
    registered: BTreeMap<Name, registry::Entry>,
    evacuated: Vec<Name>,
    number: u64,
}

/// A simulated fleet with its callers.
pub struct World {
    /// Current virtual time.
    pub now: Moment,
    /// Entries, by index.
    pub entries: Vec<Node>,
    /// Agents; each belongs to the backend server with the same index.
    pub agents: Vec<Node>,
    /// Backend servers, by index.
    pub backends: Vec<Backend>,
    /// All calls that have started.
    pub calls: BTreeMap<FlowKey, Caller>,
    /// Checks of the invariants.
    pub checks: Checks,
    /// Share of datagrams between VMs that are lost, from 0 to 1.
    pub loss: f64,
    /// Whether the store answers at all.
    pub store_up: bool,
    /// Whether a stopped backend server's refusal of a packet reaches its agent.
    pub refusals: bool,
    /// Flows that were lost with their backend servers when the power went.
    pub lost: BTreeMap<FlowKey, LostFlow>,
    /// Recorded events, with their time and the process.
    pub events: Vec<(Moment, SocketAddr, Event)>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    pending: HashMap<u64, SimEvent>,
    scheduled: u64,
    timers: HashMap<FlowKey, u64>,
    registered: BTreeMap<Name, registry::Entry>,
    revision: Revision,
    // What the store holds.
    published: Published,
    // The same after all versions before, which no single process may have read.
    routes: Arc<Routes<InForce>>,
    evacuations: Arc<Evacuations>,
    leaving: HashMap<Name, Moment>,
    warm_up: Option<(WarmUp, Allowance)>,
}

impl World {
    /// Starts a fleet of `entries` entries and of `services`, given by name and number of
    /// backend servers. Each service has its own address.
    pub fn open(seed: u64, entries: usize, services: &[(&str, usize)]) -> Self {
        let routes = services.iter().enumerate().map(|(i, (name, _))| Route {
            name: format!("r-{i}").into(),
            address: address(i),
            shares: vec![Share { service: (*name).into(), weight: 1 }],
            timeout: Duration::from_secs(1),
            target_latency: Duration::from_millis(200),
            priority: 1,
            former: Vec::new(),
        });
        let published = Published {
            version: 1,
            idle: Duration::from_secs(15),
            routes: routes.collect(),
            services: services.iter().map(|(name, _)| service(name)).collect(),
        };
        let routes = Arc::new(Routes::open(published.clone()).enforce(&Routes::default()));
        let mut world = Self {
            now: Moment::from_millis(1_000),
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            calls: BTreeMap::new(),
            checks: Checks::default(),
            loss: 0.0,
            store_up: true,
            refusals: true,
            lost: BTreeMap::new(),
            events: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            pending: HashMap::new(),
            scheduled: 0,
            timers: HashMap::new(),
            registered: BTreeMap::new(),
            revision: Revision { epoch: 0, number: 1 },
            published,
            routes,
            evacuations: Arc::new(Evacuations::open(Revision { epoch: 0, number: 1 }, [])),
            leaving: HashMap::new(),
            warm_up: None,
        };
        for (service, count) in services {
            for _ in 0..*count {
                world.add_backend(service);
            }
        }
        for i in 0..entries {
            let link = SocketAddr::from(([10, 1, 0, i as u8], LINK_PORT));
            world.entries.push(Node::open(link));
            world.start_entry(i);
        }
        for i in 0..world.agents.len() {
            world.start_agent(i, true);
        }
        world
    }

    /// Begins the check of a backend server's warm-up limit. What its entry says, for `stated`,
    /// has to be read first.
    fn check_warm_up(&mut self, i: usize, stated: Duration) {
        let Some((WarmUp { period, rate }, allowance)) = self.warm_up else { return };
        let limit = rate * allowance.overage + allowance.slack;
        let (from, time) = match stated {
            Duration::ZERO => (self.now, period),
            time => (self.now + Duration::from_secs(1), time),
        };
        let name = &self.backends[i].member.name;
        self.checks.record_cold(name, limit as usize, from, self.now + time);
    }

    /// Starts a call to a service after `wait`, from a new caller address.
    pub fn call(&mut self, service: usize, plan: Plan, wait: Duration) -> FlowKey {
        let n = self.scheduled as u32;
        let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 64, 0, 0)) + (n & 0xffff));
        let caller = SocketAddr::from((ip, 1_024 + (n % 60_000) as u16));
        let flow = FlowKey { protocol: Protocol::Tcp, caller, service: address(service) };
        self.schedule(wait, SimEvent::Begin(flow, plan));
        flow
    }

    /// Starts a call after `wait` from the address that an earlier call used.
    pub fn call_again(&mut self, flow: FlowKey, plan: Plan, wait: Duration) {
        self.schedule(wait, SimEvent::Begin(flow, plan));
    }

    /// Makes a backend server send a packet to a caller after `wait`.
    pub fn send_late(&mut self, backend: usize, segment: Segment, wait: Duration) {
        let packet = Packet { segment, raw: Arc::new([]) };
        self.schedule(wait, SimEvent::FromBackend { agent: backend, packet, returned: false });
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|q| q.0.0 <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.pending.remove(&id) {
                self.handle_event(event);
            }
        }
        self.now = end;
        self.checks.finish(end);
    }

    /// Returns the number of calls that ended as `end`.
    pub fn ended(&self, end: End) -> usize {
        self.calls.values().filter(|c| c.end() == Some(end)).count()
    }

    /// Returns the VM with the address `link`.
    pub fn node(&mut self, link: SocketAddr) -> Option<&mut Node> {
        self.entries.iter_mut().chain(&mut self.agents).find(|n| n.link == link)
    }

    /// Returns the backend server that holds a flow open.
    pub fn holder(&self, flow: &FlowKey) -> Option<usize> {
        let holds = |b: &Backend| b.held.get(flow).is_some_and(|h| h.open);
        self.backends.iter().position(holds)
    }

    fn schedule(&mut self, wait: Duration, event: SimEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + wait, self.scheduled)));
        self.pending.insert(self.scheduled, event);
    }

    fn schedule_process(&mut self, link: SocketAddr) {
        self.schedule(TICK_INTERVAL, SimEvent::Tick(link));
        self.schedule(Duration::from_millis(20), SimEvent::Read(link));
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Begin(flow, plan) => {
                let caller = Caller::open(flow, plan, self.now);
                let opening = caller.opening(0);
                self.calls.insert(flow, caller);
                self.send_from_caller(flow, vec![opening]);
            }
            SimEvent::Wake(flow, id) if self.timers.get(&flow) == Some(&id) => {
                let now = self.now;
                let sent =
                    self.calls.get_mut(&flow).map(|c| c.handle_timer(now)).unwrap_or_default();
                self.send_from_caller(flow, sent);
            }
            SimEvent::Wake(..) => {}
            SimEvent::ToCaller(segment) => self.deliver_to_caller(segment),
            SimEvent::ToEntry(i, packet) => {
                let now = self.now;
                // An entry that knows no route yet drops the packet.
                let ready = self.entries[i].view.routes.version() > 0;
                if let Some(lost) = self.lost.get_mut(&packet.segment.flow).filter(|_| ready) {
                    lost.record_packet(now);
                }
                if let Some(entry) = self.entries[i].entry() {
                    entry.handle_packet(packet, now);
                }
                self.perform(self.entries[i].link);
            }
            SimEvent::ToNode { to, from, known, message, packet } => {
                let now = self.now;
                let paused_until = self.node(to).map_or(Moment::default(), |n| n.paused_until);
                if paused_until > now {
                    let event = SimEvent::ToNode { to, from, known, message, packet };
                    self.schedule(paused_until.since(now), event);
                    return;
                }
                if let Some(node) = self.node(to) {
                    node.handle_message(from, known, message, packet, now);
                }
                self.perform(to);
            }
            SimEvent::ToBackend(i, packet) => self.deliver_to_backend(i, packet),
            SimEvent::FromBackend { agent, mut packet, returned } => {
                let now = self.now;
                packet.segment.flags.returned = returned;
                if let Some(agent) = self.agents[agent].agent() {
                    agent.handle_backend_packet(packet, now);
                }
                self.perform(self.agents[agent].link);
            }
            SimEvent::Refused(i) => {
                let now = self.now;
                if let Some(agent) = self.agents[i].agent() {
                    agent.handle_refusal(now);
                    agent.tick(now);
                }
                self.perform(self.agents[i].link);
            }
            SimEvent::Finish { backend, flow, born } => {
                if self.backends[backend].up && self.backends[backend].member.born == born {
                    let actions = self.backends[backend].finish_request(&flow);
                    self.schedule_actions(backend, actions);
                }
            }
            SimEvent::Tick(link) => self.tick(link),
            SimEvent::Read(link) => self.read_store(link, true),
            SimEvent::Confirm(link) => self.read_store(link, false),
        }
    }

    fn tick(&mut self, link: SocketAddr) {
        let now = self.now;
        let own = self.agents.iter().position(|n| n.link == link);
        let run = own.map(|i| self.backends[i].member.run());
        let connected_to = self.node(link).and_then(|n| n.connected_to.clone());
        // A connection ends with the run that accepted it.
        let ended = connected_to.is_some() && connected_to != run;
        let keep_alive = own.map(|i| match &self.backends[i] {
            _ if ended => KeepAlive::Closed,
            backend if backend.is_connected(KEEP_ALIVE_TIMEOUT, now) => KeepAlive::Open,
            backend if backend.silent => KeepAlive::Closed,
            _ => KeepAlive::Refused,
        });
        let Some(node) = self.node(link).filter(|n| n.process.is_some()) else { return };
        if node.paused_until <= now {
            if let (Some(keep_alive), Some(agent)) = (keep_alive, node.agent()) {
                agent.update_keep_alive(keep_alive, now);
                node.connected_to = run.filter(|_| keep_alive == KeepAlive::Open);
            }
            node.tick(now);
        }
        self.perform(link);
        self.schedule(TICK_INTERVAL, SimEvent::Tick(link));
    }

    /// Reads the store for a process and passes it the new view; `again` if it reads regularly.
    fn read_store(&mut self, link: SocketAddr, again: bool) {
        let now = self.now;
        let paused_until = self.node(link).map_or(Moment::default(), |n| n.paused_until);
        if paused_until > now && !again {
            return;
        }
        if paused_until > now {
            self.schedule(paused_until.since(now) + READ_DELAY, SimEvent::Read(link));
            return;
        }
        let entries = self.registered.values().cloned().collect();
        let listing = Listing { revision: self.revision, entries };
        let (routes, up) = (self.published.clone(), self.store_up);
        let evacuations = self.evacuations.clone();
        let Some(node) = self.node(link).filter(|n| n.process.is_some()) else { return };
        let read_delay = node.read_delay;
        if up && node.reads_store {
            node.registry.answered(now);
            node.registry.replace(listing, now);
            node.store_lost = None;
        } else {
            node.registry.failed();
            node.store_lost.get_or_insert(now);
        }
        node.registry.expire(now);
        let readable = node.store_lost.is_none();
        let routes = if readable { node.follow(&routes) } else { node.view.routes.clone() };
        let read_at = if readable { now } else { node.view.read_at };
        let fresh = readable && node.registry.confirms_absence(now);
        let roster = node.registry.roster(routes.published()).into();
        let partial = readable && !fresh;
        let evacuations = if readable { evacuations } else { node.view.evacuations.clone() };
        let members_at = read_at;
        let view = View { routes, roster, evacuations, fresh, partial, read_at, members_at };
        node.update_view(view, now);
        self.perform(link);
        if again {
            self.schedule(READ_INTERVAL.max(read_delay), SimEvent::Read(link));
        }
    }

    /// Performs the actions that the process at `link` requests.
    fn perform(&mut self, link: SocketAddr) {
        let Some(node) = self.node(link) else { return };
        let isolated = node.isolated;
        let (actions, known) = node.take_actions();
        let own = self.agents.iter().position(|n| n.link == link);
        for action in actions {
            match action {
                Action::Send { to, message, packet } => {
                    let unreachable = isolated || self.node(to).is_none_or(|n| n.isolated);
                    if unreachable || self.rng.random_bool(self.loss) {
                        continue;
                    }
                    let wait = Duration::from_micros(self.rng.random_range(100..1_000));
                    let from = link;
                    self.schedule(wait, SimEvent::ToNode { to, from, known, message, packet });
                }
                Action::Backend(packet) => {
                    if let Some(i) = own {
                        self.schedule(BACKEND_DELAY, SimEvent::ToBackend(i, packet));
                    }
                }
                Action::Caller(packet) if !isolated => {
                    self.schedule(CALLER_DELAY, SimEvent::ToCaller(packet.segment));
                }
                Action::Caller(_) => {}
                Action::Reset { flow, seq } => {
                    let flags = Flags { aborts: true, ..Flags::default() };
                    let segment = Segment { flow, flags, seq, ack: 0, len: 0, attempt: 0 };
                    self.schedule(CALLER_DELAY, SimEvent::ToCaller(segment));
                }
                Action::Behind { peer, .. } => {
                    let listing = self.node(peer).map(|n| n.registry.listing());
                    let evacuations = self.node(peer).map(|n| n.view.evacuations.clone());
                    let routes = self.node(peer).map(|n| n.view.routes.clone());
                    let now = self.now;
                    if let (Some(evacuations), Some(node)) = (evacuations, self.node(link))
                        && evacuations.revision() > node.view.evacuations.revision()
                    {
                        node.view.evacuations = evacuations;
                    }
                    if let (Some(listing), Some(routes), Some(node)) =
                        (listing, routes, self.node(link))
                        && node.store_lost.is_some()
                    {
                        node.registry.replace(listing, now);
                        node.view.routes = node.follow(routes.published());
                    }
                }
                Action::Confirm => self.schedule(CONFIRM_TIME, SimEvent::Confirm(link)),
                Action::Record(event) => self.events.push((self.now, link, event)),
                Action::Measured(..) | Action::Answered { .. } => {}
            }
        }
    }
}

/// Returns the address of the service with this index.
pub fn address(service: usize) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, service as u8 + 1], 443))
}

/// Returns a service without a warm-up limit.
fn service(name: &str) -> Service {
    Service { name: name.into(), warm_up: None }
}
