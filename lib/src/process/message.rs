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

/// The entry that a packet came through and that its answer is sent through.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Via {
    /// The entry.
    pub entry: Name,
    /// Address of its datagram socket.
    pub link: SocketAddr,
}

/// How a packet is forwarded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Mode {
    /// To the owner of the flow.
    Route,
    /// To an agent that is to own the flow from now on.
    Place(Ownership),
    /// To an agent that is to serve the request but not own the flow.
    Delegate,
}

/// A caller's packet on its way to the agent that owns its flow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// The fields that routing depends on.
    pub header: Header,
    /// The packet's bytes.
    pub raw: Arc<[u8]>,
    /// Entry that the answer is sent through.
    pub via: Via,
    /// Unix time at which the entry received it, by the entry's clock.
    pub seen: Moment,
    /// How it is forwarded.
    pub mode: Mode,
    /// Number of processes that forwarded it so far.
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
    /// Confirms that packets arrive, where no answer shows it.
    Ack,
    /// Asks for the owner of a flow.
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
    /// Asks a witness to vote on running a request.
    RequestVote {
        /// The request.
        key: RequestKey,
        /// The run that wants to run the request.
        holder: Holder,
        /// When an entry received the transmission that led to this request for a
        /// vote.
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
        /// Run of the agent that asked; an answer to an earlier run is ignored.
        requester: Incarnation,
    },
    /// A ballot lacks memberships that the witness holds open.
    Behind {
        /// The request.
        key: RequestKey,
        /// The witness's open memberships.
        memberships: Vec<Membership>,
    },
    /// A periodic report among the agents of a service.
    Heartbeat {
        /// Revision of the service's document in force.
        revision: u64,
        /// Health of the sender's backend server.
        health: Health,
    },
    /// Gossip to a randomly chosen process.
    Gossip {
        /// The sender's control address.
        control: SocketAddr,
        /// Notices about agents.
        notices: Vec<Notice>,
        /// Whether the sender, which is never chosen as a receiver, wants a reply.
        wants_reply: bool,
    },
    /// Asks for the flows and grants that concern the sender.
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
        /// Flows that the sender owns and the receiver is a home of.
        flows: Vec<(FlowKey, Ownership)>,
        /// Grants that concern the receiver as a witness.
        grants: Vec<Grant>,
        /// The sender's open memberships.
        memberships: Vec<Membership>,
        /// Backend servers that left the service and may still own flows.
        former: Vec<Backend>,
        /// Whether the sender has itself lost earlier grants.
        recovering: bool,
        /// Run of the agent that asked; an answer to an earlier run is ignored.
        requester: Incarnation,
    },
    /// Flows that the sender owns and the receiver is a home of.
    Claims {
        /// The flows.
        flows: Vec<(FlowKey, Ownership)>,
    },
    /// The answer to [`Message::Claims`].
    Claimed {
        /// All flows that were claimed.
        flows: Vec<FlowKey>,
        /// Those of them that have another owner which prevails.
        refused: Vec<(FlowKey, Ownership)>,
    },
    /// Channels that the receiver is to serve from now on.
    Adopt {
        /// Ownership of the flow once the receiver has taken it.
        ownership: Ownership,
        /// Each channel, with notifications that its caller has not acknowledged.
        channels: Vec<MovedChannel>,
        /// Entry that notifications may be sent through.
        via: Via,
    },
    /// The answer to [`Message::Adopt`].
    Adopted {
        /// The flow.
        flow: FlowKey,
    },
}

impl Message {
    /// Returns whether the message may exceed a datagram and is sent over a stream.
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
