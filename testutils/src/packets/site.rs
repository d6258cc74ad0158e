//! Addresses and settings of a small fleet on loopback addresses.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::MemberState;
use serde_json::json;

use super::udp_proxy::EndpointPair;

/// Port for datagrams between processes.
const LINK_PORT: u16 = 7_720;
/// Port of callers, and on which entries take their packets.
const CALLER_PORT: u16 = 8_172;
/// Services with the addresses of their routes.
const SERVICES: [(&str, [u8; 4]); 2] = [("alarm", [198, 18, 0, 1]), ("firmware", [198, 18, 0, 2])];
/// Port of all routes.
const ROUTE_PORT: u16 = 443;
/// Third part of the addresses of agents, entries, callers and the store.
const AGENT_OCTET: u8 = 1;
const ENTRY_OCTET: u8 = 2;
const CALLER_OCTET: u8 = 3;
const STORE_OCTET: u8 = 9;
/// What is added to it where a proxy stands in front.
const PROXY_OFFSET: u8 = 10;

/// A site whose VMs have loopback addresses of their own, told apart from other
/// sites by its number.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    number: u8,
    // Agents before this one are beside the first service's backend servers.
    first_count: u8,
    proxied: bool,
}

impl Site {
    /// Opens a site with one service.
    pub fn open(number: u8) -> Self {
        Self { number, first_count: u8::MAX, proxied: false }
    }

    /// Opens a site where proxies stand between all processes, and between them
    /// and the store. The first `split` backend servers are of the first service.
    pub fn proxied(number: u8, first_count: u8) -> Self {
        Self { number, first_count, proxied: true }
    }

    /// Returns the store's address.
    pub fn store(self) -> SocketAddr {
        self.address(STORE_OCTET, 1, 8_169)
    }

    /// Returns the address at which an entry, or else an agent, reaches the store.
    pub fn store_for(self, entry: bool, i: u8) -> SocketAddr {
        let kind = STORE_OCTET + PROXY_OFFSET + u8::from(entry);
        if self.proxied { self.address(kind, i + 1, 8_169) } else { self.store() }
    }

    /// Returns the addresses of an entry, or else an agent, for other processes.
    pub fn endpoints(self, entry: bool, i: u8) -> EndpointPair {
        let kind = if entry { ENTRY_OCTET } else { AGENT_OCTET };
        let private = self.address(kind, i + 1, LINK_PORT);
        EndpointPair {
            public: SocketAddr::new(self.public_address(kind, i).ip(), LINK_PORT),
            private,
        }
    }

    /// Returns the services with the addresses of their routes.
    pub fn services(self) -> HashMap<SocketAddr, Name> {
        let service =
            |(name, ip): (&str, [u8; 4])| (SocketAddr::from((ip, ROUTE_PORT)), name.into());
        SERVICES.map(service).into()
    }

    /// Returns the address at which an entry takes callers' packets.
    pub fn entry(self, i: u8) -> SocketAddr {
        self.address(ENTRY_OCTET, i + 1, CALLER_PORT)
    }

    /// Returns the admin address of an entry.
    pub fn entry_admin(self, i: u8) -> SocketAddr {
        self.address(ENTRY_OCTET, i + 1, 8_167)
    }

    /// Returns the admin address of an agent.
    pub fn agent_admin(self, i: u8) -> SocketAddr {
        self.address(AGENT_OCTET, i + 1, 8_167)
    }

    /// Returns the address to which a backend server sends its packets.
    pub fn outbound(self, i: u8) -> SocketAddr {
        self.address(AGENT_OCTET, i + 1, 8_162)
    }

    /// Returns a caller's address.
    pub fn caller(self, i: u8) -> SocketAddr {
        self.address(CALLER_OCTET, i + 1, CALLER_PORT)
    }

    /// Returns a flow of a caller to the first service.
    pub fn flow(self, i: u8, port: u16) -> FlowKey {
        self.flow_to(0, i, port)
    }

