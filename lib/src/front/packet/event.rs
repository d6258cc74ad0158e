//! Decisions that are written down.

use std::net::SocketAddr;

use derive_more::Display;

use crate::connection::flow::FlowKey;
use crate::value::reason::Reason;

/// What was decided.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Decision {
    /// An opening packet was offered to a backend server.
    Placed,
    /// It was offered to another one.
    Replaced,
    /// A backend server answered an opening packet.
    Opened,
    /// A flow was refused before it opened.
    Refused,
    /// A flow was reset.
    Reset,
    /// The owner of a flow is searched for.
    Searched,
    /// The owner of a flow was found by a search.
    FoundOwner,
    /// A packet was dropped.
    Dropped,
    /// A request got its slot too late to be answered in time.
    Late,
    /// The next home was tried.
    NextHome,
    /// The backend server is taken not to answer.
    BackendSilent,
    /// The backend server and its flows are gone.
    BackendDead,
    /// Nothing was heard of the backend server for so long that another one may
    /// have its address.
    BackendUnproven,
    /// The backend server works again.
    BackendBack,
    /// The backend server beside this agent changed.
    Registered,
    /// Flows were learned from other agents.
    Recovered,
}

/// One decision with what it was made on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// What was decided.
    pub decision: Decision,
    /// Why, where it is a refusal, drop or retry.
    pub reason: Option<Reason>,
    /// The flow.
    pub flow: Option<FlowKey>,
    /// The other process.
    pub peer: Option<SocketAddr>,
    /// A figure that it was made on: microseconds, a count or a version.
    pub value: u64,
}

impl Event {
    /// Opens an event about a decision.
    pub fn of(decision: Decision) -> Self {
        Self { decision, reason: None, flow: None, peer: None, value: 0 }
    }

    /// Adds the reason.
    pub fn reason(self, reason: Reason) -> Self {
        Self { reason: Some(reason), ..self }
    }

    /// Adds the flow.
    pub fn flow(self, flow: FlowKey) -> Self {
        Self { flow: Some(flow), ..self }
    }

    /// Adds the other process.
    pub fn peer(self, peer: SocketAddr) -> Self {
        Self { peer: Some(peer), ..self }
    }

    /// Adds a figure.
    pub fn value(self, value: u64) -> Self {
        Self { value, ..self }
    }
}
