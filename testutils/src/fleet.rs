//! Hosts, settings and manifest documents of a fleet, for tests with real sockets.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::version::doc::Doc;

use crate::docs;
use crate::docs::ADMIN_PORT;
use crate::docs::CONTROL_PORT;
use crate::docs::LINK_PORT;
use crate::docs::SERVICE_PORT;
use crate::loopback;

/// Port of a backend server, which shares its agent's address.
const BACKEND_PORT: u16 = 7003;
/// Fleet key used in tests, in hexadecimal.
pub const FLEET_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// A host that runs one process of a fleet.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of its process.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
}

/// A service of a fleet.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its document.
    pub doc: Doc,
    /// The hosts of its backend servers.
    pub hosts: Vec<Host>,
}

impl Host {
    /// Opens a host with a loopback address of its own.
    pub fn open(name: &str) -> Self {
        Self { name: name.to_owned(), ip: loopback::next() }
    }

    /// Returns its link address.
    pub fn link(&self) -> SocketAddr {
        SocketAddr::new(self.ip, LINK_PORT)
    }

    /// Returns the address of its control endpoint.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    /// Returns the address of its admin server.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT)
    }

    /// Returns the address of its backend server.
    pub fn backend(&self) -> SocketAddr {
        SocketAddr::new(self.ip, BACKEND_PORT)
    }

    /// Returns the settings of an entry on this host.
    pub fn entry_settings(&self, platform: &str, peers: &[SocketAddr]) -> String {
        format!(
            "{}threads = 1\n{}",
            self.process_section("entry"),
            self.common_sections(platform, peers)
        )
    }

    /// Returns the settings of an agent on this host.
    pub fn agent_settings(&self, platform: &str, peers: &[SocketAddr]) -> String {
        let (head, tail) = (self.process_section("agent"), self.common_sections(platform, peers));
        let name = &self.name;
        let backend = self.backend();
        format!("{head}{tail}[backend]\naddress = {backend}\nhealth = {platform}/health/{name}\n")
    }

    fn process_section(&self, role: &str) -> String {
        let name = &self.name;
        format!("[process]\nrole = {role}\nname = {name}\ndomain = a\ndrain_seconds = 4\n")
    }

    fn common_sections(&self, platform: &str, peers: &[SocketAddr]) -> String {
        let (link, control, admin) = (self.link(), self.control(), self.admin());
        let mut text = format!(
            "[log]\nlevel = warn\n[address]\nlink = {link}\ncontrol = {control}\nadmin = {admin}\n\
             [fleet]\nkey = {FLEET_KEY}\nplatform = {platform}\n"
        );
        if !peers.is_empty() {
            let peers: Vec<_> = peers.iter().map(ToString::to_string).collect();
            text.push_str(&format!("peers = {}\n", peers.join(", ")));
        }
        text
    }
}

impl Service {
    /// Opens a service with `count` backend servers, each on a host of its own.
    pub fn open(name: &str, count: usize, slots: u32, lifetime: Duration) -> Self {
        let hosts: Vec<_> = (0..count).map(|i| Host::open(&format!("{name}-{i}"))).collect();
        let backends = hosts.iter().map(|h| docs::backend(&h.name, h.ip, slots)).collect();
        let address = SocketAddr::new(loopback::next(), SERVICE_PORT);
        let mut doc = docs::doc(name, address, backends);
        doc.lifetime = lifetime;
        Self { doc, hosts }
    }

    /// Adds a backend server and returns its host.
    pub fn add_backend(&mut self, slots: u32) -> Host {
        let host = Host::open(&format!("{}-{}", self.doc.service, self.hosts.len()));
        self.doc.backends.push(docs::backend(&host.name, host.ip, slots));
        self.hosts.push(host.clone());
        host
    }
}
