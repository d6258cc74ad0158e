//! What operators, backend servers and failures do to a simulated fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::front::packet::agent::Agent;
use lagoonhollow_lib::front::packet::context::Identity;
use lagoonhollow_lib::front::packet::entry::Entry;
use lagoonhollow_lib::process::registry;
use lagoonhollow_lib::request::warm_up::Allowance;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::value::wall_time::WallTime;
use lagoonhollow_lib::version::evacuations::Evacuations;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use lagoonhollow_lib::version::revision::FIRST_EPOCH;
use lagoonhollow_lib::version::revision::Revision;
use lagoonhollow_lib::version::route::Share;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use lagoonhollow_lib::version::service::WarmUp;

use super::LINK_PORT;
use super::StoreCopy;
use super::World;
use crate::packets::backend::Backend;
use crate::packets::node::Node;
use crate::packets::node::Process;

/// Port on which backend servers receive packets.
const BACKEND_PORT: u16 = 8_000;

/// Least time between the removal of a backend server and the reuse of its address.
const REUSE_DELAY: Duration = Duration::from_secs(2);

/// Time after which the registry entry of a stopped backend server is removed.
const ENTRY_TTL: Duration = Duration::from_millis(4_000);

impl World {
    /// Adds a backend server and the VM of its agent without starting the agent; returns
    /// their index.
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
            warming: self.warm_up.map_or(Duration::ZERO, |(warm_up, _)| warm_up.period),
            born: self.now.0 / 1_000,
        };
        self.backends.push(Backend::open(member));
        self.register(i);
        self.check_warm_up(i, Duration::ZERO);
        i
    }

    /// Publishes a warm-up limit of all services, and starts all agents with it.
    pub fn limit_warm_up(&mut self, warm_up: WarmUp, allowance: Allowance) {
        self.warm_up = Some((warm_up, allowance));
        self.publish(|published| {
            published.services.iter_mut().for_each(|s| s.warm_up = Some(warm_up));
        });
        for i in 0..self.agents.len() {
            self.backends[i].member.warming = warm_up.period;
            self.register(i);
            self.check_warm_up(i, Duration::ZERO);
            self.start_agent(i, true);
        }
    }

    /// Writes a registry entry which says that a backend server is cold for `time`.
    pub fn cool(&mut self, i: usize, time: Duration) {
        self.backends[i].member.warming = time;
        self.register(i);
        self.check_warm_up(i, time);
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
        let service = self.backends[i].member.service.clone();
        self.start_agent_of(i, service, first_start);
    }

    /// Starts an agent whose settings name this service.
    pub fn start_agent_of(&mut self, i: usize, service: Name, first_start: bool) {
        let member = &self.backends[i].member;
        let me = Identity {
            link: self.agents[i].link,
            domain: member.domain.clone(),
            run: Incarnation(self.now.0),
            backend: member.address,
            service,
            reuse_delay: REUSE_DELAY,
            entry_ttl: ENTRY_TTL,
            first_start,
            allowance: self.warm_up.map(|(_, allowance)| allowance),
        };
        // On a VM that runs, the address of a stopped backend server refuses packets.
        self.backends[i].silent &= self.backends[i].up;
        let mut agent = Agent::open(me, self.now);
        let wall = WallTime::at(self.now, self.agents[i].ahead_ms);
        agent.track_start(wall, self.now);
        agent.update_clock(wall, self.now);
        self.agents[i].process = Some(Process::Agent(Box::new(agent)));
        self.schedule_process(self.agents[i].link);
    }

    /// Kills the process of an entry.
    pub fn kill_entry(&mut self, i: usize) {
        self.entries[i] = Node::open(self.entries[i].link);
    }

    /// Kills the agent of a backend server.
    pub fn kill_agent(&mut self, i: usize) {
        let ahead_ms = self.agents[i].ahead_ms;
        self.agents[i] = Node { ahead_ms, ..Node::open(self.agents[i].link) };
    }

    /// Crashes a backend server. Its registry entry stays until [`Self::deregister`].
    pub fn crash(&mut self, i: usize, silent: bool) {
        let now = self.now;
        self.backends[i].crash(silent, now);
    }

    /// Replaces a backend server by a new run, of another service if one is given.
    pub fn restart_backend(&mut self, i: usize, service: Option<&str>) {
        self.deregister(i);
        let mut member = self.backends[i].member.clone();
        member.name = format!("{}-{}", member.name, self.now.0).into();
        member.born = WallTime::at(self.now, self.agents[i].ahead_ms).0;
        member.standing = MemberState::Ready;
        if let Some(service) = service {
            member.service = service.into();
        }
        let slowdown = self.backends[i].slowdown;
        self.backends[i] = Backend::open(member);
        self.backends[i].slowdown = slowdown;
        self.register(i);
        self.check_warm_up(i, Duration::ZERO);
    }

    /// Starts a backend server that has crashed again, under its name; its registry entry
    /// stays that of the earlier run until [`Self::register`].
    pub fn start_run(&mut self, i: usize) {
        let born = self.now.0 / 1_000;
        self.backends[i] = Backend::open(Member { born, ..self.backends[i].member.clone() });
    }

    /// Writes a backend server's registry entry.
    pub fn register(&mut self, i: usize) {
        self.write_entry(self.backends[i].member.clone());
    }

    /// Writes a registry entry, whatever the backend servers are.
    pub fn write_entry(&mut self, member: Member) {
        self.revision.number += 1;
        let entry = registry::Entry { member, revision: self.revision };
        self.registered.insert(entry.member.name.clone(), entry);
    }

    /// Removes a backend server's registry entry.
    pub fn deregister(&mut self, i: usize) {
        self.revision.number += 1;
        self.registered.remove(&self.backends[i].member.name);
    }

    /// Returns a copy of the entries that the store holds.
    pub fn copy_store(&self) -> StoreCopy {
        let evacuated = self.evacuations.domains().map(|(domain, _)| domain.clone()).collect();
        StoreCopy { registered: self.registered.clone(), evacuated, number: self.revision.number }
    }

    /// Makes the store come back from a copy, which begins an epoch of its revisions.
    pub fn restore_store(&mut self, copy: StoreCopy) {
        self.registered = copy.registered;
        let epoch = self.revision.epoch.max(FIRST_EPOCH) + 1;
        self.revision = Revision { epoch, number: copy.number };
        for entry in self.registered.values_mut() {
            entry.revision.epoch = self.revision.epoch;
        }
        self.set_evacuated(copy.evacuated);
    }

    /// Registers a backend server as leaving: it gets no new flows and keeps its own.
    pub fn leave(&mut self, i: usize) {
        self.backends[i].member.standing = MemberState::Leaving;
        self.leaving.insert(self.backends[i].member.name.clone(), self.now);
        self.register(i);
    }

    /// Publishes a version of the routes that changes the shares of the first service's
    /// address.
    pub fn reroute(&mut self, shares: Vec<Share>) {
        self.publish(|published| published.routes[0].shares = shares);
    }

    /// Publishes a version of the routes with a change.
    pub fn publish(&mut self, change: impl FnOnce(&mut Published)) {
        change(&mut self.published);
        self.published.version += 1;
        self.routes = Arc::new(Routes::open(self.published.clone()).enforce(&self.routes));
    }

    /// Orders the evacuation of exactly these failure domains.
    pub fn evacuate(&mut self, domains: &[&str]) {
        self.revision.number += 1;
        self.set_evacuated(domains.iter().map(|domain| (*domain).into()).collect());
    }

    /// Returns the evacuations that the store holds.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        self.evacuations.clone()
    }

    pub(super) fn set_evacuated(&mut self, domains: Vec<Name>) {
        self.checks.record_orders(&domains, self.now);
        let at = self.revision;
        let orders = domains.into_iter().map(|domain| (domain, at));
        self.evacuations = Arc::new(Evacuations::open(at, orders));
    }
}
