//! The fleet, its network and its faults.

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
use lagoonhollow_lib::front::packet::agent::Agent;
use lagoonhollow_lib::front::packet::context::Identity;
use lagoonhollow_lib::front::packet::entry::Entry;
use lagoonhollow_lib::front::packet::event::Event;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::process::liveness::KEEP_ALIVE_TIMEOUT;
use lagoonhollow_lib::process::liveness::KeepAlive;
use lagoonhollow_lib::process::registry;
use lagoonhollow_lib::process::registry::Listing;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::route::Route;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::InForce;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::backend::Act;
use super::backend::Backend;
use super::caller::Caller;
use super::caller::End;
use super::caller::Plan;
use super::checks::Checks;
use super::node::Node;
use super::node::Process;

/// Port of all datagrams between processes.
const LINK_PORT: u16 = 7_000;
/// Port on which backend servers take packets.
const BACKEND_PORT: u16 = 8_000;
/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(10);
/// Time between two reads of the store by one process.
const READ: Duration = Duration::from_millis(300);
/// Time after which a leaving backend server may take no new flow.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time after which an address may be used again.
const REUSE: Duration = Duration::from_secs(2);
/// Time after which the entry of a backend server that is gone is removed.
const LAPSE: Duration = Duration::from_millis(4_000);
/// Time of a handshake at a backend server.
const HANDSHAKE: Duration = Duration::from_micros(300);
/// One way between callers and entries.
const TO_CALLER: Duration = Duration::from_millis(3);

/// One thing that happens.
#[derive(Debug)]
enum What {
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
}

/// The fleet.
pub struct World {
    /// The time.
    pub now: Moment,
    /// Entries, by index.
    pub entries: Vec<Node>,
    /// Agents; the agent with an index stands beside the backend server with the same.
    pub agents: Vec<Node>,
    /// Backend servers.
    pub backends: Vec<Backend>,
    /// All calls.
    pub calls: BTreeMap<FlowKey, Caller>,
    /// What was broken.
    pub checks: Checks,
    /// Share of datagrams between VMs that are lost.
    pub loss: f64,
    /// Whether the store answers anybody.
    pub store: bool,
    /// Whether agents are told that an address refuses their datagrams.
    pub refusals: bool,
    /// Decisions that were written down.
    pub events: Vec<(Moment, SocketAddr, Event)>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    what: HashMap<u64, What>,
    count: u64,
    wakes: HashMap<FlowKey, u64>,
    entered: BTreeMap<Name, registry::Entry>,
    revision: u64,
    routes: Arc<Routes<InForce>>,
    leaving: HashMap<Name, Moment>,
}

