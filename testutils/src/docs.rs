//! Manifest documents for tests, and a publisher for them.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::backend::Backend;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_lib::version::manifest::InForce;
use lagoonhollow_lib::version::manifest::Manifest;
use lagoonhollow_lib::version::path_rule::PathRule;

/// Port of link addresses.
pub const LINK_PORT: u16 = 7000;
/// Port of control endpoints.
pub const CONTROL_PORT: u16 = 7001;
/// Port of admin servers.
pub const ADMIN_PORT: u16 = 7002;
/// Port of backend servers and services.
pub const SERVICE_PORT: u16 = 5683;

/// Returns a backend server whose agent listens on `ip`.
pub fn backend(name: &str, ip: IpAddr, slots: u32) -> Backend {
    Backend {
        name: name.into(),
        link: SocketAddr::new(ip, LINK_PORT),
        control: SocketAddr::new(ip, CONTROL_PORT),
        weight: 100,
        slots,
        drain: false,
    }
}

/// Returns the document of a service without path rules, with the default
/// EXCHANGE_LIFETIME of RFC 7252 as its lifetime.
pub fn doc(service: &str, address: SocketAddr, backends: Vec<Backend>) -> Doc {
    Doc {
        service: service.into(),
        revision: 0,
        address,
        former: Vec::new(),
        backends,
        paths: Vec::new(),
        lifetime: Duration::from_secs(247),
    }
}

/// Returns a rule that sets the deadline of a path.
pub fn rule(path: &str, deadline: Duration) -> PathRule {
    PathRule { path: path.into(), deadline }
}

/// Returns the document of service number `index` with `count` backend servers.
///
/// Its addresses are only for use as data: they are not loopback addresses.
pub fn numbered(index: u16, count: u16) -> Doc {
    let [high, low] = index.to_be_bytes();
    let address = SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), SERVICE_PORT);
    let member = |i: u16| {
        let [a, b] = i.to_be_bytes();
        let ip = Ipv4Addr::new(10, 100 + high, low, 0);
        let ip = u32::from(ip) + (u32::from(a) << 24) + u32::from(b);
        backend(&format!("s{index}-b{i}"), IpAddr::V4(ip.into()), 4)
    };
    doc(&format!("s{index}"), address, (0..count).map(member).collect())
}

/// A publisher that numbers versions and revisions as the pipeline that
/// publishes manifests does.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    index: Index,
    docs: Vec<Arc<Doc>>,
}

impl Publisher {
    /// Opens a publisher that has published nothing.
    pub fn open() -> Self {
        Self::default()
    }

    /// Publishes `docs` as the next version.
    ///
    /// A document that is new or differs from the previous version gets the new
    /// version number as its revision; the others keep theirs.
    pub fn publish(&mut self, docs: Vec<Doc>) -> (Index, Vec<Arc<Doc>>) {
        let version = self.index.version + 1;
        let number = |mut doc: Doc| {
            let before = self.docs.iter().find(|d| d.service == doc.service);
            doc.revision = before.map_or(version, |d| d.revision);
            if before.is_some_and(|d| **d != doc) {
                doc.revision = version;
            }
            Arc::new(doc)
        };
        let docs: Vec<_> = docs.into_iter().map(number).collect();
        let services = docs.iter().map(|d| (d.service.clone(), d.revision)).collect();
        self.index = Index { version, services };
        self.docs = docs;
        (self.index.clone(), self.docs.clone())
    }

    /// Returns the documents that were last published.
    pub fn docs(&self) -> Vec<Doc> {
        self.docs.iter().map(|d| (**d).clone()).collect()
    }

    /// Checks the version that was last published and puts it in force after
    /// `before`.
    ///
    /// # Errors
    ///
    /// Returns the findings if the check fails or the version is not later than
    /// `before`.
    pub fn in_force(
        &self,
        before: Option<&Manifest<InForce>>,
    ) -> Result<Arc<Manifest<InForce>>, Findings> {
        let checked = Manifest::open(self.index.clone(), self.docs.clone()).check()?;
        let stale = |_| {
            let mut findings = Findings::default();
            findings.add("index.version", "is not later than the one in force");
            findings
        };
        checked.enforce(before).map(Arc::new).map_err(stale)
    }
}

/// Returns the names of the backend servers of `doc`.
pub fn names(doc: &Doc) -> Vec<Name> {
    doc.backends.iter().map(|b| b.name.clone()).collect()
}
