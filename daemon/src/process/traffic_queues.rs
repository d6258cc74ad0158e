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

/// Messages that wait in one queue at most.
pub const QUEUE_CAPACITY: usize = 4_096;

/// The version in force, none before the first.
pub type CurrentManifest = Option<Arc<Manifest<InForce>>>;

/// What the control thread tells a traffic thread.
#[derive(Debug)]
pub enum Command {
    /// A message came over a control connection.
    Envelope(Envelope),
    /// The platform's list of live VMs of the service.
    LiveVms(BTreeSet<Name>),
    /// What the backend server's health endpoint says.
    Health {
        /// Whether it is leaving.
        leaving: bool,
        /// Whether it has only just started.
        cold: bool,
    },
    /// An operator's question.
    Explain {
        /// The flow.
        flow: FlowKey,
        /// Where the answer goes.
        reply: oneshot::Sender<FlowLocation>,
    },
    /// A planned stop begins.
    Drain,
}

/// What a traffic thread tells the control thread.
#[derive(Debug)]
pub enum Report {
    /// A message that takes a control connection.
    Deliver {
        /// The receiver's control address.
        control: SocketAddr,
        /// The sealed message.
        sealed: Vec<u8>,
    },
    /// A process with a later version, by its control address.
    Behind(SocketAddr),
    /// A planned stop is complete.
    Drained,
}

/// What a traffic thread is opened with.
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// Name of the process: an agent's is that of its backend server.
    pub name: Name,
    /// This run.
    pub run: Incarnation,
    /// Address of the control endpoint.
    pub control: SocketAddr,
    /// Time for a planned stop.
    pub drain: Duration,
    /// The process's clock.
    pub clock: Clock,
    /// The process's metrics.
    pub metrics: Arc<Metrics>,
}

/// A traffic thread's ends of the queues.
#[derive(Debug)]
pub struct TrafficQueues {
    /// Commands from the control thread.
    pub commands: mpsc::Receiver<Command>,
    /// Reports to the control thread.
    pub reports: mpsc::Sender<Report>,
    /// The version in force.
    pub current: watch::Receiver<CurrentManifest>,
}
