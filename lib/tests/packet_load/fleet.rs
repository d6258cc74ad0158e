//! Replays the load of one service in virtual time on the decisions of homes and agents:
//! many homes place flows by the reports that reached them, and agents queue requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::placement::OFFER_TIMEOUT;
use lagoonhollow_lib::front::packet::waiting::Waiting;
use lagoonhollow_lib::process::neighbours::Neighbour;
use lagoonhollow_lib::process::neighbours::Neighbours;
use lagoonhollow_lib::process::neighbours::heartbeat_interval;
use lagoonhollow_lib::request::request_queue::QueuedRequest;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::customers::Fault;
use super::customers::FaultKind;
use super::customers::Load;
use super::outcome::Outcome;

/// Delay of a packet between a caller and an agent, through entry and home.
const CALLER_DELAY: Duration = Duration::from_micros(4_200);
/// Delay of a message between two agents.
const LINK_DELAY: Duration = Duration::from_micros(700);
/// What the caller's latency target and timeout are shortened by at the agent.
const TRANSIT: Duration = Duration::from_millis(12);
/// Share of requests that take `TAIL` times as long.
const TAIL_SHARE: f64 = 0.03;
const TAIL: f64 = 7.0;
/// Time before which latencies are not counted.
const SETTLE: Duration = Duration::from_secs(4);

/// What agents do after a start of their backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Start {
    Pace,
    Unlimited,
    /// The bound grows in steps over this many seconds.
    Ramp(f64),
}

/// How homes choose among backend servers.
pub trait Policy {
    /// Returns the backend server for a flow that `offered` have declined.
    fn choose(
        &self,
        view: &Neighbours,
        links: &[SocketAddr],
        offered: &[usize],
        domain: usize,
        rng: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize>;

    /// Returns what agents do after a start of their backend server.
    fn start(&self) -> Start {
        Start::Pace
    }

    /// Returns how many agents may decline a flow because their slots are taken.
    fn declines(&self) -> usize {
        0
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(usize),
    Offer { home: usize, server: usize, id: usize },
    Place { home: usize, id: usize },
    Claim { home: usize, server: usize },
    Request(usize),
    Finish { server: usize, id: usize, run: u32 },
    Report(usize),
    Start(usize),
    Tick(usize),
}

/// A flow with its present request.
struct Call {
    class: usize,
    key: FlowKey,
    server: usize,
    offered: Vec<usize>,
    left: u32,
    domain: usize,
    declined: usize,
    sent: Moment,
    started: Moment,
}

struct Server {
    waiting: Waiting,
    running: u32,
    fifo: VecDeque<usize>,
    flows: usize,
    started: Option<Moment>,
    run: u32,
}

/// The replay of one load.
pub struct Fleet<'a, P> {
    load: &'a Load,
    policy: &'a P,
    rng: Pcg64Mcg,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, usize)>>,
    pending: Vec<Event>,
    calls: Vec<Call>,
    servers: Vec<Server>,
    homes: Vec<Neighbours>,
    links: Vec<SocketAddr>,
    /// Outcome at backend servers that have started within 2 s.
    pub joined: Outcome,
    /// Outcome per class.
    pub outcomes: [Outcome; 3],
    /// Requests answered per backend server.
    pub answered: Vec<usize>,
    /// Offers that were declined because slots were taken.
    pub declined: usize,
    /// Flows that were accepted, and those in the caller's failure domain.
    pub placed: usize,
    pub local: usize,
}

fn start() -> Moment {
    Moment::from_millis(1_000)
}

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

