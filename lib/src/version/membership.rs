//! The backend servers of one service under one revision of its document.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::backend::Backend;
use super::doc::Doc;
use super::ranking::Ranking;
use crate::value::name::Name;

/// Members of a service under one revision; shared and immutable.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Membership {
    /// The service.
    pub service: Name,
    /// Revision of the service's document.
    pub revision: u64,
    /// The members in the manifest's order.
    pub members: Arc<[Backend]>,
    #[serde(skip)]
    ranking: std::sync::OnceLock<Ranking>,
}

impl Membership {
    /// Opens the membership that `doc` declares.
    pub fn open(doc: &Doc) -> Self {
        Self {
            service: doc.service.clone(),
            revision: doc.revision,
            members: doc.backends.as_slice().into(),
            ranking: std::sync::OnceLock::new(),
        }
    }

    /// Returns the first `count` members for the hashed key, best rank first.
    pub fn ranks(&self, key: u64, count: usize) -> Vec<&Backend> {
        let ranking = self.ranking.get_or_init(|| Ranking::open(&self.members));
        ranking.top(key, count).into_iter().map(|i| &self.members[i]).collect()
    }

    /// Returns the member with the first rank for the hashed key.
    pub fn home(&self, key: u64) -> Option<&Backend> {
        let ranking = self.ranking.get_or_init(|| Ranking::open(&self.members));
        ranking.home(key).map(|i| &self.members[i])
    }

    /// Returns the member with `name`.
    pub fn member(&self, name: &Name) -> Option<&Backend> {
        self.members.iter().find(|b| b.name == *name)
    }
}

impl PartialEq for Membership {
    fn eq(&self, other: &Self) -> bool {
        self.service == other.service && self.revision == other.revision
    }
}
