//! Decisions that are logged.

use std::net::SocketAddr;

use derive_more::Display;

use crate::connection::flow::FlowKey;
use crate::connection::search_range::SearchRange;
use crate::connection::unresolved::SearchOutcome;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// What was decided.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Decision {
    /// An opening packet was offered to a backend server.
    Placed,
    /// An opening packet was offered to another backend server.
    Replaced,
    /// A backend server answered an opening packet.
    Opened,
    /// An offer of a flow was declined.
    Declined,
    /// A flow was refused before it opened.
    Refused,
    /// A flow was reset.
    Reset,
    /// A search for the owner of a flow was started.
    Searched,
    /// A packet of an unknown flow was passed to the backend server, which returns it if it
    /// does not have the flow.
    Probed,
    /// A search goes on to the agents of all other services.
    Widened,
    /// The owner of a flow was found by a search.
    FoundOwner,
    /// This agent answered that it does not own a flow, though its table has one between the
    /// same addresses.
    Denied,
    /// A packet was dropped.
    Dropped,
    /// A request got its slot too late to be answered in time.
    Late,
    /// The next home was tried.
    NextHome,
    /// The backend server left several opening packets unanswered and gets no
    /// new flows for a while.
    BackendSilent,
    /// The backend server is considered dead, and its flows with it.
    BackendDead,
    /// A later run of the backend server registered itself, and flows that were certainly
    /// opened at an earlier one are over.
    RunEnded,
    /// The backend server was silent for so long that another one may have its address.
    BackendUnproven,
    /// The backend server works again.
    BackendBack,
    /// The registration of this agent's backend server changed.
    Registered,
    /// Flows of an earlier run were recovered from another agent.
    Recovered,
    /// The flow table was proved to have every flow of the backend server's run.
    Complete,
    /// The run of another agent's backend server has ended, as that agent said.
    PeerRunEnded,
}

/// A decision with the facts that it was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// What was decided.
    pub decision: Decision,
    /// The reason for a refusal, drop or retry.
    pub reason: Option<Reason>,
    /// The flow.
    pub flow: Option<FlowKey>,
    /// The service that was drawn for a new flow.
    pub service: Option<Name>,
    /// The other process that is involved.
    pub peer: Option<SocketAddr>,
    /// A number that it was based on: microseconds, a count, a version or, for
    /// [`Decision::Opened`], a sequence number.
    pub value: u64,
    /// For a search that found no owner, how the agents stand that have not ruled it out.
    pub outcome: Option<SearchOutcome>,
    /// For a search and what was concluded from it, whom it concerned.
    pub range: Option<SearchRange>,
}

impl Event {
    /// Creates an event about a decision.
    pub fn of(decision: Decision) -> Self {
        let (flow, peer) = (None, None);
        let (outcome, range) = (None, None);
        Self { decision, reason: None, flow, service: None, peer, value: 0, outcome, range }
    }

    /// Adds the reason.
    pub fn reason(self, reason: Reason) -> Self {
        Self { reason: Some(reason), ..self }
    }

    /// Adds the flow.
    pub fn flow(self, flow: FlowKey) -> Self {
        Self { flow: Some(flow), ..self }
    }

    /// Adds the service that was drawn.
    pub fn service(self, service: Name) -> Self {
        Self { service: Some(service), ..self }
    }

    /// Adds the other process.
    pub fn peer(self, peer: SocketAddr) -> Self {
        Self { peer: Some(peer), ..self }
    }

    /// Adds whom a search concerned.
    pub fn range(self, range: SearchRange) -> Self {
        Self { range: Some(range), ..self }
    }

    /// Adds the number.
    pub fn value(self, value: u64) -> Self {
        Self { value, ..self }
    }
}
