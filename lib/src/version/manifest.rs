//! Life cycle of a version of the manifest.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::backend::Backend;
use super::doc::Doc;
use super::index::Index;
use super::membership::Membership;
use crate::value::findings::Findings;
use crate::value::name::Name;

/// Greatest weight of a backend server.
const MAX_WEIGHT: u32 = 1_000;
/// Greatest number of slots of a backend server.
const MAX_SLOTS: u32 = 100_000;
/// Greatest deadline and lifetime.
const MAX_TIME: Duration = Duration::from_secs(3_600);

/// Read as published, not checked yet.
#[derive(Debug)]
pub struct Fetched;

/// Checked as a whole, with no finding.
#[derive(Debug)]
pub struct Checked;

/// In force: decisions are made under this version.
#[derive(Debug)]
pub struct InForce {
    routes: HashMap<SocketAddr, Arc<Service>>,
    services: BTreeMap<Name, Arc<Service>>,
    backends: HashMap<Name, Arc<Service>>,
    // The names in `backends` in a fixed order, for random draws.
    names: Vec<Name>,
}

/// Replaced by a later version; only the former holders of addresses are kept.
#[derive(Debug)]
pub struct Retired {
    routes: HashMap<SocketAddr, Arc<Service>>,
}

/// A service of the version in force.
#[derive(Debug)]
pub struct Service {
    /// The published document.
    pub doc: Doc,
    /// The members it declares.
    pub membership: Arc<Membership>,
}

/// One version of the manifest in life cycle state `S`.
#[derive(Debug)]
pub struct Manifest<S> {
    index: Index,
    docs: BTreeMap<Name, Arc<Doc>>,
    state: S,
}

impl<S> Manifest<S> {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.index.version
    }

    /// Returns the index.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Returns the documents of all services.
    pub fn docs(&self) -> &BTreeMap<Name, Arc<Doc>> {
        &self.docs
    }

    /// Returns the documents that changed after version `have`.
    pub fn changed_since(&self, have: u64) -> Vec<Arc<Doc>> {
        self.docs.values().filter(|d| d.revision > have).cloned().collect()
    }
}

impl Manifest<Fetched> {
    /// Opens a manifest from its index and documents.
    pub fn open(index: Index, docs: impl IntoIterator<Item = Arc<Doc>>) -> Self {
        let docs = docs.into_iter().map(|d| (d.service.clone(), d)).collect();
        Self { index, docs, state: Fetched }
    }

    /// Checks the manifest as a whole.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with the document and key it concerns.
    pub fn check(self) -> Result<Manifest<Checked>, Findings> {
        let mut findings = Findings::default();
        self.check_index(&mut findings);
        let mut doc_check = DocCheck::default();
        for doc in self.docs.values() {
            doc_check.check(doc, self.index.version, &mut findings);
        }
        self.check_former(&mut findings);
        findings.or(Manifest { index: self.index, docs: self.docs, state: Checked })
    }

    fn check_index(&self, findings: &mut Findings) {
        if self.index.version == 0 {
            findings.add("index.version", "must be at least 1");
        }
        for (name, revision) in &self.index.services {
            let place = format!("index.services.{name}");
            match self.docs.get(name) {
                None => findings.add(place, "has no document"),
                Some(d) if d.revision != *revision => {
                    let have = d.revision;
                    findings.add(
                        place,
                        format!("is revision {revision}, but its document is revision {have}"),
                    );
                }
                Some(_) => {}
            }
        }
        for name in self.docs.keys().filter(|n| !self.index.services.contains_key(*n)) {
            findings.add(format!("service/{name}"), "is not in the index");
        }
    }

    fn check_former(&self, findings: &mut Findings) {
        for doc in self.docs.values() {
            for (i, former) in doc.former.iter().enumerate() {
                if *former == doc.service {
                    let place = format!("service/{}.former[{i}]", doc.service);
                    findings.add(place, "names the service itself");
                }
            }
        }
    }
}

impl Manifest<Checked> {
    /// Puts the manifest in force, in place of `before`.
    ///
    /// # Errors
    ///
    /// Returns the manifest unchanged if `before` is the same version or a later
    /// one: a version never goes down.
    pub fn enforce(self, before: Option<&Manifest<InForce>>) -> Result<Manifest<InForce>, Self> {
        if before.is_some_and(|b| b.version() >= self.version()) {
            return Err(self);
        }
        let old = |name: &Name| before.and_then(|b| b.service(name));
        let services: BTreeMap<_, _> = self
            .docs
            .iter()
            .map(|(name, doc)| (name.clone(), Service::open(doc, old(name))))
            .collect();
        let routes = services.values().map(|s| (s.doc.address, s.clone())).collect();
        let owned = |s: &Arc<Service>| {
            let s = s.clone();
            let names: Vec<_> = s.membership.members.iter().map(|b| b.name.clone()).collect();
            names.into_iter().map(move |name| (name, s.clone()))
        };
        let backends: HashMap<_, _> = services.values().flat_map(owned).collect();
        let mut names: Vec<_> = backends.keys().cloned().collect();
        names.sort();
        let state = InForce { routes, services, backends, names };
        Ok(Manifest { index: self.index, docs: self.docs, state })
    }
}

