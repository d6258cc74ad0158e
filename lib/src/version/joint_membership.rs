//! The open memberships of a service while one replaces another.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::membership::Membership;
use crate::request::freshness::Freshness;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Maximum number of open memberships under which runs are granted. While more are
/// open, work is refused rather than checked against fewer of them.
pub const MAX_OPEN: usize = 8;

/// The membership in force and the earlier ones under which work may still run.
///
/// An earlier membership closes once each of its members has acknowledged a later
/// one or was removed from the live list, and no request that ran under it can be
/// handled any more.
#[derive(Clone, Debug)]
pub struct JointMembership {
    open: Vec<OpenMembership>,
    lifetime: Duration,
}

#[derive(Clone, Debug)]
struct OpenMembership {
    membership: Arc<Membership>,
    // Members that have not acknowledged a later membership.
    waiting: BTreeSet<Name>,
    // When the last of them did or was removed.
    settled: Option<Moment>,
}

impl JointMembership {
    /// Opens with the membership in force.
    pub fn open(membership: Arc<Membership>, lifetime: Duration) -> Self {
        Self { open: vec![OpenMembership::new(membership)], lifetime }
    }

    /// Puts a later membership in force; returns whether it is one.
    pub fn enforce(&mut self, membership: Arc<Membership>, lifetime: Duration) -> bool {
        if membership.revision <= self.current().revision {
            return false;
        }
        // A shorter lifetime must not cut that of requests already granted.
        self.lifetime = self.lifetime.max(lifetime);
        self.open.push(OpenMembership::new(membership));
        true
    }

    /// Opens an earlier membership that a peer still holds open; returns whether it
    /// was unknown here.
    pub fn learn(&mut self, membership: &Membership) -> bool {
        let revision = membership.revision;
        let known = self.open.iter().any(|o| o.membership.revision == revision);
        if known || revision > self.current().revision {
            return false;
        }
        let at = self.open.partition_point(|o| o.membership.revision < revision);
        self.open.insert(at, OpenMembership::new(Arc::new(membership.clone())));
        true
    }

    /// Returns the membership in force.
    pub fn current(&self) -> &Arc<Membership> {
        &self.open.last().expect("a joint membership is never empty").membership
    }

    /// Returns all open memberships, the one in force last.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Membership>> {
        self.open.iter().map(|o| &o.membership)
    }

    /// Returns the revisions of all open memberships.
    pub fn revisions(&self) -> Vec<u64> {
        self.all().map(|m| m.revision).collect()
    }

    /// Returns the members of all open memberships.
    pub fn members(&self) -> BTreeSet<Name> {
        self.all().flat_map(|m| m.members.iter().map(|b| b.name.clone())).collect()
    }

    /// Returns the longest lifetime of any open membership's requests.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns whether too many memberships are open to grant runs.
    pub fn is_full(&self) -> bool {
        self.open.len() > MAX_OPEN
    }

    /// Records that `name` works under `revision`.
    pub fn acknowledge(&mut self, name: &Name, revision: u64, now: Moment) {
        for open in self.open.iter_mut().filter(|o| o.membership.revision < revision) {
            open.drop_member(name, now);
        }
    }

    /// Records that the VM of `name` was removed from the live list.
    pub fn remove(&mut self, name: &Name, now: Moment) {
        for open in &mut self.open {
            open.drop_member(name, now);
        }
    }

    /// Closes earlier memberships that no process can work under any more.
    ///
    /// Returns whether one was closed.
    pub fn sweep(&mut self, now: Moment) -> bool {
        let before = self.open.len();
        let newest = self.current().revision;
        let retention = Freshness::open(self.lifetime).retention();
        self.open.retain(|o| {
            let over = o.settled.is_some_and(|t| now.since(t) > retention);
            o.membership.revision == newest || !over
        });
        self.open.len() < before
    }
}

impl OpenMembership {
    fn new(membership: Arc<Membership>) -> Self {
        let waiting = membership.members.iter().map(|b| b.name.clone()).collect();
        Self { membership, waiting, settled: None }
    }

    fn drop_member(&mut self, name: &Name, now: Moment) {
        if self.waiting.remove(name) && self.waiting.is_empty() {
            self.settled = Some(now);
        }
    }
}
