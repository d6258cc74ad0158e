//! The votes that an agent has collected for one request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::grant::Holder;
use super::key::RequestKey;
use crate::process::context::Context;
use crate::process::safeguard::Safeguard;
use crate::value::incarnation::Incarnation;
use crate::value::name::Name;
use crate::version::membership::Membership;

/// Number of witnesses of a request, fewer if the service has fewer members.
pub const WITNESSES: usize = 3;

/// Votes for one request under every membership that is still open.
#[derive(Clone, Debug)]
pub struct VoteSet {
    key: RequestKey,
    memberships: Vec<Arc<Membership>>,
    granted: BTreeMap<Name, Incarnation>,
    denied: BTreeMap<Name, Holder>,
}

impl VoteSet {
    /// Creates an empty set that needs a majority under every open membership.
    pub fn open(key: RequestKey, context: &Context) -> Self {
        let memberships = required(context).cloned().collect();
        Self { key, memberships, granted: BTreeMap::new(), denied: BTreeMap::new() }
    }

    /// Returns the revisions of the memberships under which a majority is needed.
    pub fn revisions(&self) -> Vec<u64> {
        self.memberships.iter().map(|m| m.revision).collect()
    }

    /// Adds the memberships that were opened since.
    pub fn extend(&mut self, context: &Context) {
        let known = self.revisions();
        let new = required(context).filter(|m| !known.contains(&m.revision));
        self.memberships.extend(new.cloned());
    }

    /// Adds the vote of one run of a witness that granted the request to this agent.
    pub fn add_grant(&mut self, witness: Name, run: Incarnation) {
        self.granted.insert(witness, run);
    }

    /// Adds the vote of a witness that granted the request to `holder` instead.
    pub fn add_denial(&mut self, witness: Name, holder: Holder) {
        self.denied.insert(witness, holder);
    }

    /// Returns the holder that most witnesses voted for, once this agent can no
    /// longer reach a majority.
    pub fn winner(&self) -> Option<Holder> {
        let lost = |m: &Arc<Membership>| {
            let names = witnesses(m, &self.key);
            let denied = names.iter().filter(|n| self.denied.contains_key(*n)).count();
            names.len() - denied <= names.len() / 2
        };
        if !self.memberships.iter().any(lost) {
            return None;
        }
        let holders = self.denied.values();
        holders.max_by_key(|h| self.denied.values().filter(|o| o == h).count()).cloned()
    }

    /// Removes the vote of a witness that has restarted since.
    pub fn remove_vote(&mut self, witness: &Name, run: Incarnation) {
        if self.granted.get(witness).is_some_and(|r| *r < run) {
            self.granted.remove(witness);
        }
    }

    /// Returns the witnesses that have not voted.
    pub fn missing(&self) -> BTreeSet<Name> {
        let all = self.memberships.iter().flat_map(|m| witnesses(m, &self.key));
        all.filter(|n| !self.granted.contains_key(n) && !self.denied.contains_key(n)).collect()
    }

    /// Returns whether a majority of the witnesses under every membership granted
    /// the request to this agent.
    pub fn has_majority(&self) -> bool {
        self.memberships.iter().all(|m| {
            let names = witnesses(m, &self.key);
            let granted = names.iter().filter(|n| self.granted.contains_key(*n)).count();
            !names.is_empty() && granted > names.len() / 2
        })
    }
}

/// Returns the witnesses of `key` under `membership`.
pub fn witnesses(membership: &Membership, key: &RequestKey) -> Vec<Name> {
    let ranks = membership.ranks(key.hash(), WITNESSES);
    ranks.into_iter().map(|b| b.name.clone()).collect()
}

/// Returns the memberships under which a majority is needed.
fn required(context: &Context) -> impl Iterator<Item = &Arc<Membership>> {
    let all = context.enforces(Safeguard::JointMajority);
    let current = context.joint.current().revision;
    context.joint.all().filter(move |m| all || m.revision == current)
}
