//! Messages between entries and agents.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::decline::Decline;
use crate::connection::flow::FlowKey;
use crate::connection::hints::Owner;
use crate::process::view::View;
use crate::request::load_meter::Load;
use crate::value::incarnation::Incarnation;
use crate::value::name::Name;
use crate::value::wall_time::WallTime;
use crate::version::revision::Revision;
use crate::version::run::Run;

/// The versions that a process knows; every message carries them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of the routes in force.
    pub routes: u64,
    /// Revision of the roster.
    pub roster: Revision,
    /// Revision of the evacuated failure domains.
    pub evacuations: Revision,
}

impl KnownVersions {
    /// Returns the versions of a view.
    pub fn of(view: &View) -> Self {
        Self {
            routes: view.routes.version(),
            roster: view.roster.revision(),
            evacuations: view.evacuations.revision(),
        }
    }

    /// Returns whether any of these is later than in `other`.
    pub fn exceed(&self, other: &Self) -> bool {
        self.routes > other.routes
            || self.roster > other.roster
            || self.evacuations > other.evacuations
    }
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
        /// Whether this entry has sent the packet to no other home, which may have offered
        /// the flow.
        sole: bool,
    },
    /// A packet for the receiver's backend server.
    Deliver {
        /// Entry that received the packet.
        entry: SocketAddr,
        /// Whether the entry already knows the owner, so that the receiver need
        /// not send it [`Message::Found`].
        direct: bool,
    },
    /// A home offers a flow to the receiver's backend server.
    Place {
        /// Entry that received the opening packet.
        entry: SocketAddr,
        /// The service that the flow is for.
        service: Name,
        /// Whether the receiver accepts the flow although all its slots are taken, since
        /// no other agent is left to ask.
        firm: bool,
    },
    /// A home searches for the owner of an established flow, among agents that may need the
    /// packet or have not answered [`Message::Ask`].
    Search {
        /// Entry that received the packet.
        entry: SocketAddr,
        /// Whether an agent whose flow table may be incomplete probes its backend server
        /// with the packet, instead of answering [`Message::Unsure`].
        probe: bool,
    },
    /// A flow that the receiver offered was not accepted.
    Declined {
        /// The flow.
        flow: FlowKey,
        /// Why not.
        why: Decline,
    },
    /// The sender's backend server has these flows.
    Claim {
        /// The flows, each with the backend server's initial sequence number if known.
        flows: Vec<(FlowKey, Option<u32>)>,
        /// Its load.
        load: Load,
    },
    /// The sender's backend server no longer has the flow.
    Release {
        /// The flow.
        flow: FlowKey,
    },
    /// The sender does not own the flow that the receiver searches for.
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
    /// Tells an entry that the home has accepted a packet of the flow, so the
    /// entry need not try another home.
    Accepted {
        /// The flow.
        flow: FlowKey,
    },
    /// Tells an entry that the sender does not own a flow.
    NotOwner {
        /// The flow.
        flow: FlowKey,
    },
    /// Periodic report of an agent's state.
    Heartbeat {
        /// Its run.
        run: Incarnation,
        /// The service of its backend server.
        service: Name,
        /// Its load.
        load: Load,
        /// Whether it accepts new flows.
        accepting: bool,
    },
    /// Asks for the versions that the receiver knows; the answer carries them
    /// as every message does.
    VersionQuery {
        /// Number of the query, which the answer repeats.
        number: u32,
    },
    /// Answers [`Message::VersionQuery`].
    VersionReply {
        /// Number of the query.
        number: u32,
        /// Time in milliseconds since the sender's knowledge was certainly that of the
        /// source; none if the sender can't tell, or entries may be missing.
        age_ms: Option<u16>,
    },
    /// A newly started agent asks for the flows that its earlier run owned and
    /// for those that it is a home of.
    Hello,
    /// Flows that the receiver's earlier run owned.
    Owned {
        /// The flows.
        flows: Vec<(FlowKey, Option<u32>)>,
    },
    /// The sender can't tell without a probe whether its backend server has the flow that
    /// the receiver searches for.
    Unsure {
        /// The flow.
        flow: FlowKey,
    },
    /// A home asks whether the receiver owns an established flow.
    Ask {
        /// The flow.
        flow: FlowKey,
        /// Acknowledgement number of the caller's packet, if it has one.
        ack: Option<u32>,
    },
    /// A process that started together with its backend server asks whether the receiver
    /// has heard of an earlier process of the sender.
    RunQuery {
        /// The sender's run.
        run: Incarnation,
        /// Token of the question, which the reply returns.
        token: u32,
        /// Time in milliseconds since the sender started, by its steady clock.
        age_ms: u32,
    },
    /// Answers [`Message::RunQuery`].
    RunReply {
        /// Token of the question.
        token: u32,
        /// The sender's time of day.
        wall: WallTime,
        /// Whether it has heard of an earlier process.
        earlier: bool,
    },
    /// An agent stops, and its backend server's run has ended. Others pass it on to agents that
    /// start.
    Ended {
        /// Datagram address of the agent.
        link: SocketAddr,
        /// Its run.
        run: Incarnation,
        /// The run of the backend server, if it was registered since the agent started.
        ended: Option<Run>,
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