impl Manifest<InForce> {
    /// Returns the service that holds `address`.
    pub fn route(&self, address: SocketAddr) -> Option<&Arc<Service>> {
        self.state.routes.get(&address)
    }

    /// Returns the service with `name`.
    pub fn service(&self, name: &Name) -> Option<&Arc<Service>> {
        self.state.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.state.services.values()
    }

    /// Returns the service that the backend server `name` belongs to.
    pub fn service_of(&self, name: &Name) -> Option<&Arc<Service>> {
        self.state.backends.get(name)
    }

    /// Returns the names of all backend servers.
    pub fn backends(&self) -> &[Name] {
        &self.state.names
    }

    /// Returns the backend server with `name`.
    pub fn backend(&self, name: &Name) -> Option<&Backend> {
        self.service_of(name)?.doc.backend(name.as_str())
    }

    /// Returns the part of the manifest that is kept once a later one is in force.
    pub fn retire(&self) -> Manifest<Retired> {
        let state = Retired { routes: self.state.routes.clone() };
        Manifest { index: self.index.clone(), docs: BTreeMap::new(), state }
    }
}

impl Manifest<Retired> {
    /// Returns the service that held `address`.
    pub fn holder(&self, address: SocketAddr) -> Option<&Arc<Service>> {
        self.state.routes.get(&address)
    }
}

impl Service {
    // An unchanged document shares what was computed for the previous version.
    fn open(doc: &Arc<Doc>, old: Option<&Arc<Self>>) -> Arc<Self> {
        match old {
            Some(s) if s.doc == **doc => s.clone(),
            _ => {
                Arc::new(Self { doc: (**doc).clone(), membership: Arc::new(Membership::open(doc)) })
            }
        }
    }
}

/// Check of single documents, with the addresses and names that must be unique over
/// all of them.
#[derive(Default)]
struct DocCheck {
    addresses: HashMap<SocketAddr, String>,
    backends: HashMap<Name, String>,
}

impl DocCheck {
    fn check(&mut self, doc: &Doc, version: u64, findings: &mut Findings) {
        let place = format!("service/{}", doc.service);
        if doc.service.as_str().is_empty() {
            findings.add(&place, "must not be empty");
        }
        if doc.revision == 0 || doc.revision > version {
            let problem = format!("must be from 1 to the index's version {version}");
            findings.add(format!("{place}.revision"), problem);
        }
        if doc.lifetime.is_zero() || doc.lifetime > MAX_TIME {
            findings.add(format!("{place}.lifetime_ms"), "must be from 1 to 3600000");
        }
        self.claim_address(doc.address, format!("{place}.address"), findings);
        if doc.backends.is_empty() {
            findings.add(format!("{place}.backends"), "must name at least one backend server");
        }
        for (i, backend) in doc.backends.iter().enumerate() {
            let place = format!("{place}.backends[{i}]");
            if let Some(first) = self.backends.insert(backend.name.clone(), place.clone()) {
                let problem = format!("{:?} is already used at {first}", backend.name);
                findings.add(format!("{place}.name"), problem);
            }
            self.claim_address(backend.link, format!("{place}.link"), findings);
            self.claim_address(backend.control, format!("{place}.control"), findings);
            if !(1..=MAX_WEIGHT).contains(&backend.weight) {
                findings.add(format!("{place}.weight"), format!("must be from 1 to {MAX_WEIGHT}"));
            }
            if !(1..=MAX_SLOTS).contains(&backend.slots) {
                findings.add(format!("{place}.slots"), format!("must be from 1 to {MAX_SLOTS}"));
            }
        }
        for (i, rule) in doc.paths.iter().enumerate() {
            if rule.deadline.is_zero() || rule.deadline > MAX_TIME {
                let place = format!("{place}.paths[{i}].deadline_ms");
                findings.add(place, "must be from 1 to 3600000");
            }
        }
    }

    fn claim_address(&mut self, address: SocketAddr, place: String, findings: &mut Findings) {
        if let Some(first) = self.addresses.get(&address) {
            findings.add(place, format!("{address} is already used at {first}"));
        } else {
            self.addresses.insert(address, place);
        }
    }
}
