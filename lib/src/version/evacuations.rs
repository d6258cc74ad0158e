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
}
