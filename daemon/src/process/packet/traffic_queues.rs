//! Queues between the control thread and the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::hints::Owner;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::liveness::KeepAlive;
use lagoonhollow_lib::process::view::View;
use lagoonhollow_lib::value::moment::Moment;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::decision_log::DecisionLog;
use super::metrics::PacketMetrics;
use crate::process::clock::Clock;

/// Maximum number of messages in a queue.
pub const QUEUE_CAPACITY: usize = 1_024;

/// Message from the control thread to the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// An operator asks where a flow goes.
    Explain {
        /// The flow.
        flow: FlowKey,
        /// Receives the owner, none if it is not known.
        reply: oneshot::Sender<Option<Owner>>,
    },
    /// State of the keep-alive connection to the backend server.
    KeepAlive(KeepAlive),
    /// A planned stop begins.
    Drain,
}

/// Message from the traffic thread to the control thread.
#[derive(Clone, Copy, Debug)]
pub enum Report {
    /// Another process knows later routes or a later roster.
    Behind {
        /// Address of the other process.
        peer: SocketAddr,
        /// Versions that it knows.
        known: KnownVersions,
    },
    /// Another process answered a version query.
    Answered {
        /// Address of the other process.
        peer: SocketAddr,
        /// Versions that it knows.
        known: KnownVersions,
        /// When the query was sent.
        sent: Moment,
        /// Time since which a change may be missing there; none if it can't tell.
        age: Option<Duration>,
    },
    /// What is registered in the store now decides about a flow.
    Confirm,
    /// The traffic thread has drained or ended.
    Drained,
}

/// The traffic thread's ends of its queues, with its clock, metrics and log.
#[derive(Debug)]
pub struct TrafficContext {
    /// Commands from the control thread.
    pub commands: mpsc::Receiver<Command>,
    /// Reports to the control thread.
    pub reports: mpsc::Sender<Report>,
    /// Routes and backend servers that the process knows.
    pub view: watch::Receiver<View>,
    /// The process's clock.
    pub clock: Clock,
    /// The process's metrics.
    pub metrics: Arc<PacketMetrics>,
    /// Log of decisions.
    pub decision_log: DecisionLog,
    /// Drain time of a planned stop.
    pub drain: Duration,
}
