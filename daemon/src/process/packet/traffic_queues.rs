//! Queues between the control thread and the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::hints::Owner;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use lagoonhollow_lib::process::liveness::KeepAlive;
use lagoonhollow_lib::process::view::View;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::decision_log::DecisionLog;
use super::metrics::PacketMetrics;
use crate::process::clock::Clock;

/// Messages that wait in one queue at most.
pub const QUEUE_CAPACITY: usize = 1_024;

/// What the control thread tells the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// An operator's question.
    Explain {
        /// The flow.
        flow: FlowKey,
        /// Where the owner goes, as far as it is known.
        reply: oneshot::Sender<Option<Owner>>,
    },
    /// How the connection to the backend server is.
    KeepAlive(KeepAlive),
    /// A planned stop begins.
    Drain,
}

/// What the traffic thread tells the control thread.
#[derive(Clone, Copy, Debug)]
pub enum Report {
    /// Another process knows a later version.
    Behind {
        /// Its address.
        peer: SocketAddr,
        /// What it knows.
        known: KnownVersions,
    },
    /// A planned stop is complete.
    Drained,
}

/// A traffic thread's ends of the queues, and what it shares.
#[derive(Debug)]
pub struct TrafficContext {
    /// Commands from the control thread.
    pub commands: mpsc::Receiver<Command>,
    /// Reports to the control thread.
    pub reports: mpsc::Sender<Report>,
    /// What the process knows.
    pub view: watch::Receiver<View>,
    /// The process's clock.
    pub clock: Clock,
    /// The process's metrics.
    pub metrics: Arc<PacketMetrics>,
    /// Where decisions are written down.
    pub decision_log: DecisionLog,
    /// Time for a planned stop.
    pub drain: Duration,
}
