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
use serde_json::Value;
use serde_json::json;

use super::udp_proxy::EndpointPair;

/// Port of processes for datagrams between them.
const LINK_PORT: u16 = 7_720;
/// Port of callers, and of entries for packets from callers.
const CALLER_PORT: u16 = 8_172;
/// Services with the IP addresses of their routes.
const SERVICES: [(&str, [u8; 4]); 2] = [("alarm", [198, 18, 0, 1]), ("firmware", [198, 18, 0, 2])];
/// Weights of the services in the routes, by route and service; 0 leaves a service out.
pub type Weights = [[u32; SERVICES.len()]; SERVICES.len()];
/// Weights with which each route sends flows to its own service only.
pub const OWN_SERVICES: Weights = [[1, 0], [0, 1]];
/// First address of further routes.
const FURTHER_ROUTES: Ipv4Addr = Ipv4Addr::new(198, 19, 0, 0);
/// Port of all routes.
const ROUTE_PORT: u16 = 443;
/// Third octets of the addresses of agents, entries, callers and the store.
const AGENT_OCTET: u8 = 1;
const ENTRY_OCTET: u8 = 2;
const CALLER_OCTET: u8 = 3;
const STORE_OCTET: u8 = 9;
/// Added to the third octet for the address of the proxy in front.
const PROXY_OFFSET: u8 = 10;

/// A site whose VMs have their own loopback addresses. Its number is the second octet
/// of all of them, so that sites do not collide.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    number: u8,
    // Number of backend servers of the first service; the rest are of the second.
    first_count: u8,
    proxied: bool,
    // Whether backend servers are cold after their start, with a limit.
    warms_up: bool,
}

impl Site {
    /// Time after its start for which a backend server of a site that warms up is cold.
    pub const WARM_UP_TIME: Duration = Duration::from_secs(2);
    /// Opening packets that it may get in a second meanwhile: 6 x 1.5 + 5.
    pub const WARM_UP_LIMIT: usize = 14;

    /// Describes a site without proxies whose backend servers are all of the first
    /// service.
    pub fn open(number: u8) -> Self {
        Self { number, first_count: u8::MAX, proxied: false, warms_up: false }
    }

    /// Describes a site with proxies between all processes, and between them and the
    /// store. The first `first_count` backend servers are of the first service.
    pub fn proxied(number: u8, first_count: u8) -> Self {
        Self { number, first_count, proxied: true, warms_up: false }
    }

    /// Makes its services state a warm-up limit.
    pub fn warming_up(self) -> Self {
        Self { warms_up: true, ..self }
    }

    /// Returns whether its services state a warm-up limit.
    pub fn warms_up(self) -> bool {
        self.warms_up
    }

    /// Returns the store's address.
    pub fn store(self) -> SocketAddr {
        self.address(STORE_OCTET, 1, 8_169)
    }

    /// Returns the address at which the entry, or else the agent, `i` reaches the store.
    pub fn store_for(self, entry: bool, i: u8) -> SocketAddr {
        let octet = STORE_OCTET + PROXY_OFFSET + u8::from(entry);
        if self.proxied { self.address(octet, i + 1, 8_169) } else { self.store() }
    }

    /// Returns the addresses of the entry, or else the agent, `i` for other processes.
    pub fn endpoints(self, entry: bool, i: u8) -> EndpointPair {
        let octet = if entry { ENTRY_OCTET } else { AGENT_OCTET };
        let private = self.address(octet, i + 1, LINK_PORT);
        EndpointPair {
            public: SocketAddr::new(self.public_address(octet, i).ip(), LINK_PORT),
            private,
        }
    }

    /// Returns the services with the addresses of their routes.
    pub fn services(self) -> HashMap<SocketAddr, Name> {
        let service =
            |(name, ip): (&str, [u8; 4])| (SocketAddr::from((ip, ROUTE_PORT)), name.into());
        SERVICES.map(service).into()
    }

    /// Returns the services to which routes with these weights send flows, each with the
    /// address of its route.
    pub fn shares(self, weights: Weights) -> Vec<(SocketAddr, Name)> {
        let address = |route: usize| SocketAddr::from((SERVICES[route].1, ROUTE_PORT));
        let share = |route: usize, (name, _): (&str, u32)| (address(route), name.into());
        let routes = weights.into_iter().enumerate();
        routes.flat_map(|(i, w)| sent_to(w).map(move |s| share(i, s))).collect()
    }

    /// Returns the address at which an entry receives packets from callers.
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

    /// Returns a flow of a caller to the service with this index.
    ///
    /// # Panics
    ///
    /// Panics if there is no service with this index.
    pub fn flow_to(self, service: usize, i: u8, port: u16) -> FlowKey {
        let caller = SocketAddr::new(self.caller(i).ip(), port);
        let service = SocketAddr::from((SERVICES[service].1, ROUTE_PORT));
        FlowKey { protocol: Protocol::Tcp, caller, service }
    }

