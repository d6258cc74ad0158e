//! Handling of traffic threads' reports by the control thread.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_wire::control::ControlCall;
use ntex::rt::spawn;

use super::admin::Shared;
use super::traffic_queues::Report;
use crate::connection::control_endpoint::ControlEndpoint;
use crate::version::watch;

/// Delivers messages to other processes' control endpoints, pulls later versions
/// and counts the traffic threads that run.
pub struct ReportHandler {
    control: ControlEndpoint,
    shared: Arc<Shared>,
    pulling: Rc<Cell<bool>>,
    running: usize,
}

impl ReportHandler {
    /// Opens a handler for the reports of `threads` traffic threads.
    pub fn open(control: ControlEndpoint, shared: Arc<Shared>, threads: usize) -> Self {
        Self { control, shared, pulling: Rc::default(), running: threads }
    }

    /// Returns the number of traffic threads that have not drained.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Handles a report; calls to other processes run in the background.
    pub fn handle(&mut self, report: Report) {
        let (control, shared) = (self.control.clone(), self.shared.clone());
        match report {
            Report::Deliver { control: peer, sealed } => {
                shared.metrics.control_bytes.inc_by(sealed.len() as u64);
                spawn(async move {
                    if control.call(peer, &ControlCall::Deliver { sealed }).await.is_err() {
                        shared.metrics.count(Reason::PeerUnreachable);
                    }
                });
            }
            // One pull at a time is enough: the peer repeats its version, and a later
            // report starts the next pull.
            Report::Behind(peer) if !self.pulling.replace(true) => {
                let pulling = self.pulling.clone();
                spawn(async move {
                    watch::pull(&control, peer, &shared.versions, &shared.metrics).await;
                    pulling.set(false);
                });
            }
            Report::Behind(_) => {}
            Report::Drained => self.running = self.running.saturating_sub(1),
        }
    }
}
