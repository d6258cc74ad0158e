//! The manifest version in force in one process.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_lib::version::manifest::Manifest;
use lagoonhollow_wire::control::ControlReply;
use tokio::sync::watch;

use crate::process::metrics::Metrics;
use crate::process::traffic_queues::CurrentManifest;

/// Puts manifest versions in force and publishes them to the other threads.
#[derive(Clone, Debug)]
pub struct Versions {
    sender: Arc<watch::Sender<CurrentManifest>>,
    metrics: Arc<Metrics>,
}

impl Versions {
    /// Opens without a version in force.
    pub fn open(metrics: Arc<Metrics>) -> Self {
        Self { sender: Arc::new(watch::Sender::new(None)), metrics }
    }

    /// Returns the version in force.
    pub fn current(&self) -> CurrentManifest {
        self.sender.borrow().clone()
    }

    /// Returns the number of the version in force, 0 before the first.
    pub fn number(&self) -> u64 {
        self.sender.borrow().as_ref().map_or(0, |m| m.version())
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<CurrentManifest> {
        self.sender.subscribe()
    }

    /// Returns the services in `index` whose documents are missing or outdated.
    pub fn missing_docs(&self, index: &Index) -> Vec<Name> {
        let current = self.current();
        let known = |name: &Name, revision: u64| {
            let doc = current.as_ref().and_then(|m| m.docs().get(name));
            doc.is_some_and(|d| d.revision == revision)
        };
        let services = index.services.iter().filter(|(name, rev)| !known(name, **rev));
        services.map(|(name, _)| name.clone()).collect()
    }

    /// Puts a version in force if it is later and passes the checks; returns
    /// whether it did.
    pub fn apply(&self, index: Index, changed: Vec<Arc<Doc>>) -> bool {
        let before = self.current();
        let version = index.version;
        if before.as_ref().is_some_and(|m| m.version() >= version) {
            return false;
        }
        let mut docs: BTreeMap<Name, Arc<Doc>> = match &before {
            Some(manifest) => manifest.docs().clone(),
            None => BTreeMap::new(),
        };
        docs.extend(changed.into_iter().map(|d| (d.service.clone(), d)));
        docs.retain(|name, _| index.services.contains_key(name));
        match Manifest::open(index, docs.into_values()).check() {
            Ok(checked) => {
                let Ok(manifest) = checked.enforce(before.as_deref()) else { return false };
                self.metrics.version.set(version as i64);
                self.sender.send_replace(Some(Arc::new(manifest)));
                spdlog::info!("version_in_force", kv: { version });
                true
            }
            Err(findings) => {
                self.metrics.count(Reason::BadManifest);
                for finding in findings.list() {
                    let place = finding.place.as_str();
                    let problem = finding.problem.as_str();
                    spdlog::warn!("manifest_finding", kv: { version, place, problem });
                }
                false
            }
        }
    }

    /// Returns the changes for a process that has version `known`.
    pub fn delta_since(&self, known: u64) -> ControlReply {
        match self.current() {
            Some(manifest) if manifest.version() > known => ControlReply::Delta {
                index: manifest.index().clone(),
                docs: manifest.changed_since(known),
            },
            _ => ControlReply::Done,
        }
    }
}
