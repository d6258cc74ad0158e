//! Packets of unknown flows that were passed to the backend server, which returns
//! those of flows that it does not have.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::flow::FlowKey;
use crate::value::moment::Moment;

/// Time within which the backend server may return the packet of a probe.
const PROBE_TTL: Duration = Duration::from_secs(1);
/// Maximum number of outstanding probes.
const MAX_PROBES: usize = 4_096;

/// A packet of an unknown flow that was passed to the backend server.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The home that searches for the flow; none if the packet came directly
    /// from an entry.
    pub home: Option<SocketAddr>,
    /// Entry that received the packet.
    pub entry: SocketAddr,
    at: Moment,
}

/// The outstanding probes of one backend server, by flow.
#[derive(Debug, Default)]
pub struct Probes {
    flows: HashMap<FlowKey, Probe>,
}

impl Probes {
    /// Adds a probe; returns false if too many are outstanding.
    pub fn add(
        &mut self,
        flow: FlowKey,
        entry: SocketAddr,
        home: Option<SocketAddr>,
        now: Moment,
    ) -> bool {
        let room = self.flows.len() < MAX_PROBES;
        if room {
            self.flows.insert(flow, Probe { home, entry, at: now });
        }
        room
    }

    /// Removes and returns the probe of a flow.
    pub fn take(&mut self, flow: &FlowKey) -> Option<Probe> {
        self.flows.remove(flow)
    }

    /// Removes the probes whose packets were not returned in time.
    pub fn expire(&mut self, now: Moment) {
        self.flows.retain(|_, p| now.since(p.at) < PROBE_TTL);
    }
}
