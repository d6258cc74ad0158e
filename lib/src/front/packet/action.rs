//! Actions that decisions request from the code around them.

use std::net::SocketAddr;
use std::time::Duration;

use super::event::Event;
use super::message::KnownVersions;
use super::message::Message;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::value::moment::Moment;

/// A phase whose duration is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// From passing an opening packet to the backend server until its answer.
    Opening,
    /// From a request's arrival until it is passed to the backend server.
    Held,
    /// From then until the backend server begins to answer.
    Service,
}

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another process, with a packet if it carries one.
    Send {
        /// The receiver's datagram address.
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
    /// Send a caller a reset of its flow.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Sequence number that the caller expects.
        seq: u32,
    },
    /// Another process knows later routes or a later roster.
    Behind {
        /// Its datagram address.
        peer: SocketAddr,
        /// The versions that it knows.
        known: KnownVersions,
    },
    /// Read from the source which backend servers are registered now: what is concluded about a
    /// flow depends on it.
    Confirm,
    /// Another process answered a version query.
    Answered {
        /// Its datagram address.
        peer: SocketAddr,
        /// The versions that it knows.
        known: KnownVersions,
        /// When the query was sent.
        sent: Moment,
        /// Time since which a change may be missing there; none if it can't tell.
        age: Option<Duration>,
    },
    /// Log a decision.
    Record(Event),
    /// Record the duration of a phase.
    Measured(Phase, Duration),
}
