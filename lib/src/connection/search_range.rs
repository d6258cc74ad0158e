//! Whom a search concerned, for the log.

use crate::value::name::Name;

/// Whom a search for a flow's owner concerned, and what that was derived from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchRange {
    /// The services whose agents were asked, by name.
    pub services: Vec<Name>,
    /// Number of agents that the search concerned.
    pub covered: u32,
    /// Number of agents that the roster lists, of all services.
    pub listed: u32,
    /// The first version of the routes that this process put in force.
    pub first_routes: u64,
}
