//! What a decision asks its caller to do.

use std::net::SocketAddr;

use super::event::Event;
use super::message::Known;
use super::message::Message;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
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
        known: Known,
    },
    /// Write down a decision.
    Record(Event),
}
