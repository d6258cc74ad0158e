//! A decoded packet that has reached an agent.

use crate::process::message::Forward;

/// A packet with its decoded content; routing does not depend on the content
/// type `C`.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival<C> {
    /// The packet, with where it came from and how it is routed.
    pub forward: Forward,
    /// Whether the packet may start a flow that no agent owns yet.
    pub may_open: bool,
    /// The content that the front end decoded.
    pub content: C,
}
