//! The index of all documents of one version of the manifest.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::value::name::Name;

/// The index of the manifest: its documents and their revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// Version of the manifest; it only grows.
    pub version: u64,
    /// Revision of each service's document.
    pub services: BTreeMap<Name, u64>,
}
