//! The processes of the fleet under virtual time.

use std::net::SocketAddr;
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

/// One process.
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
    /// Its address for datagrams.
    pub link: SocketAddr,
    /// Its process, while one runs.
    pub process: Option<Process>,
    /// Until when the process stands still.
    pub paused_until: Moment,
    /// Whether the store can be read from here.
    pub reads_store: bool,
    /// Whether other VMs can be reached.
    pub isolated: bool,
    /// What it knows of backend servers.
    pub registry: Registry,
    /// Time since which the store could not be read.
    pub store_lost: Option<Moment>,
    /// The view last shown.
    pub view: View,
    /// Slowness of what it knows, for a process that hears news late.
    pub read_delay: Duration,
}

impl Node {
    /// Opens a VM without a process.
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
            read_delay: Duration::ZERO,
        }
    }

    /// Returns the agent that runs here.
    pub fn agent(&mut self) -> Option<&mut Agent> {
        match &mut self.process {
            Some(Process::Agent(agent)) => Some(agent),
            _ => None,
        }
    }

    /// Returns the entry that runs here.
    pub fn entry(&mut self) -> Option<&mut Entry> {
        match &mut self.process {
            Some(Process::Entry(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Shows the process what the VM knows.
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

    /// Lets the process do what is due.
    pub fn tick(&mut self, now: Moment) {
        match &mut self.process {
            Some(Process::Entry(entry)) => entry.tick(now),
            Some(Process::Agent(agent)) => agent.tick(now),
            None => {}
        }
    }

    /// Takes what the process asks for, and what it knows.
    pub fn take_actions(&mut self) -> (Vec<Action>, KnownVersions) {
        match &mut self.process {
            Some(Process::Entry(entry)) => (entry.take_actions(), entry.known()),
            Some(Process::Agent(agent)) => (agent.take_actions(), agent.known()),
            None => (Vec::new(), KnownVersions::default()),
        }
    }
}
