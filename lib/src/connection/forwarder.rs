//! An entry's choice of the agent that it forwards a packet to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::flow::Header;
use super::suspicion::Suspicion;
use crate::process::notice::Notice;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::value::tally::Tally;
use crate::version::backend::Backend;
use crate::version::manifest::InForce;
use crate::version::manifest::Manifest;

/// Ranks that are considered while the home is suspected; if all of them are
/// suspected, the packet goes to the home.
const MAX_RANKS: usize = 3;

/// Forwarding decisions of one traffic thread of an entry.
///
/// No flow depends on its state: every forwarder under the same manifest version
/// sends a flow's packets to an agent that finds the same owner.
#[derive(Debug)]
pub struct Forwarder {
    manifest: Arc<Manifest<InForce>>,
    suspicions: HashMap<Name, Suspicion>,
    down: HashMap<Name, Notice>,
    tally: Tally,
}

/// The agent that a packet is forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the agent's backend server.
    pub agent: Name,
    /// The agent's datagram address.
    pub link: SocketAddr,
}

impl Forwarder {
    /// Opens a forwarder under `manifest`.
    pub fn open(manifest: Arc<Manifest<InForce>>) -> Self {
        Self { manifest, suspicions: HashMap::new(), down: HashMap::new(), tally: Tally::default() }
    }

    /// Puts a later version in force; an earlier one is ignored.
    pub fn enforce(&mut self, manifest: Arc<Manifest<InForce>>) {
        if manifest.version() <= self.manifest.version() {
            return;
        }
        self.suspicions.retain(|name, _| manifest.service_of(name).is_some());
        self.down.retain(|name, _| manifest.service_of(name).is_some());
        self.manifest = manifest;
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.manifest.version()
    }

    /// Chooses the agent for a packet: the flow's home, or the next rank while
    /// the home is suspected.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NoService`] if no service has the flow's address, and
    /// [`Reason::NoBackend`] if the service has no backend server.
    pub fn forward(&mut self, header: &Header, now: Moment) -> Result<Target, Reason> {
        let Some(service) = self.manifest.route(header.flow.service).cloned() else {
            return Err(self.refuse(Reason::NoService));
        };
        let key = header.flow.hash();
        let Some(home) = service.membership.home(key) else {
            return Err(self.refuse(Reason::NoBackend));
        };
        if !self.suspects(&home.name, now) {
            return Ok(self.send(home, now));
        }
        self.tally.add(Reason::Suspected);
        let ranks = service.membership.ranks(key, MAX_RANKS);
        let next = ranks.iter().skip(1).find(|b| !self.suspects(&b.name, now));
        Ok(self.send(next.copied().unwrap_or(home), now))
    }

    /// Records that `agent` answered.
    pub fn answered(&mut self, agent: &Name) {
        if let Some(suspicion) = self.suspicions.get_mut(agent) {
            suspicion.answered();
        }
        self.down.remove(agent);
    }

    /// Handles a notice of the agents of a service about one of them.
    ///
    /// It only affects which agent packets are forwarded to; agents never place a
    /// flow because of it.
    pub fn notice(&mut self, notice: Notice) {
        if notice.down {
            self.down.insert(notice.agent.clone(), notice);
        } else if self.down.get(&notice.agent).is_some_and(|n| n.stamp < notice.stamp) {
            self.down.remove(&notice.agent);
        }
    }

    /// Returns the counts per reason.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    fn suspects(&mut self, agent: &Name, now: Moment) -> bool {
        let silent = self.suspicions.get_mut(agent).is_some_and(|s| s.suspected(now));
        silent || self.down.contains_key(agent)
    }

    fn send(&mut self, backend: &Backend, now: Moment) -> Target {
        if !self.suspicions.contains_key(&backend.name) {
            self.suspicions.insert(backend.name.clone(), Suspicion::default());
        }
        if let Some(suspicion) = self.suspicions.get_mut(&backend.name) {
            suspicion.sent(now);
        }
        Target { agent: backend.name.clone(), link: backend.link }
    }

    fn refuse(&mut self, reason: Reason) -> Reason {
        self.tally.add(reason);
        reason
    }
}
