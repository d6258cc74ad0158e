//! A simulated network in virtual time.
//!
//! It carries typed messages between the decision logic of entries and agents. It
//! can lose, delay, duplicate and reorder messages, cut paths, and pause and restart
//! processes. The same seed gives the same run.

mod call;
mod calls;
mod events;
mod node;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::forwarder::Forwarder;
use lagoonhollow_lib::process::gossip::Gossip;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::manifest::InForce;
use lagoonhollow_lib::version::manifest::Manifest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::call::Call;
pub use self::call::Calls;
pub use self::call::LONG_FACTOR;
pub use self::call::LONG_PATH;
use self::events::Event;
use self::events::Events;
use self::node::Node;
use crate::docs::Publisher;

/// Virtual time of the start; an arbitrary Unix time other than zero.
const START: Moment = Moment(1_000_000_000_000);
/// Time between two ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that it takes to read a later version from a peer.
const PULL_DELAY: Duration = Duration::from_millis(20);

/// Control address of all entries: the simulated network uses no control addresses.
const CONTROL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7001);

/// Faults that the network injects.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Fraction of messages that are sent twice.
    pub duplicate: f64,
    /// Maximum delay; each message takes between 100 µs and this, which reorders
    /// messages.
    pub delay: Duration,
    /// Time after which a backend server sends a second copy of each answer; none without
    /// copies.
    pub late_copies: Option<Duration>,
    /// Pairs of processes of which the first can't reach the second.
    pub cuts: BTreeSet<(Name, Name)>,
}

/// An entry on the simulated network.
struct Entry {
    name: Name,
    forwarder: Forwarder,
    gossip: Gossip,
    up: bool,
}

/// A fleet on a simulated network.
pub struct World {
    /// Faults of the network.
    pub faults: Faults,
    /// Requests that callers sent, with their answers.
    pub calls: Calls,
    /// Mean service time of requests on a backend server of speed 1.
    pub service_time: Duration,
    /// Safeguard that is disabled in agents started from now on.
    #[cfg(feature = "variants")]
    pub disabled_safeguard: Option<lagoonhollow_lib::process::safeguard::Safeguard>,
    now: Moment,
    rng: Pcg64Mcg,
    events: Events,
    nodes: BTreeMap<Name, Node>,
    entries: Vec<Entry>,
    publisher: Publisher,
    versions: BTreeMap<u64, Arc<Manifest<InForce>>>,
}

impl World {
    /// Opens a fleet of `entries` entries and the agents of `docs`, all with the
    /// first version in force.
    ///
    /// # Panics
    ///
    /// Panics if the documents have findings.
    pub fn open(seed: u64, entries: usize, docs: Vec<Doc>) -> Self {
        let mut publisher = Publisher::open();
        publisher.publish(docs);
        let manifest = publisher.in_force(None).expect("the documents are valid");
        let faults = Faults {
            loss: 0.0,
            duplicate: 0.0,
            delay: Duration::from_millis(2),
            late_copies: None,
            cuts: BTreeSet::new(),
        };
        let entry = |i| Entry {
            name: format!("entry-{i}").into(),
            forwarder: Forwarder::open(manifest.clone()),
            gossip: Gossip::open(format!("entry-{i}").into(), CONTROL, true, START),
            up: true,
        };
        let mut world = Self {
            faults,
            calls: Calls::default(),
            service_time: Duration::from_millis(10),
            #[cfg(feature = "variants")]
            disabled_safeguard: None,
            now: START,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: Events::default(),
            nodes: BTreeMap::new(),
            entries: (0..entries).map(entry).collect(),
            publisher,
            versions: BTreeMap::from([(1, manifest.clone())]),
        };
        for name in manifest.backends() {
            world.start(name, 1);
        }
        for i in 0..entries {
            let name = world.entries[i].name.clone();
            world.events.push(START, Event::Tick { name, run: Incarnation(0) });
        }
        world
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now.since(START)
    }

    /// Handles events for `time` of virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Publishes a version and returns its number.
    ///
    /// Each process of `readers` reads it at a random time within `spread`; the others
    /// have to learn of it from peers.
    ///
    /// # Panics
    ///
    /// Panics if the documents have findings.
    pub fn publish(&mut self, docs: Vec<Doc>, readers: &[Name], spread: Duration) -> u64 {
        self.publisher.publish(docs);
        let last = self.versions.values().next_back().cloned();
        let manifest = self.publisher.in_force(last.as_deref()).expect("the documents are valid");
        let version = manifest.version();
        self.versions.insert(version, manifest);
        for name in readers {
            let at = self.now + spread.mul_f64(self.rng.random_range(0.0..1.0));
            self.events.push(at, Event::Enforce { name: name.clone(), version });
        }
        version
    }

    /// Returns the documents that were last published.
    pub fn docs(&self) -> Vec<Doc> {
        self.publisher.docs()
    }

    /// Returns the names of all entries and agents that run.
    pub fn names(&self) -> Vec<Name> {
        let entries = self.entries.iter().filter(|e| e.up).map(|e| e.name.clone());
        entries.chain(self.nodes.keys().cloned()).collect()
    }

    /// Returns the names of all agents that run.
    pub fn agents(&self) -> Vec<Name> {
        self.nodes.keys().cloned().collect()
    }

    /// Starts an agent with `version` in force and no other state.
    pub fn start(&mut self, name: &Name, version: u64) {
        let run = Incarnation(self.now.0);
        let manifest = self.versions[&version].clone();
        let seed = self.rng.random();
        if let Some(node) = Node::open(name, run, manifest, seed, self.now) {
            #[cfg(feature = "variants")]
            let node = node.disable(self.disabled_safeguard, self.now);
            self.nodes.insert(name.clone(), node);
            self.events.push(self.now, Event::Tick { name: name.clone(), run });
        }
    }