impl World {
    /// Opens a fleet of `entries` and the backend servers of `services`, which
    /// each have an address of their own.
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
        let published =
            Published { version: 1, idle: Duration::from_secs(15), routes: routes.collect() };
        let routes = Arc::new(Routes::open(published).enforce(&Routes::default()));
        let mut world = Self {
            now: Moment::from_millis(1_000),
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            calls: BTreeMap::new(),
            checks: Checks::default(),
            loss: 0.0,
            store: true,
            refusals: true,
            events: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            what: HashMap::new(),
            count: 0,
            wakes: HashMap::new(),
            entered: BTreeMap::new(),
            revision: 1,
            routes,
            leaving: HashMap::new(),
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

    /// Adds a backend server with its agent's VM; the agent is started apart.
    pub fn add_backend(&mut self, service: &str) -> usize {
        let i = self.agents.len();
        let ip = [10, 0, (i / 250) as u8, (i % 250) as u8 + 1];
        self.agents.push(Node::open(SocketAddr::from((ip, LINK_PORT))));
        let member = Member {
            name: format!("b-{i}").into(),
            service: service.into(),
            address: SocketAddr::from((ip, BACKEND_PORT)),
            domain: format!("d-{}", i % 3).into(),
            slots: 4,
            standing: MemberState::Ready,
            warming: Duration::ZERO,
            born: self.now.0 / 1_000,
        };
        self.backends.push(Backend::open(member));
        self.register(i);
        i
    }

    /// Starts an entry.
    pub fn start_entry(&mut self, i: usize) {
        let domain = format!("d-{}", i % 3).into();
        let entry = Entry::open(domain, LINK_PORT, self.now.0, self.now);
        self.entries[i].process = Some(Process::Entry(Box::new(entry)));
        self.schedule_process(self.entries[i].link);
    }

    /// Starts an agent.
    pub fn start_agent(&mut self, i: usize, first_start: bool) {
        let member = &self.backends[i].member;
        let me = Identity {
            link: self.agents[i].link,
            domain: member.domain.clone(),
            run: Incarnation(self.now.0),
            backend: member.address,
            service: member.service.clone(),
            reuse_delay: REUSE,
            entry_ttl: LAPSE,
            first_start,
        };
        let agent = Agent::open(me, self.now);
        self.agents[i].process = Some(Process::Agent(Box::new(agent)));
        self.schedule_process(self.agents[i].link);
    }

    /// Kills the process of an entry.
    pub fn kill_entry(&mut self, i: usize) {
        self.entries[i] = Node::open(self.entries[i].link);
    }

    /// Kills the agent beside a backend server.
    pub fn kill_agent(&mut self, i: usize) {
        self.agents[i] = Node::open(self.agents[i].link);
    }

    /// Crashes a backend server; its entry is removed later by [`World::lapse`].
    pub fn crash(&mut self, i: usize, dark: bool) {
        let now = self.now;
        self.backends[i].crash(dark, now);
    }

    /// Starts a backend server again as a new run, maybe of another service.
    pub fn restart_backend(&mut self, i: usize, service: Option<&str>) {
        self.lapse(i);
        let mut member = self.backends[i].member.clone();
        member.name = format!("{}-{}", member.name, self.now.0).into();
        member.born = self.now.0 / 1_000;
        member.standing = MemberState::Ready;
        if let Some(service) = service {
            member.service = service.into();
        }
        let slowness = self.backends[i].slowness;
        self.backends[i] = Backend::open(member);
        self.backends[i].slowness = slowness;
        self.register(i);
    }

    /// Writes a backend server's entry.
    pub fn register(&mut self, i: usize) {
        self.revision += 1;
        let member = self.backends[i].member.clone();
        let entry = registry::Entry { member, revision: self.revision };
        self.entered.insert(entry.member.name.clone(), entry);
    }

    /// Removes a backend server's entry.
    pub fn lapse(&mut self, i: usize) {
        self.revision += 1;
        self.entered.remove(&self.backends[i].member.name);
    }

    /// Lets a backend server leave: it takes no new flows and keeps its own.
    pub fn leave(&mut self, i: usize) {
        self.backends[i].member.standing = MemberState::Leaving;
        self.leaving.insert(self.backends[i].member.name.clone(), self.now);
        self.register(i);
    }

    /// Puts routes in force that send the first service's address to others.
    pub fn reroute(&mut self, shares: Vec<Share>) {
        let mut published = self.routes.published().clone();
        published.version += 1;
        published.routes[0].shares = shares;
        self.routes = Arc::new(Routes::open(published).enforce(&self.routes));
    }

    /// Calls a service from a new port after `wait`.
    pub fn call(&mut self, service: usize, plan: Plan, wait: Duration) -> FlowKey {
        let n = self.count as u32;
        let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 64, 0, 0)) + (n & 0xffff));
        let caller = SocketAddr::from((ip, 1_024 + (n % 60_000) as u16));
        let flow = FlowKey { protocol: Protocol::Tcp, caller, service: address(service) };
        self.after(wait, What::Begin(flow, plan));
        flow
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|q| q.0.0 <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(what) = self.what.remove(&id) {
                self.happen(what);
            }
        }
        self.now = end;
        self.checks.finish(end);
    }

    /// Returns how many calls ended in a way.
    pub fn ended(&self, end: End) -> usize {
        self.calls.values().filter(|c| c.end() == Some(end)).count()
    }

    /// Returns the node with an address.
    pub fn node(&mut self, link: SocketAddr) -> Option<&mut Node> {
        self.entries.iter_mut().chain(&mut self.agents).find(|n| n.link == link)
    }

    /// Returns the backend server that holds a flow open.
    pub fn holder(&self, flow: &FlowKey) -> Option<usize> {
        let holds = |b: &Backend| b.held.get(flow).is_some_and(|h| h.open);
        self.backends.iter().position(holds)
    }

    fn after(&mut self, wait: Duration, what: What) {
        self.count += 1;
        self.queue.push(Reverse((self.now + wait, self.count)));
        self.what.insert(self.count, what);
    }

    fn schedule_process(&mut self, link: SocketAddr) {
        self.after(TICK, What::Tick(link));
        self.after(Duration::from_millis(20), What::Read(link));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Begin(flow, plan) => {
                let caller = Caller::open(flow, plan, self.now);
                let opening = caller.opening(0);
                self.calls.insert(flow, caller);
                self.caller_sends(flow, vec![opening]);
            }
            What::Wake(flow, id) if self.wakes.get(&flow) == Some(&id) => {
                let now = self.now;
                let sent = self.calls.get_mut(&flow).map(|c| c.wake(now)).unwrap_or_default();
                self.caller_sends(flow, sent);
            }
            What::Wake(..) => {}
            What::ToCaller(segment) => self.reach_caller(segment),
            What::ToEntry(i, packet) => {
                let now = self.now;
                if let Some(entry) = self.entries[i].entry() {
                    entry.handle_packet(packet, now);
                }
                self.perform(self.entries[i].link);
            }
            What::ToNode { to, from, known, message, packet } => {
                let now = self.now;
                let frozen = self.node(to).map_or(Moment::default(), |n| n.frozen);
                if frozen > now {
                    let what = What::ToNode { to, from, known, message, packet };
                    self.after(frozen.since(now), what);
                    return;
                }
                if let Some(node) = self.node(to) {
                    node.message(from, known, message, packet, now);
                }
                self.perform(to);
            }
            What::ToBackend(i, packet) => self.reach_backend(i, packet),
            What::FromBackend { agent, mut packet, returned } => {
                let now = self.now;
                packet.segment.flags.returned = returned;
                if let Some(agent) = self.agents[agent].agent() {
                    agent.handle_backend_packet(packet, now);
                }
                self.perform(self.agents[agent].link);
            }
            What::Refused(i) => {
                let now = self.now;
                if let Some(agent) = self.agents[i].agent() {
                    agent.handle_refusal(now);
                    agent.tick(now);
                }
                self.perform(self.agents[i].link);
            }
            What::Finish { backend, flow, born } => {
                if self.backends[backend].up && self.backends[backend].member.born == born {
                    let acts = self.backends[backend].finish(&flow);
                    self.act(backend, acts);
                }
            }
            What::Tick(link) => self.tick(link),
            What::Read(link) => self.read(link),
        }
    }

    fn tick(&mut self, link: SocketAddr) {
        let now = self.now;
        let own = self.agents.iter().position(|n| n.link == link);
        let lifeline = own.map(|i| match &self.backends[i] {
            backend if backend.connected(KEEP_ALIVE_TIMEOUT, now) => KeepAlive::Open,
            backend if backend.dark => KeepAlive::Closed,
            _ => KeepAlive::Refused,
        });
        let Some(node) = self.node(link).filter(|n| n.process.is_some()) else { return };
        if node.frozen <= now {
            if let (Some(lifeline), Some(agent)) = (lifeline, node.agent()) {
                agent.update_keep_alive(lifeline, now);
            }
            node.tick(now);
        }
        self.perform(link);
        self.after(TICK, What::Tick(link));
    }

    /// Lets a process read the store.
    fn read(&mut self, link: SocketAddr) {
        let now = self.now;
        let entries = self.entered.values().cloned().collect();
        let listing = Listing { revision: self.revision, entries };
        let (routes, up) = (self.routes.clone(), self.store);
        let Some(node) = self.node(link).filter(|n| n.process.is_some()) else { return };
        let lag = node.lag;
        if up && node.store {
            node.registry.answered(now);
            node.registry.replace(listing, now);
            node.silent = None;
        } else {
            node.registry.failed();
            node.silent.get_or_insert(now);
        }
        node.registry.expire(now);
        let readable = node.silent.is_none();
        let routes = if readable { routes } else { node.shown.routes.clone() };
        let read = if readable { now } else { node.shown.read_at };
        let fresh = readable && node.registry.confirms_absence(now);
        let view = View { routes, roster: node.registry.roster().into(), fresh, read_at: read };
        node.enforce(view, now);
        self.perform(link);
        self.after(READ.max(lag), What::Read(link));
    }

    fn caller_sends(&mut self, flow: FlowKey, packets: Vec<Packet>) {
        for packet in packets {
            let ready: Vec<_> =
                (0..self.entries.len()).filter(|i| self.entries[*i].process.is_some()).collect();
            if let Some(i) = ready.get(flow.hash() as usize % ready.len().max(1)) {
                self.after(TO_CALLER, What::ToEntry(*i, packet));
            }
        }
        if let Some(wait) = self.calls.get(&flow).and_then(|c| c.timer()) {
            self.after(wait, What::Wake(flow, self.count + 1));
            self.wakes.insert(flow, self.count);
        }
    }

    fn reach_caller(&mut self, segment: Segment) {
        let now = self.now;
        let holder = self.holder(&segment.flow);
        let Some(caller) = self.calls.get_mut(&segment.flow) else { return };
        if segment.flags.aborts && caller.is_open() && holder.is_some() {
            let flow = segment.flow;
            self.checks.find(now, format!("{flow:?} was reset while backend {holder:?} holds it"));
        }
        let sent = caller.take(&segment, now);
        self.caller_sends(segment.flow, sent);
    }

    fn reach_backend(&mut self, i: usize, packet: Packet) {
        let segment = packet.segment;
        if !self.backends[i].up {
            if !self.backends[i].dark && self.refusals {
                self.after(HANDSHAKE, What::Refused(i));
            }
            return;
        }
        if segment.is_opening() {
            self.check_opening(i, &segment);
        } else if let Some(holder) = self.holder(&segment.flow) {
            self.checks.reached(segment.flow, holder == i, self.now);
        }
        let acts = self.backends[i].take(packet, &mut self.rng);
        self.act(i, acts);
    }

    fn check_opening(&mut self, i: usize, segment: &Segment) {
        let member = &self.backends[i].member;
        let route = self.routes.route(segment.flow.service);
        if !route.is_some_and(|r| r.holders().any(|s| *s == member.service)) {
            let problem = format!("{:?} was opened at {}", segment.flow, member.service);
            self.checks.find(self.now, problem);
        }
        let late = |at: &Moment| self.now.since(*at) > DRAIN_BOUND;
        if self.leaving.get(&member.name).is_some_and(late) {
            let problem = format!("{:?} was opened at leaving {}", segment.flow, member.name);
            self.checks.find(self.now, problem);
        }
    }

    fn act(&mut self, i: usize, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Send(packet) => {
                    self.after(HANDSHAKE, What::FromBackend { agent: i, packet, returned: false });
                }
                Act::Return(packet) => {
                    self.after(HANDSHAKE, What::FromBackend { agent: i, packet, returned: true });
                }
                Act::Begin(flow, work) => {
                    let born = self.backends[i].member.born;
                    self.after(work, What::Finish { backend: i, flow, born });
                }
            }
        }
    }

    /// Does what the process at `link` asks for.
    fn perform(&mut self, link: SocketAddr) {
        let Some(node) = self.node(link) else { return };
        let cut = node.cut;
        let (actions, known) = node.take_actions();
        let own = self.agents.iter().position(|n| n.link == link);
        for action in actions {
            match action {
                Action::Send { to, message, packet } => {
                    let away = cut || self.node(to).is_none_or(|n| n.cut);
                    if away || self.rng.random_bool(self.loss) {
                        continue;
                    }
                    let wait = Duration::from_micros(self.rng.random_range(100..1_000));
                    let from = link;
                    self.after(wait, What::ToNode { to, from, known, message, packet });
                }
                Action::Backend(packet) => {
                    if let Some(i) = own {
                        self.after(HANDSHAKE, What::ToBackend(i, packet));
                    }
                }
                Action::Caller(packet) if !cut => {
                    self.after(TO_CALLER, What::ToCaller(packet.segment));
                }
                Action::Caller(_) => {}
                Action::Reset { flow, seq } => {
                    let flags = Flags { aborts: true, ..Flags::default() };
                    let segment = Segment { flow, flags, seq, ack: 0, len: 0, attempt: 0 };
                    self.after(TO_CALLER, What::ToCaller(segment));
                }
                Action::Behind { peer, .. } => {
                    let listing = self.node(peer).map(|n| n.registry.listing());
                    let now = self.now;
                    if let (Some(listing), Some(node)) = (listing, self.node(link))
                        && node.silent.is_some()
                    {
                        node.registry.replace(listing, now);
                    }
                }
                Action::Record(event) => self.events.push((self.now, link, event)),
                Action::Measured(..) => {}
            }
        }
    }
}

/// Returns the address of the service with an index.
pub fn address(service: usize) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, service as u8 + 1], 443))
}
