//! Messages between entries and agents.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::request::load_meter::Load;
use crate::value::incarnation::Incarnation;
use crate::value::name::Name;

/// What a process knows, as every message tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of the routes in force.
    pub routes: u64,
    /// Revision of the roster.
    pub roster: u64,
}

/// A message; those that carry a packet are followed by its bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// An entry asks the home of a flow to route a packet.
    Route {
        /// Service for the flow if it opens.
        service: Name,
        /// Failure domain of the caller.
        domain: Name,
    },
    /// A packet for the receiver's backend server.
    Deliver {
        /// Entry that took the packet.
        entry: SocketAddr,
        /// Whether the sender has it from the entry's own memory, so that the
        /// entry need not be told the owner.
        direct: bool,
    },
    /// The home offers a flow to the receiver's backend server.
    Place {
        /// Entry that took the opening packet.
        entry: SocketAddr,
        /// The service that the flow is for.
        service: Name,
    },
    /// The home looks for the owner of an established flow.
    Search {
        /// Entry that took the packet.
        entry: SocketAddr,
        /// Whether an agent that can't know may ask its backend server.
        probe: bool,
    },
    /// An offered flow was not taken.
    Declined {
        /// The flow.
        flow: FlowKey,
        /// Whether the backend server did not answer.
        silent: bool,
    },
    /// The sender's backend server has these flows.
    Claim {
        /// The flows, with the backend server's first number where it is known.
        flows: Vec<(FlowKey, Option<u32>)>,
        /// Its load.
        load: Load,
    },
    /// The sender's backend server no longer has the flow.
    Release {
        /// The flow.
        flow: FlowKey,
    },
    /// The flow that was searched for is not at the sender.
    NotHere {
        /// The flow.
        flow: FlowKey,
    },
    /// Tells an entry who owns a flow.
    Found {
        /// The flow.
        flow: FlowKey,
        /// Its owner.
        owner: Owner,
    },
    /// Tells an entry that the home takes care of a packet.
    Accepted {
        /// The flow.
        flow: FlowKey,
    },
    /// Tells an entry that the sender does not own a flow.
    NotOwner {
        /// The flow.
        flow: FlowKey,
    },
    /// A sign of life of an agent.
    Heartbeat {
        /// Its run.
        run: Incarnation,
        /// The service of its backend server.
        service: Name,
        /// Its load.
        load: Load,
        /// Whether it takes new flows.
        accepting: bool,
    },
    /// Asks for what the receiver knows, which every message tells.
    VersionQuery,
    /// Answers [`Message::VersionQuery`].
    VersionReply,
    /// A new run asks what others know of its flows and of those it is home of.
    Hello,
    /// Flows that the receiver's earlier run owned.
    Owned {
        /// The flows.
        flows: Vec<(FlowKey, Option<u32>)>,
    },
}

impl Message {
    /// Returns whether a packet follows the message.
    pub fn carries_packet(&self) -> bool {
        matches!(
            self,
            Self::Route { .. } | Self::Deliver { .. } | Self::Place { .. } | Self::Search { .. }
        )
    }
}
