//! Home and owner of one flow, as shown to operators.

use crate::connection::ownership::Ownership;
use crate::value::name::Name;

/// Home and owner of one flow, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlowLocation {
    /// The flow's home under the version in force.
    pub home: Option<Name>,
    /// The owner as this agent knows it.
    pub owner: Option<Ownership>,
}
