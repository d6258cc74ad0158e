//! State that all decisions of one agent share.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::action::Action;
use super::health::Health;
use super::message::Message;
use super::message::Via;
use super::peers::Peers;
use super::safeguard::Safeguard;
use crate::connection::flow::FlowKey;
use crate::request::freshness::Freshness;
use crate::request::grant::Holder;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::value::tally::Tally;
use crate::version::backend::Backend;
use crate::version::joint_membership::JointMembership;
use crate::version::manifest::InForce;
use crate::version::manifest::Manifest;
use crate::version::manifest::Service;
use crate::version::membership::Membership;

/// Maximum number of entries remembered as return paths to callers.
const MAX_ENTRIES: usize = 16;

/// Maximum number of former backend servers remembered.
const MAX_FORMER: usize = 256;

/// Identity, membership, peers and pending actions of one agent.
#[derive(Debug)]
pub struct Context {
    /// Name of this agent's backend server.
    pub me: Name,
    /// This run of the process.
    pub run: Incarnation,
    /// The manifest in force.
    pub manifest: Arc<Manifest<InForce>>,
    /// Open memberships of this agent's service.
    pub joint: JointMembership,
    /// The other agents of the service.
    pub peers: Peers,
    /// Health of the backend server, as this agent measures it.
    pub health: Health,
    /// Counts per reason.
    pub tally: Tally,
    /// Random number generator, seeded by the caller.
    pub rng: Pcg64Mcg,
    // Backend servers that left the service, or that belonged to the service which
    // held its address before.
    former: Vec<Backend>,
    entries: VecDeque<Via>,
    actions: Vec<Action>,
    /// The safeguard that is disabled, if any.
    #[cfg(feature = "variants")]
    pub disabled: Option<Safeguard>,
}

impl Context {
    /// Opens the context of the agent beside backend server `me`, which belongs
    /// to `service` of `manifest`.
    pub fn open(
        me: Name,
        run: Incarnation,
        manifest: Arc<Manifest<InForce>>,
        service: &Service,
        seed: u64,
        now: Moment,
    ) -> Self {
        let joint = JointMembership::open(service.membership.clone(), service.doc.lifetime);
        let mut context = Self {
            me,
            run,
            manifest,
            joint,
            peers: Peers::default(),
            health: Health::default(),
            tally: Tally::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            former: Vec::new(),
            entries: VecDeque::new(),
            actions: Vec::new(),
            #[cfg(feature = "variants")]
            disabled: None,
        };
        context.learn_former(service);
        context.refresh_peers(now);
        context
    }

    /// Puts a later version in force; returns false for an earlier one.
    pub fn enforce(&mut self, manifest: Arc<Manifest<InForce>>, now: Moment) -> bool {
        if manifest.version() <= self.manifest.version() {
            return false;
        }
        let before = std::mem::replace(&mut self.manifest, manifest).retire();
        let name = self.joint.current().service.clone();
        if let Some(service) = self.manifest.service(&name).cloned() {
            if let Some(old) = before.holder(service.doc.address) {
                self.remember(&old.membership.members, &service.membership);
            }
            let dropped = self.joint.current().members.clone();
            self.remember(&dropped, &service.membership);
            self.learn_former(&service);
            self.joint.enforce(service.membership.clone(), service.doc.lifetime);
            let revision = self.joint.current().revision;
            self.joint.acknowledge(&self.me, revision, now);
        }
        self.refresh_peers(now);
        true
    }

    /// Sets the peers to the members of all open memberships and the former
    /// members.
    pub fn refresh_peers(&mut self, now: Moment) {
        let mut names = self.joint.members();
        names.extend(self.former.iter().map(|b| b.name.clone()));
        names.insert(self.me.clone());
        self.peers.enforce(&self.me, &names, now);
    }

    /// Returns whether the manifest in force still names this agent's backend server.
    pub fn is_member(&self) -> bool {
        let service = self.manifest.service_of(&self.me);
        service.is_some_and(|s| s.doc.service == self.joint.current().service)
    }

    /// Returns whether the backend server of this agent takes new work.
    pub fn takes_work(&self) -> bool {
        let drain = self.joint.current().member(&self.me).is_some_and(|b| b.drain);
        self.is_member() && !drain && self.health.takes_work()
    }

    /// Returns the health that peers are sent; a backend server that drains or has
    /// left the manifest is reported as leaving.
    pub fn reported_health(&self) -> Health {
        let drain = self.joint.current().member(&self.me).is_some_and(|b| b.drain);
        Health { leaving: self.health.leaving || drain || !self.is_member(), ..self.health }
    }

