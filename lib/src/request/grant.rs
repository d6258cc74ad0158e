//! What a witness records of a request.

use serde::Deserialize;
use serde::Serialize;

use super::key::RequestKey;
use crate::value::incarnation::Incarnation;
use crate::value::name::Name;

/// One run of an agent that may run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The agent.
    pub agent: Name,
    /// Its run; a restarted agent has lost the requests that it held.
    pub run: Incarnation,
}

impl Holder {
    /// Returns a holder that stands for no agent.
    pub fn nobody() -> Self {
        Self { agent: "".into(), run: Incarnation(0) }
    }
}

/// A granted request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The request.
    pub key: RequestKey,
    /// Who may run it.
    pub holder: Holder,
    /// Whether the holder itself reported that it has a majority.
    pub held: bool,
}
