//! Messages between the processes of the system, apart from their encoding.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::health::Health;
use super::notice::Notice;
use crate::connection::channel::MovedChannel;
use crate::connection::flow::FlowKey;
use crate::connection::flow::Header;
use crate::connection::ownership::Ownership;
use crate::request::grant::Grant;
use crate::request::grant::Holder;
use crate::request::key::RequestKey;
use crate::request::witness::Vote;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::backend::Backend;
use crate::version::membership::Membership;

/// The entry that a packet came through and its answer returns through.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Via {
    /// The entry.
    pub entry: Name,
    /// Its datagram address.
    pub link: SocketAddr,
}

/// How a packet is passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Mode {
    /// To where the flow is owned.
    Route,
    /// To an agent that is to own the flow from now on.
    Place(Ownership),
    /// To an agent that is to serve the request but not own the flow.
    Delegate,
}

/// A caller's packet on its way to the agent that owns its flow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// What routing depends on.
    pub header: Header,
    /// The packet's bytes.
    pub raw: Arc<[u8]>,
    /// Where the answer returns through.
    pub via: Via,
    /// Unix time at which the entry took it, by the entry's clock.
    pub seen: Moment,
    /// How it is passed on.
    pub mode: Mode,
    /// Processes passed so far.
    pub hops: u8,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A caller's packet.
    Forward(Forward),
    /// An answer for a caller, to be sent from the service's address.
    Reply {
        /// The caller's flow.
        flow: FlowKey,
        /// The packet's bytes.
        raw: Arc<[u8]>,
    },
    /// A sign that packets arrive, where no answer shows it.
    Ack,
    /// A question for the owner of a flow.
    OwnerQuery {
        /// The flow.
        flow: FlowKey,
    },
    /// The answer to [`Message::OwnerQuery`].
    OwnerReply {
        /// The flow.
        flow: FlowKey,
        /// Its owner, if known.
        owner: Option<Ownership>,
    },
    /// The receiver's redirect is outdated: the sender does not own the flow.
    NotOwner {
        /// The flow.
        flow: FlowKey,
    },
    /// A question for a witness's vote.
    RequestVote {
        /// The request.
        key: RequestKey,
        /// Who wants to run it.
        holder: Holder,
        /// When an entry took the transmission that led to this question.
        seen: Moment,
        /// Revisions of the memberships that the ballot counts under.
        revisions: Vec<u64>,
    },
    /// A witness's vote.
    Voted {
        /// The request.
        key: RequestKey,
        /// The vote.
        vote: Vote,
        /// The run that asked; an answer to an earlier run means nothing.
        requester: Incarnation,
    },
    /// A ballot lacks memberships that the witness holds open.
    Behind {
        /// The request.
        key: RequestKey,
        /// The witness's open memberships.
        memberships: Vec<Membership>,
    },
    /// A sign of life among the agents of a service.
    Heartbeat {
        /// Revision of the service's document in force.
        revision: u64,
        /// The sender's measure of its backend server.
        health: Health,
    },
    /// What a process tells a random other one.
    Gossip {
        /// The sender's control address.
        control: SocketAddr,
        /// Notices about agents.
        notices: Vec<Notice>,
        /// Whether the sender is nobody's receiver and wants to be told in return.
        wants_reply: bool,
    },
    /// A question for everything that concerns the sender.
    Sync {
        /// The sender's manifest version.
        version: u64,
        /// Whether the sender has just started.
        recovering: bool,
    },
    /// The answer to [`Message::Sync`].
    Synced {
        /// The manifest version under which `flows` was computed.
        version: u64,
        /// Flows of the asker's share that the sender owns.
        flows: Vec<(FlowKey, Ownership)>,
        /// Grants that concern the asker as a witness.
        grants: Vec<Grant>,
        /// The sender's open memberships.
        memberships: Vec<Membership>,
        /// Backend servers that left the service and may still own flows.
        former: Vec<Backend>,
        /// Whether the sender has itself forgotten earlier grants.
        recovering: bool,
        /// The run that asked; an answer to an earlier run means nothing.
        requester: Incarnation,
    },
    /// Flows that the sender owns and the receiver may be asked for.
    Claims {
        /// The flows.
        flows: Vec<(FlowKey, Ownership)>,
    },
    /// The answer to [`Message::Claims`].
    Claimed {
        /// All flows that were claimed.
        flows: Vec<FlowKey>,
        /// Those of them that have an owner which prevails.
        refused: Vec<(FlowKey, Ownership)>,
    },
    /// Channels that the receiver is to serve from now on.
    Adopt {
        /// The flow's stamp at the receiver.
        ownership: Ownership,
        /// Each channel, with notifications that its caller has not acknowledged.
        channels: Vec<MovedChannel>,
        /// Where notifications may go through.
        via: Via,
    },
    /// The answer to [`Message::Adopt`].
    Adopted {
        /// The flow.
        flow: FlowKey,
    },
}

impl Message {
    /// Returns whether the message may outgrow a datagram and takes a stream.
    pub fn is_bulk(&self) -> bool {
        matches!(
            self,
            Self::Sync { .. }
                | Self::Synced { .. }
                | Self::Claims { .. }
                | Self::Claimed { .. }
                | Self::Behind { .. }
                | Self::Adopt { .. }
                | Self::Adopted { .. }
        )
    }
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: Name,
    /// The sender's run.
    pub run: Incarnation,
    /// Receiver; a message for another process is dropped.
    pub to: Name,
    /// The sender's manifest version.
    pub version: u64,
    /// The message.
    pub message: Message,
}
