//! Where the owner of a flow is found.

use crate::connection::ownership::Ownership;
use crate::value::moment::Moment;

/// A flow's owner as another agent last heard of it.
#[derive(Clone, Debug)]
pub struct Redirect {
    /// The owner's stamp.
    pub ownership: Ownership,
    /// When the redirect was last confirmed or used.
    pub used: Moment,
}
