//! What a process knows of routes and backend servers.

use std::sync::Arc;

use crate::value::moment::Moment;
use crate::version::roster::Roster;
use crate::version::routes::InForce;
use crate::version::routes::Routes;

/// One state of knowledge; built by the control thread, shared with traffic threads.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The routes in force; version 0 before the first.
    pub routes: Arc<Routes<InForce>>,
    /// The registered backend servers.
    pub roster: Arc<Roster>,
    /// Whether the source of both answers, so that a missing backend server is
    /// known to be missing.
    pub fresh: bool,
    /// When the source last answered.
    pub read_at: Moment,
}
