//! A packet that has reached an agent.

use crate::process::message::Forward;

/// A packet with what the front end made of it; routing never looks at `C`.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival<C> {
    /// The packet and how it got here.
    pub forward: Forward,
    /// Whether the packet may start a flow that nobody owns yet.
    pub may_open: bool,
    /// What the front end decoded.
    pub content: C,
}