    /// Returns what the backend server `i` registers. Names of different runs differ.
    pub fn member(self, i: u8, run: u64) -> Member {
        Member {
            name: format!("i-{i}-{run}").into(),
            service: self.service(i).into(),
            address: self.backend(i),
            domain: format!("d-{}", i % 2).into(),
            slots: 4,
            standing: MemberState::Ready,
            warming: if self.warms_up { Self::WARM_UP_TIME } else { Duration::ZERO },
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
             heartbeat_ms = 1200\nwarmup_overage = 1.5\nwarmup_slack = 5\n[fleet]\nstore = http://{}\npeers = {}\n",
            self.settings("agent", AGENT_OCTET, i, 100),
            self.outbound(i),
            self.backend(i),
            self.service(i),
            self.store_for(false, i),
            self.address(ENTRY_OCTET, 1, 8_166)
        )
    }

    /// Returns a version of the routes in the operator's format.
    pub fn routes(self, version: u64) -> Vec<u8> {
        self.many_routes(version, 0)
    }

    /// Returns a version of the routes whose services have these weights.
    ///
    /// # Panics
    ///
    /// Panics if a route has no service.
    pub fn weighted_routes(self, version: u64, weights: Weights) -> Vec<u8> {
        let routes = SERVICES.into_iter().zip(weights).map(|((name, ip), weights)| {
            let shares: Vec<_> = sent_to(weights).collect();
            let mut route = self.route(&format!("to-{name}"), ip.into(), shares[0].0);
            if shares.len() > 1 {
                let share = |(s, w): &(&str, u32)| json!({ "service": s, "weight": w });
                route["traffic_split"] = shares.iter().map(share).collect();
            }
            route
        });
        self.document(version, routes.collect())
    }

    /// Returns a version of the routes with `count` further ones to the first service.
    pub fn many_routes(self, version: u64, count: u32) -> Vec<u8> {
        let further = (0..count).map(|i| {
            let ip = Ipv4Addr::from(u32::from(FURTHER_ROUTES) + i);
            self.route(&format!("further-{i}"), ip, SERVICES[0].0)
        });
        let usual = SERVICES.map(|(name, ip)| self.route(&format!("to-{name}"), ip.into(), name));
        self.document(version, usual.into_iter().chain(further).collect())
    }

    fn route(self, name: &str, host: Ipv4Addr, service: &str) -> Value {
        json!({
            "name": name, "host": host, "prefix": format!("/{ROUTE_PORT}/"),
            "type": "safe", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1,
            "service": service, "max_attempts": 2
        })
    }

    fn document(self, version: u64, routes: Vec<Value>) -> Vec<u8> {
        let limits = json!({ "idle_timeout_ms": 15000 });
        let services = SERVICES.map(|(name, _)| match self.warms_up {
            false => json!({ "name": name, "health_path": "/health" }),
            true => json!({
                "name": name, "health_path": "/health",
                "warmup_s": Self::WARM_UP_TIME.as_secs_f64(), "warmup_per_s": 6.0
            }),
        });
        json!({ "version": version, "routes": routes, "services": services, "limits": limits })
            .to_string()
            .into_bytes()
    }

    /// Returns a backend server's registry entry in the store's format.
    pub fn registry_entry(self, member: &Member) -> Vec<u8> {
        let state = if member.standing == MemberState::Ready { "ready" } else { "draining" };
        json!({
            "service": member.service, "address": member.address, "zone": member.domain,
            "version": "v1", "max_concurrency": member.slots, "state": state,
            "warmup_left_ms": member.warming.as_millis() as u64, "sequence": 1, "born": member.born
        })
        .to_string()
        .into_bytes()
    }

    fn settings(self, role: &str, octet: u8, i: u8, drain_ms: u32) -> String {
        format!(
            "[process]\nfront = packets\nrole = {role}\nname = {role}-{i}\ndomain = d-{}\n\
             drain_ms = {drain_ms}\nfirst_start = false\n[log]\nlevel = debug\n[address]\n\
             link = {}\nadvertised = {}\nadmin = {}\ncallers = {}\n",
            i % 2,
            self.address(octet, i + 1, LINK_PORT),
            SocketAddr::new(self.public_address(octet, i).ip(), LINK_PORT),
            self.address(octet, i + 1, 8_167),
            self.address(octet, i + 1, CALLER_PORT)
        )
    }

    fn service(self, i: u8) -> &'static str {
        SERVICES[usize::from(i >= self.first_count)].0
    }

    // A backend server has the address at which other processes reach its agent.
    fn backend(self, i: u8) -> SocketAddr {
        SocketAddr::new(self.public_address(AGENT_OCTET, i).ip(), 8_165)
    }

    /// Returns the address of a VM as other processes see it, with port 0.
    fn public_address(self, octet: u8, i: u8) -> SocketAddr {
        self.address(if self.proxied { octet + PROXY_OFFSET } else { octet }, i + 1, 0)
    }

    fn address(self, octet: u8, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.number, octet, host], port))
    }
}

/// Returns the services that are not left out, with their weights.
fn sent_to(weights: [u32; SERVICES.len()]) -> impl Iterator<Item = (&'static str, u32)> {
    let names = SERVICES.into_iter().map(|(name, _)| name);
    names.zip(weights).filter(|(_, weight)| *weight > 0)
}