    /// Returns a flow of a caller to a service, by its number.
    ///
    /// # Panics
    ///
    /// Panics if there is no such service.
    pub fn flow_to(self, service: usize, i: u8, port: u16) -> FlowKey {
        let caller = SocketAddr::new(self.caller(i).ip(), port);
        let service = SocketAddr::from((SERVICES[service].1, ROUTE_PORT));
        FlowKey { protocol: Protocol::Tcp, caller, service }
    }

    /// Returns what a backend server registers.
    pub fn member(self, i: u8, run: u64) -> Member {
        Member {
            name: format!("i-{i}-{run}").into(),
            service: self.service(i).into(),
            address: self.backend(i),
            domain: format!("d-{}", i % 2).into(),
            slots: 4,
            standing: MemberState::Ready,
            warming: Duration::ZERO,
            born: 1_790_000_000_000 + run,
        }
    }

    /// Returns the settings of an entry.
    pub fn entry_settings(self, i: u8) -> String {
        let control = self.address(ENTRY_OCTET, i + 1, 8_166);
        format!(
            "{}control = {control}\n[fleet]\nstore = http://{}\npeers = {}\n",
            self.settings("entry", ENTRY_OCTET, i, 600),
            self.store_for(true, i),
            self.address(ENTRY_OCTET, 1, 8_166)
        )
    }

    /// Returns the settings of an agent.
    pub fn agent_settings(self, i: u8) -> String {
        format!(
            "{}outbound = {}\n[backend]\naddress = {}\nservice = {}\nreuse_seconds = 2\n\
             heartbeat_ms = 1200\n[fleet]\nstore = http://{}\npeers = {}\n",
            self.settings("agent", AGENT_OCTET, i, 100),
            self.outbound(i),
            self.backend(i),
            self.service(i),
            self.store_for(false, i),
            self.address(ENTRY_OCTET, 1, 8_166)
        )
    }

    /// Returns routes as the operator publishes them.
    pub fn routes(self, version: u64) -> Vec<u8> {
        let route = |(name, ip): (&str, [u8; 4])| {
            let host = Ipv4Addr::from(ip).to_string();
            json!({
                "name": format!("to-{name}"), "host": host, "prefix": format!("/{ROUTE_PORT}/"),
                "type": "safe", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1,
                "service": name, "max_attempts": 2
            })
        };
        let routes = SERVICES.map(route);
        let limits = json!({ "idle_timeout_ms": 15000 });
        json!({ "version": version, "routes": routes, "services": [], "limits": limits })
            .to_string()
            .into_bytes()
    }

    /// Returns a backend server's entry.
    pub fn registry_entry(self, member: &Member) -> Vec<u8> {
        let state = if member.standing == MemberState::Ready { "ready" } else { "draining" };
        json!({
            "service": member.service, "address": member.address, "zone": member.domain,
            "version": "v1", "max_concurrency": member.slots, "state": state,
            "warmup_left_ms": 0, "sequence": 1, "born": member.born
        })
        .to_string()
        .into_bytes()
    }

    fn settings(self, role: &str, kind: u8, i: u8, drain_ms: u32) -> String {
        format!(
            "[process]\nfront = packets\nrole = {role}\nname = {role}-{i}\ndomain = d-{}\n\
             drain_ms = {drain_ms}\nfirst_start = false\n[log]\nlevel = debug\n[address]\n\
             link = {}\nadvertised = {}\nadmin = {}\ncallers = {}\n",
            i % 2,
            self.address(kind, i + 1, LINK_PORT),
            SocketAddr::new(self.public_address(kind, i).ip(), LINK_PORT),
            self.address(kind, i + 1, 8_167),
            self.address(kind, i + 1, CALLER_PORT)
        )
    }

    fn service(self, i: u8) -> &'static str {
        SERVICES[usize::from(i >= self.first_count)].0
    }

    // Its VM's address is the one at which other processes reach the agent.
    fn backend(self, i: u8) -> SocketAddr {
        SocketAddr::new(self.public_address(AGENT_OCTET, i).ip(), 8_165)
    }

    /// Returns an address of a VM as others see it.
    fn public_address(self, kind: u8, i: u8) -> SocketAddr {
        self.address(if self.proxied { kind + PROXY_OFFSET } else { kind }, i + 1, 0)
    }

    fn address(self, kind: u8, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.number, kind, host], port))
    }
}