    /// Returns the time limits that follow from the service's request lifetime.
    pub fn freshness(&self) -> Freshness {
        Freshness::open(self.joint.lifetime())
    }

    /// Returns this run as the holder that witnesses vote for.
    pub fn holder(&self) -> Holder {
        Holder { agent: self.me.clone(), run: self.run }
    }

    /// Returns the home of `flow` under the manifest in force.
    pub fn home(&self, flow: &FlowKey) -> Option<Name> {
        let service = self.manifest.route(flow.service)?;
        service.membership.home(flow.hash()).map(|b| b.name.clone())
    }

    /// Returns the other agents that may know the owner of `flow`: its homes under
    /// the manifest in force and under all open memberships.
    pub fn homes(&self, flow: &FlowKey) -> BTreeSet<Name> {
        let key = flow.hash();
        let open = self.joint.all().filter_map(|m| m.home(key).map(|b| b.name.clone()));
        let mut homes: BTreeSet<_> = open.chain(self.home(flow)).collect();
        homes.remove(&self.me);
        homes
    }

    /// Returns the other members of the service that new work may be placed on,
    /// under the membership in force.
    pub fn candidates(&self) -> BTreeSet<Name> {
        let members = self.joint.current().members.iter();
        members.filter(|b| b.name != self.me && !b.drain).map(|b| b.name.clone()).collect()
    }

    /// Returns the backend server with `name`, from the manifest, an open
    /// membership or the former members.
    pub fn backend(&self, name: &Name) -> Option<&Backend> {
        let service = self.manifest.service_of(name);
        service
            .and_then(|s| s.doc.backend(name.as_str()))
            .or_else(|| self.joint.all().find_map(|m| m.member(name)))
            .or_else(|| self.former.iter().find(|b| b.name == *name))
    }

    /// Remembers an entry as a return path to callers.
    pub fn remember_entry(&mut self, via: &Via) {
        self.entries.retain(|e| e != via);
        self.entries.push_front(via.clone());
        self.entries.truncate(MAX_ENTRIES);
    }

    /// Returns an entry other than `except`, or `except` if no other is known.
    pub fn other_entry(&mut self, except: &Via) -> Via {
        let others: Vec<_> = self.entries.iter().filter(|e| *e != except).collect();
        if others.is_empty() {
            return except.clone();
        }
        let at = self.rng.random_range(0..others.len());
        others[at].clone()
    }

    /// Returns whether a safeguard is in effect; without the `variants` feature all
    /// are.
    pub fn enforces(&self, safeguard: Safeguard) -> bool {
        #[cfg(feature = "variants")]
        return self.disabled != Some(safeguard);
        #[cfg(not(feature = "variants"))]
        return safeguard.is_enforced();
    }

    /// Queues an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Queues a message to another agent.
    pub fn send(&mut self, to: &Name, message: Message) {
        self.act(Action::Send { to: to.clone(), message });
    }

    /// Counts a refusal, drop or retry.
    pub fn count(&mut self, reason: Reason) {
        self.tally.add(reason);
    }

    /// Returns the queued actions and empties the queue.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the backend servers that may own flows of the service without
    /// belonging to it.
    pub fn former(&self) -> &[Backend] {
        &self.former
    }

    /// Merges the former backend servers that a peer knows; returns the peers that
    /// are new here.
    pub fn merge_former(&mut self, backends: &[Backend], now: Moment) -> Vec<Name> {
        let current = self.joint.current().clone();
        let before = self.peers.names().cloned().collect::<BTreeSet<_>>();
        self.remember(backends, &current);
        self.refresh_peers(now);
        self.peers.names().filter(|n| !before.contains(*n)).cloned().collect()
    }

    /// Forgets a backend server whose VM was removed from the live list.
    pub fn removed(&mut self, name: &Name, now: Moment) {
        self.former.retain(|b| b.name != *name);
        self.joint.remove(name, now);
        self.refresh_peers(now);
    }

    fn learn_former(&mut self, service: &Service) {
        for name in &service.doc.former {
            if let Some(old) = self.manifest.service(name).cloned() {
                self.remember(&old.membership.members, &service.membership);
            }
        }
    }

    // A backend server that left the service may still own flows of it.
    fn remember(&mut self, backends: &[Backend], current: &Membership) {
        for backend in backends.iter().filter(|b| current.member(&b.name).is_none()) {
            if self.former.iter().all(|b| b.name != backend.name) {
                self.former.push(backend.clone());
            }
        }
        let surplus = self.former.len().saturating_sub(MAX_FORMER);
        self.former.drain(..surplus);
    }
}
