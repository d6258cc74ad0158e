//! VMs and processes of the fleet in virtual time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::front::packet::action::Action;
use lagoonhollow_lib::front::packet::agent::Agent;
use lagoonhollow_lib::front::packet::entry::Entry;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::front::packet::message::Message;
use lagoonhollow_lib::process::registry::Registry;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::wall_time::WallTime;
use lagoonhollow_lib::version::routes::InForce;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes::Routes;
use lagoonhollow_lib::version::run::Run;

/// A process of the load balancer.
#[derive(Debug)]
pub enum Process {
    /// An entry.
    Entry(Box<Entry>),
    /// An agent.
    Agent(Box<Agent>),
}

/// A VM of the fleet.
#[derive(Debug)]
pub struct Node {
    /// Address for datagrams between processes.
    pub link: SocketAddr,
    /// Process, while one runs.
    pub process: Option<Process>,
    /// Time until which the process is paused.
    pub paused_until: Moment,
    /// Whether the store is reachable from this VM.
    pub reads_store: bool,
    /// Whether the VM is partitioned from all other VMs.
    pub isolated: bool,
    /// Registry entries of backend servers that the process knows.
    pub registry: Registry,
    /// Time of the first failed read since the store was last read.
    pub store_lost: Option<Moment>,
    /// View that the process last got.
    pub view: View,
    /// How far the clock of the VM is ahead of the virtual time, in milliseconds.
    pub ahead_ms: i64,
    /// Least interval between reads of the store, for a process that learns of changes late.
    pub read_delay: Duration,
    /// Run of the backend server that accepted the agent's keep-alive connection.
    pub connected_to: Option<Run>,
}

impl Node {
    /// Creates a VM on which no process runs.
    pub fn open(link: SocketAddr) -> Self {
        Self {
            link,
            process: None,
            paused_until: Moment::default(),
            reads_store: true,
            isolated: false,
            registry: Registry::default(),
            store_lost: None,
            view: View::default(),
            ahead_ms: 0,
            read_delay: Duration::ZERO,
            connected_to: None,
        }
    }

    /// Returns the agent, if one runs on this VM.
    pub fn agent(&mut self) -> Option<&mut Agent> {
        match &mut self.process {
            Some(Process::Agent(agent)) => Some(agent),
            _ => None,
        }
    }

    /// Returns the entry, if one runs on this VM.
    pub fn entry(&mut self) -> Option<&mut Entry> {
        match &mut self.process {
            Some(Process::Entry(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns the routes in force once the process has read what the store holds. As in the
    /// daemon, what a process knows of earlier versions is what it has read of them itself.
    pub fn follow(&self, published: &Published) -> Arc<Routes<InForce>> {
        let known = &self.view.routes;
        match published.version > known.version() {
            true => Arc::new(Routes::open(published.clone()).enforce(known)),
            false => known.clone(),
        }
    }

    /// Passes a new view to the process.
    pub fn update_view(&mut self, view: View, now: Moment) {
        self.view = view.clone();
        match &mut self.process {
            Some(Process::Entry(entry)) => entry.update_view(view),
            Some(Process::Agent(agent)) => agent.update_view(view, now),
            None => {}
        }
    }

    /// Passes a message to the process.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        known: KnownVersions,
        message: Message,
        packet: Option<Packet>,
        now: Moment,
    ) {
        match &mut self.process {
            Some(Process::Entry(entry)) => entry.handle_message(from, known, message, now),
            Some(Process::Agent(agent)) => agent.handle_message(from, known, message, packet, now),
            None => {}
        }
    }

    /// Runs the process's periodic work.
    pub fn tick(&mut self, now: Moment) {
        match &mut self.process {
            Some(Process::Entry(entry)) => entry.tick(now),
            Some(Process::Agent(agent)) => {
                agent.update_clock(WallTime::at(now, self.ahead_ms), now);
                agent.tick(now);
            }
            None => {}
        }
    }

    /// Takes the actions that the process requests; returns them with the versions that
    /// it knows.
    pub fn take_actions(&mut self) -> (Vec<Action>, KnownVersions) {
        match &mut self.process {
            Some(Process::Entry(entry)) => (entry.take_actions(), entry.known()),
            Some(Process::Agent(agent)) => (agent.take_actions(), agent.known()),
            None => (Vec::new(), KnownVersions::default()),
        }
    }
}