    /// Kills an agent and its backend server.
    pub fn kill(&mut self, name: &Name) {
        self.nodes.remove(name);
    }

    /// Kills an agent and starts it again with only the version it had in force.
    pub fn restart(&mut self, name: &Name) {
        if let Some(version) = self.nodes.get(name).map(Node::version) {
            self.kill(name);
            self.start(name, version);
        }
    }

    /// Pauses an agent for `time`; its events are deferred until the end of the pause.
    pub fn pause(&mut self, name: &Name, time: Duration) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.paused_until = node.paused_until.max(self.now + time);
        }
    }

    /// Cuts the path from one process to another, or in both directions.
    pub fn cut(&mut self, from: &Name, to: &Name, both: bool) {
        self.faults.cuts.insert((from.clone(), to.clone()));
        if both {
            self.faults.cuts.insert((to.clone(), from.clone()));
        }
    }

    /// Restarts the forwarder of an entry with only the latest version.
    pub fn restart_entry(&mut self, index: usize) {
        let latest = self.versions.values().next_back().expect("there is a version").clone();
        self.entries[index].forwarder = Forwarder::open(latest);
    }

    /// Takes an entry out of the fabric, or puts it back.
    pub fn set_entry(&mut self, index: usize, up: bool) {
        self.entries[index].up = up;
    }

    /// Sets the speed of a backend server relative to speed 1, the slowest.
    pub fn set_speed(&mut self, name: &Name, speed: f64) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.speed = speed;
        }
    }

    /// Returns the time that a backend server of speed 1 would have needed for the
    /// requests that this one was given so far.
    pub fn worked(&self, name: &Name) -> Duration {
        self.nodes.get(name).map_or(Duration::ZERO, |n| n.worked)
    }

    /// Begins to drain an agent, which then accepts no more work.
    pub fn drain(&mut self, name: &Name) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.agent.update_health(true, false);
        }
    }

    /// Makes a draining agent hand over its channels.
    pub fn hand_over(&mut self, name: &Name) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(name) {
            let (_, actions) = node.agent.hand_over(now);
            self.apply_actions(name, actions);
        }
    }

    /// Tells the remaining agents that a VM was removed from the live list.
    pub fn remove_vm(&mut self, name: &Name) {
        let now = self.now;
        self.nodes.values_mut().for_each(|n| n.agent.removed(name, now));
    }

    /// Sends a notification on every channel of every backend server.
    pub fn notify(&mut self, text: &str) {
        for name in self.agents() {
            let answers = self.nodes[&name].notifications(text);
            for (id, answer) in answers {
                let now = self.now;
                if let Some(node) = self.nodes.get_mut(&name) {
                    let actions = node.agent.backend(id, answer, now);
                    self.apply_actions(&name, actions);
                }
            }
        }
    }

    /// Returns the agents that consider themselves the owner of a flow.
    pub fn owners(&mut self, flow: &FlowKey) -> Vec<Name> {
        let owns = |(name, node): (&Name, &mut Node)| {
            let owner = node.agent.explain(flow).owner;
            owner.is_some_and(|o| o.owner == *name).then(|| name.clone())
        };
        self.nodes.iter_mut().filter_map(owns).collect()
    }

    /// Returns the version in force at each process that runs.
    pub fn versions_in_force(&self) -> Vec<(Name, u64)> {
        let entries = self.entries.iter().filter(|e| e.up);
        let entries = entries.map(|e| (e.name.clone(), e.forwarder.version()));
        entries.chain(self.nodes.iter().map(|(n, node)| (n.clone(), node.version()))).collect()
    }

    /// Returns an agent, to be inspected or changed.
    pub fn agent(&mut self, name: &Name) -> Option<&mut lagoonhollow_lib::process::agent::Agent> {
        self.nodes.get_mut(name).map(|n| &mut n.agent)
    }

    /// Returns the time at which a message sent now is delivered.
    fn delivery_time(&mut self) -> Moment {
        let delay = self.faults.delay.as_micros() as u64;
        self.now + Duration::from_micros(self.rng.random_range(100..=delay.max(101)))
    }

    /// Sends an event over the network, unless it is lost or its path is cut.
    fn send(&mut self, from: &Name, to: &Name, event: Event) {
        if self.faults.cuts.contains(&(from.clone(), to.clone())) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.loss) {
                let at = self.delivery_time();
                self.events.push(at, event.clone());
            }
        }
    }

    fn send_message(&mut self, from: &Name, to: &Name, message: Message) {
        let Some(node) = self.nodes.get(from) else { return };
        let envelope = Envelope {
            from: from.clone(),
            run: node.run,
            to: to.clone(),
            version: node.version(),
            message,
        };
        self.send(from, to, Event::Deliver(envelope));
    }

    fn enforce(&mut self, name: &Name, version: u64) {
        let Some(manifest) = self.versions.get(&version).cloned() else { return };
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(name) {
            let actions = node.agent.enforce(manifest, now);
            self.apply_actions(name, actions);
        } else if let Some(entry) = self.entries.iter_mut().find(|e| e.name == *name) {
            entry.forwarder.enforce(manifest);
        }
    }

    /// Reads a later version from the peer that announced it, unless the path is cut
    /// in either direction.
    fn pull(&mut self, name: &Name, from: &Name, version: u64) {
        let cut = [(name, from), (from, name)];
        let cut = cut.iter().any(|(a, b)| self.faults.cuts.contains(&((*a).clone(), (*b).clone())));
        if !cut {
            self.events.push(self.now + PULL_DELAY, Event::Enforce { name: name.clone(), version });
        }
    }
}