impl<'a, P: Policy> Fleet<'a, P> {
    /// Replays the load.
    pub fn run(load: &'a Load, policy: &'a P, seed: u64) -> Self {
        let now = start();
        let server = || Server {
            waiting: Waiting::open(now),
            running: 0,
            fifo: VecDeque::new(),
            flows: 0,
            started: None,
            run: 0,
        };
        let link =
            |i: usize| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_000));
        let mut fleet = Self {
            load,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            calls: Vec::new(),
            servers: (0..load.servers).map(|_| server()).collect(),
            homes: (0..load.servers).map(|_| Neighbours::default()).collect(),
            links: (0..load.servers).map(link).collect(),
            joined: Outcome::default(),
            outcomes: Default::default(),
            answered: vec![0; load.servers],
            declined: 0,
            placed: 0,
            local: 0,
        };
        for i in 0..load.servers {
            fleet.report(i);
            let wait = fleet.rng.random_range(0.0..1.0);
            fleet.schedule(secs(wait), Event::Report(i));
            fleet.schedule(secs(wait / 100.0), Event::Tick(i));
        }
        for fault in &load.faults {
            for i in (0..load.servers).filter(|i| (fault.hits)(*i)) {
                match fault.kind {
                    FaultKind::Absent => fleet.schedule(secs(fault.until), Event::Start(i)),
                    FaultKind::Restarts => fleet.schedule(secs(fault.at), Event::Start(i)),
                    _ => {}
                }
            }
        }
        for class in 0..3 {
            fleet.schedule(Duration::ZERO, Event::Arrive(class));
        }
        while let Some(Reverse((at, i))) = fleet.events.pop() {
            fleet.now = at;
            if at.since(now) >= secs(load.seconds) {
                break;
            }
            fleet.handle(fleet.pending[i]);
        }
        fleet
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.events.push(Reverse((self.now + wait, self.pending.len())));
        self.pending.push(event);
    }

    fn at(&self) -> f64 {
        self.now.since(start()).as_secs_f64()
    }

    fn fault(&self, server: usize, kind: impl Fn(FaultKind) -> bool) -> Option<&Fault> {
        let at = self.at();
        let active = |f: &&Fault| (f.hits)(server) && f.at <= at && at < f.until;
        self.load.faults.iter().filter(active).find(|f| kind(f.kind))
    }

    /// Returns the present arrivals of flows of a class a second.
    fn rate(&self, class: usize) -> f64 {
        let load = self.load;
        let work: f64 = load.classes.iter().map(|c| c.rate * c.work_ms / 1e3).sum();
        let work = work * (1.0 + TAIL_SHARE * (TAIL - 1.0));
        let speed = load.factors.iter().map(|f| 1.0 / f).sum::<f64>() / load.factors.len() as f64;
        let capacity = load.servers as f64 * f64::from(load.slots) * speed;
        let scale = load.peak * capacity / (work * 1.55);
        let at = self.at();
        let wave = 1.0 - 0.55 * (at / load.seconds * std::f64::consts::TAU).cos();
        let burst = load.bursts.iter().filter(|b| b.0 == class && b.1 <= at && at < b.1 + b.2);
        let burst: f64 = burst.map(|b| b.3).product();
        let c = &load.classes[class];
        c.rate / c.per_flow * scale * wave * burst
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Offer { home, server, id } => self.offer(home, server, id),
            Event::Place { home, id } => self.place(home, id),
            Event::Claim { home, server } => {
                let load = self.report_of(server);
                self.homes[home].update_load(self.links[server], load);
            }
            Event::Request(id) => self.request(id),
            Event::Finish { server, id, run } => self.finish(server, id, run),
            Event::Report(i) => {
                if self.fault(i, |k| matches!(k, FaultKind::Cut | FaultKind::Stalled)).is_none() {
                    self.report(i);
                }
                self.schedule(heartbeat_interval(self.load.servers), Event::Report(i));
            }
            Event::Start(i) => self.start(i),
            Event::Tick(i) => self.tick(i),
        }
    }

    fn report_of(&mut self, i: usize) -> lagoonhollow_lib::request::load_meter::Load {
        let server = &mut self.servers[i];
        let load = server.waiting.load(self.load.slots, server.flows, self.now);
        let age = server.started.map(|s| self.now.since(s).as_secs_f64());
        match (self.policy.start(), age) {
            (Start::Ramp(time), Some(age)) if age < time => {
                let bound = (f64::from(load.slots) * age / time).max(1.0) as u16;
                lagoonhollow_lib::request::load_meter::Load { bound, ..load }
            }
            _ => load,
        }
    }

    /// Starts a backend server.
    fn start(&mut self, i: usize) {
        self.servers[i].started = Some(self.now);
        if self.policy.start() == Start::Pace {
            self.servers[i].waiting.restart(self.now);
        }
        self.report(i);
    }

    fn report(&mut self, i: usize) {
        let (load, now) = (self.report_of(i), self.now);
        let accepting = self.fault(i, |k| k == FaultKind::Absent).is_none();
        let (run, service) = (Incarnation(self.servers[i].run.into()), "s".into());
        let report = Neighbour { run, service, load, accepting, heard: now, charged: 0 };
        for home in &mut self.homes {
            home.heard(self.links[i], report.clone());
        }
    }

    fn arrive(&mut self, class: usize) {
        let rate = self.rate(class);
        let gap = secs(-self.rng.random::<f64>().ln() / rate);
        self.schedule(gap, Event::Arrive(class));
        let id = self.calls.len();
        let per_flow = self.load.classes[class].per_flow;
        let left = match per_flow > 1.0 {
            true => 1 + (-self.rng.random::<f64>().ln() * (per_flow - 1.0)).round() as u32,
            false => 1,
        };
        let ip = [100, 64, (id / 250 % 250) as u8, (id % 250) as u8];
        let key = FlowKey {
            protocol: Protocol::Tcp,
            caller: (ip, 1_000 + (id / 62_500) as u16).into(),
            service: ([198, 18, 0, class as u8 + 1], 443).into(),
        };
        // Half of the callers are in one of three failure domains.
        let domain = [0, 0, 1, 2][self.rng.random_range(0..4)];
        let (sent, started) = (self.now, self.now);
        self.calls.push(Call {
            class,
            key,
            server: 0,
            offered: Vec::new(),
            left,
            domain,
            declined: 0,
            sent,
            started,
        });
        let home = self.rng.random_range(0..self.load.servers);
        self.place(home, id);
    }

    /// Places a flow, as its home.
    fn place(&mut self, home: usize, id: usize) {
        let now = self.now;
        let chosen = self.policy.choose(
            &self.homes[home],
            &self.links,
            &self.calls[id].offered,
            self.calls[id].domain,
            &mut self.rng,
            now,
        );
        let Some(server) = chosen else {
            self.record(id, None);
            return;
        };
        self.homes[home].charge(self.links[server]);
        self.calls[id].offered.push(server);
        self.schedule(LINK_DELAY, Event::Offer { home, server, id });
    }

    /// Handles an offer, as the agent.
    fn offer(&mut self, home: usize, server: usize, id: usize) {
        if self.fault(server, |k| k == FaultKind::Stalled).is_some() {
            self.homes[home].suspect(self.links[server], self.now);
            self.schedule(OFFER_TIMEOUT, Event::Place { home, id });
            return;
        }
        if self.fault(server, |k| k == FaultKind::Refuses).is_some() {
            self.servers[server].waiting.lost(self.load.slots, self.now);
            self.schedule(LINK_DELAY, Event::Place { home, id });
            return;
        }
        let load = self.report_of(server);
        let (waiting, slots) = (&mut self.servers[server].waiting, self.load.slots);
        if self.calls[id].declined < self.policy.declines()
            && (waiting.is_busy(slots, self.now)
                || u32::from(load.busy) >= u32::from(load.bound) + 2)
        {
            self.homes[home].update_load(self.links[server], load);
            self.calls[id].declined += 1;
            self.declined += 1;
            self.schedule(LINK_DELAY, Event::Place { home, id });
            return;
        }
        self.calls[id].server = server;
        self.servers[server].flows += 1;
        self.placed += 1;
        self.local += usize::from(server % 3 == self.calls[id].domain);
        let key = self.calls[id].key;
        self.servers[server].waiting.expect(key, self.now);
        self.schedule(LINK_DELAY, Event::Claim { home, server });
        self.schedule(CALLER_DELAY * 2, Event::Request(id));
    }

    /// Handles the packet that begins a request, as the agent.
    fn request(&mut self, id: usize) {
        let now = self.now;
        let call = &self.calls[id];
        let class = &self.load.classes[call.class];
        let request = QueuedRequest {
            packets: Vec::new(),
            since: now,
            priority: class.priority,
            target: now + Duration::from_millis(class.target_ms) - TRANSIT,
            deadline: now + Duration::from_millis(class.timeout_ms) - TRANSIT,
            work: self.servers[call.server].waiting.expected_work(&call.key.service),
        };
        let (server, key) = (call.server, call.key);
        self.servers[server].waiting.push(key, request);
        self.start_queued(server);
    }

    fn start_queued(&mut self, i: usize) {
        if self.fault(i, |k| k == FaultKind::Stalled).is_some() {
            return;
        }
        while let Some((key, _)) = self.servers[i].waiting.next(self.load.slots, self.now) {
            let id = self.id(&key);
            self.servers[i].waiting.begin(self.now);
            self.calls[id].started = self.now;
            self.servers[i].fifo.push_back(id);
        }
        self.run_slots(i);
    }

    /// Runs what was passed to the backend server in its free slots.
    fn run_slots(&mut self, i: usize) {
        while self.servers[i].running < self.load.slots
            && let Some(id) = self.servers[i].fifo.pop_front()
        {
            self.servers[i].running += 1;
            let class = &self.load.classes[self.calls[id].class];
            let tail = if self.rng.random_bool(TAIL_SHARE) { TAIL } else { 1.0 };
            let factor = self.load.factors[i % self.load.factors.len()];
            let slow = self.fault(i, |k| matches!(k, FaultKind::Slow(_)));
            let slow = slow.map_or(1.0, |f| if let FaultKind::Slow(s) = f.kind { s } else { 1.0 });
            let work = class.work_ms * self.rng.random_range(0.5..1.5) * tail * factor * slow;
            let run = self.servers[i].run;
            self.schedule(secs(work / 1e3), Event::Finish { server: i, id, run });
        }
    }

    fn finish(&mut self, i: usize, id: usize, run: u32) {
        if self.servers[i].run != run {
            return;
        }
        let now = self.now;
        self.servers[i].running -= 1;
        let took = now.since(self.calls[id].started);
        let route = self.calls[id].key.service;
        self.servers[i].waiting.end(route, took, self.load.slots, now);
        self.answered[i] += 1;
        self.record(id, Some(now + CALLER_DELAY));
        self.run_slots(i);
        self.start_queued(i);
        let call = &mut self.calls[id];
        call.left -= 1;
        if call.left == 0 {
            self.servers[i].flows -= 1;
            return;
        }
        let think = secs(-self.rng.random::<f64>().ln() * 0.25);
        call.sent = now + CALLER_DELAY + think;
        self.schedule(CALLER_DELAY * 2 + think, Event::Request(id));
    }

    fn tick(&mut self, i: usize) {
        self.schedule(Duration::from_millis(10), Event::Tick(i));
        for key in self.servers[i].waiting.expire(self.now) {
            let id = self.id(&key);
            self.servers[i].flows -= 1;
            self.record(id, None);
        }
        self.start_queued(i);
        if i == 0 {
            self.homes.iter_mut().for_each(|h| h.expire(self.now));
        }
    }

    fn id(&self, key: &FlowKey) -> usize {
        let std::net::IpAddr::V4(ip) = key.caller.ip() else { panic!("an IPv4 address") };
        let [_, _, high, low] = ip.octets();
        (usize::from(key.caller.port()) - 1_000) * 62_500
            + usize::from(high) * 250
            + usize::from(low)
    }

    /// Records the end of a request, by the time at which its caller has the answer.
    fn record(&mut self, id: usize, done: Option<Moment>) {
        let call = &self.calls[id];
        let class = &self.load.classes[call.class];
        if call.sent.since(start()) < SETTLE {
            return;
        }
        let started = self.servers[call.server].started.map(|s| self.now.since(s));
        if started.is_some_and(|age| age < Duration::from_secs(2)) {
            let target = Duration::from_millis(class.target_ms);
            match done.is_some_and(|d| d.since(call.sent) <= target) {
                true => self.joined.in_time += 1,
                false => self.joined.late += 1,
            }
        }
        let outcome = &mut self.outcomes[call.class];
        match done.map(|d| d.since(call.sent)) {
            None => outcome.lost += 1,
            Some(took) if took.as_millis() > class.timeout_ms.into() => outcome.lost += 1,
            Some(took) => {
                outcome.latencies.push(took);
                match took.as_millis() <= class.target_ms.into() {
                    true => outcome.in_time += 1,
                    false => outcome.late += 1,
                }
            }
        }
    }
}
