//! The failure domains that the operator has evacuated, at one revision of the source.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::revision::Revision;
use crate::value::name::Name;

/// The evacuated failure domains. Always the whole set: the one with the later revision
/// replaces the other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: Revision,
    // Each domain with the revision of its order.
    domains: BTreeMap<Name, Revision>,
}

/// An order to evacuate a failure domain that was given or withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: Name,
    /// Whether the order was given, rather than withdrawn.
    pub ordered: bool,
    /// The revision of the change.
    pub revision: Revision,
}

impl Evacuations {
    /// Opens the set of `domains` at `revision`, each with the revision of its order.
    pub fn open(revision: Revision, domains: impl IntoIterator<Item = (Name, Revision)>) -> Self {
        Self { revision, domains: domains.into_iter().collect() }
    }

    /// Returns the revision of the last change, which is 0 before the set was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the set was read. Until then any domain may be evacuated.
    pub fn is_known(&self) -> bool {
        self.revision != Revision::default()
    }

    /// Returns whether backend servers of `domain` must get no new flows.
    pub fn covers(&self, domain: &Name) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns the evacuated domains with the revisions of their orders.
    pub fn domains(&self) -> impl Iterator<Item = (&Name, Revision)> {
        self.domains.iter().map(|(name, revision)| (name, *revision))
    }

    /// Returns the set of a complete listing at `revision`.
    ///
    /// If nothing differs from this set, it keeps its revision: the source was written
    /// to meanwhile, but not here.
    pub fn relisted(&self, revision: Revision, listed: &[EvacuationChange]) -> Self {
        let ordered = listed.iter().filter(|c| c.ordered).map(|c| (c.domain.clone(), c.revision));
        let listing = Self::open(revision, ordered);
        let same = self.is_known() && self.revision.epoch == revision.epoch;
        let earlier = revision < self.revision;
        if earlier || (same && listing.domains == self.domains) { self.clone() } else { listing }
    }

    /// Returns the set after `changes`. Those of another epoch and those that this set
    /// includes have no effect.
    pub fn changed(&self, changes: &[EvacuationChange]) -> Self {
        let mut set = self.clone();
        let epoch = self.revision.epoch;
        let later = |c: &&EvacuationChange| c.revision.epoch == epoch && c.revision > self.revision;
        let mut later: Vec<_> = changes.iter().filter(later).collect();
        later.sort_by_key(|c| c.revision);
        for change in later {
            set.revision = set.revision.max(change.revision);
            if change.ordered {
                set.domains.insert(change.domain.clone(), change.revision);
            } else {
                set.domains.remove(&change.domain);
            }
        }
        set
    }
}
