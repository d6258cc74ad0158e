//! What a decision asks its caller to do.

use std::net::SocketAddr;
use std::time::Duration;

use super::event::Event;
use super::message::KnownVersions;
use super::message::Message;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;

/// What took a measured time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// From an opening packet passed to the backend server to its answer.
    Opening,
    /// From a request's arrival until it was passed to the backend server.
    Held,
    /// From then until the backend server began to answer.
    Service,
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another process, with a packet if it carries one.
    Send {
        /// The receiver's address for datagrams.
        to: SocketAddr,
        /// The message.
        message: Message,
        /// The packet.
        packet: Option<Packet>,
    },
    /// Pass a packet to the backend server.
    Backend(Packet),
    /// Pass a packet to its caller.
    Caller(Packet),
    /// Tell a caller that its flow is over.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Number that the caller expects.
        seq: u32,
    },
    /// Another process knows a later version.
    Behind {
        /// Its address for datagrams.
        peer: SocketAddr,
        /// What it knows.
        known: KnownVersions,
    },
    /// Write down a decision.
    Record(Event),
    /// Count how long something took.
    Measured(Phase, Duration),
}
