//! Reasons for refusals, drops and retries; each has a counter of its own.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Why a packet was dropped, a request refused or work retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No service holds the packet's address in the version in force.
    NoService,
    /// The service has no backend server that could be tried.
    NoBackend,
    /// The datagram was meant for another service or process.
    WrongService,
    /// The datagram's authentication code does not match the fleet key.
    Forged,
    /// The datagram passed more processes than any route needs.
    Looping,
    /// The bytes are no message of the protocol.
    Malformed,
    /// Every peer answered that it does not own the flow.
    NotHere,
    /// A peer that might own the flow has not answered.
    OwnerUnknown,
    /// The flow table is full.
    FlowsFull,
    /// Too many packets wait for an owner to be found.
    HeldFull,
    /// A packet waited for an owner longer than the lookup timeout.
    HeldTimeout,
    /// The request table is full.
    RequestsFull,
    /// The work queue is full.
    QueueFull,
    /// The deadline cannot be met with the work already queued.
    Deadline,
    /// The deadline passed while the work was queued.
    Expired,
    /// The backend server is leaving.
    Leaving,
    /// The backend server refused the work as overloaded.
    Shed,
    /// No majority of the witnesses granted the request in time.
    NoMajority,
    /// Another agent holds the request and can't be reached.
    HeldElsewhere,
    /// Work was handed over and its answer did not come in time.
    AnswerLost,
    /// An answer matched no open request.
    LateAnswer,
    /// The packet was taken too long ago, or in the future, by the entry's clock.
    Stale,
    /// A duplicate of a request that is still being worked on.
    Duplicate,
    /// The answer to a finished request was sent again.
    Replayed,
    /// Idempotent work was retried on another backend server.
    RetryElsewhere,
    /// The retry budget is spent.
    RetryBudget,
    /// A grant request was repeated to a silent witness.
    RetryGrant,
    /// A state request was repeated to a silent peer.
    RetrySync,
    /// A claim was repeated to a silent peer.
    RetryClaim,
    /// A notification was repeated to a silent caller.
    RetryNotify,
    /// A notification was given up after its last retry.
    NotifyLost,
    /// The preferred backend server gave no credit, so the next was tried.
    Suspected,
    /// A witness that has just started abstained.
    Abstained,
    /// A grant request was made under an older membership.
    Behind,
    /// A newer owner gave way to an older one.
    OwnerYielded,
    /// A request was handed to a peer with less expected work.
    Lent,
    /// The manifest has findings and was not put in force.
    BadManifest,
    /// The platform served an older version than the one in force.
    StaleManifest,
    /// The platform could not be read.
    PlatformDown,
    /// A call to a peer's control address failed.
    PeerUnreachable,
    /// A queue between two threads was full.
    ChannelFull,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 41] = [
        Self::NoService,
        Self::NoBackend,
        Self::WrongService,
        Self::Forged,
        Self::Looping,
        Self::Malformed,
        Self::NotHere,
        Self::OwnerUnknown,
        Self::FlowsFull,
        Self::HeldFull,
        Self::HeldTimeout,
        Self::RequestsFull,
        Self::QueueFull,
        Self::Deadline,
        Self::Expired,
        Self::Leaving,
        Self::Shed,
        Self::NoMajority,
        Self::HeldElsewhere,
        Self::AnswerLost,
        Self::LateAnswer,
        Self::Stale,
        Self::Duplicate,
        Self::Replayed,
        Self::RetryElsewhere,
        Self::RetryBudget,
        Self::RetryGrant,
        Self::RetrySync,
        Self::RetryClaim,
        Self::RetryNotify,
        Self::NotifyLost,
        Self::Suspected,
        Self::Abstained,
        Self::Behind,
        Self::OwnerYielded,
        Self::Lent,
        Self::BadManifest,
        Self::StaleManifest,
        Self::PlatformDown,
        Self::PeerUnreachable,
        Self::ChannelFull,
    ];
}
