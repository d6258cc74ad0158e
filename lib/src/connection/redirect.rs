//! The known owner of a flow that belongs to another agent.

use crate::connection::ownership::Ownership;
use crate::value::moment::Moment;

/// The last known owner of a flow that belongs to another agent.
#[derive(Clone, Debug)]
pub struct Redirect {
    /// The other agent's ownership.
    pub ownership: Ownership,
    /// When the redirect was last confirmed or used.
    pub used: Moment,
}
