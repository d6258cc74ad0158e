//! Queues between the control thread and the traffic threads.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::process::flow_location::FlowLocation;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::manifest::InForce;
use lagoonhollow_lib::version::manifest::Manifest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::clock::Clock;
use super::metrics::Metrics;

/// Maximum number of messages in a queue.
pub const QUEUE_CAPACITY: usize = 4_096;

/// The manifest in force, none before the first version.
pub type CurrentManifest = Option<Arc<Manifest<InForce>>>;

/// Message from the control thread to a traffic thread.
#[derive(Debug)]
pub enum Command {
    /// A message from another process that came over a control connection.
    Envelope(Envelope),
    /// The platform's list of live VMs of the service.
    LiveVms(BTreeSet<Name>),
    /// State of the backend server by its health endpoint.
    Health {
        /// Whether it takes no new work: it drains, or its endpoint does not answer.
        leaving: bool,
        /// Whether it has just started.
        cold: bool,
    },
    /// An operator asks where a flow goes.
    Explain {
        /// The flow.
        flow: FlowKey,
        /// Receives the answer.
        reply: oneshot::Sender<FlowLocation>,
    },
    /// A planned stop begins.
    Drain,
}

/// Message from a traffic thread to the control thread.
#[derive(Debug)]
pub enum Report {
    /// A message that is to be delivered over a control connection.
    Deliver {
        /// The receiver's control address.
        control: SocketAddr,
        /// The sealed message.
        sealed: Vec<u8>,
    },
    /// Another process, given by its control address, has a later version.
    Behind(SocketAddr),
    /// The traffic thread has drained or failed.
    Drained,
}

/// Arguments of a traffic thread.
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// Name of the process; an agent has the name of its backend server.
    pub name: Name,
    /// Incarnation of the process.
    pub run: Incarnation,
    /// Address of the process's control endpoint.
    pub control: SocketAddr,
    /// Drain time of a planned stop.
    pub drain: Duration,
    /// The process's clock.
    pub clock: Clock,
    /// The process's metrics.
    pub metrics: Arc<Metrics>,
}

/// A traffic thread's ends of its queues.
#[derive(Debug)]
pub struct TrafficQueues {
    /// Commands from the control thread.
    pub commands: mpsc::Receiver<Command>,
    /// Reports to the control thread.
    pub reports: mpsc::Sender<Report>,
    /// The manifest in force.
    pub current: watch::Receiver<CurrentManifest>,
}
