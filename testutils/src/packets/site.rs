//! Addresses and settings of a small fleet on loopback addresses.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::version::member::Member;
use lagoonhollow_lib::version::member::Standing;
use serde_json::json;

/// Port for datagrams between processes.
const LINK: u16 = 7_720;
/// Port of callers, and on which entries take their packets.
const CALLERS: u16 = 8_172;
/// Address of the only route.
const SERVICE: ([u8; 4], u16) = ([198, 18, 0, 1], 443);

/// A site whose VMs have loopback addresses of their own, told apart from other
/// sites by its number.
#[derive(Clone, Copy, Debug)]
pub struct Site(pub u8);

impl Site {
    /// Returns the store's address.
    pub fn store(self) -> SocketAddr {
        self.at(9, 1, 8_169)
    }

    /// Returns the address at which an entry takes callers' packets.
    pub fn entry(self, i: u8) -> SocketAddr {
        self.at(2, i + 1, CALLERS)
    }

    /// Returns the admin address of an entry.
    pub fn entry_admin(self, i: u8) -> SocketAddr {
        self.at(2, i + 1, 8_167)
    }

    /// Returns the admin address of an agent.
    pub fn agent_admin(self, i: u8) -> SocketAddr {
        self.at(1, i + 1, 8_167)
    }

    /// Returns the address to which a backend server sends its packets.
    pub fn outbound(self, i: u8) -> SocketAddr {
        self.at(1, i + 1, 8_162)
    }

    /// Returns a caller's address.
    pub fn caller(self, i: u8) -> SocketAddr {
        self.at(3, i + 1, CALLERS)
    }

    /// Returns a flow of a caller.
    pub fn flow(self, i: u8, port: u16) -> FlowKey {
        let caller = SocketAddr::new(self.caller(i).ip(), port);
        FlowKey { protocol: Protocol::Tcp, caller, service: SERVICE.into() }
    }

    /// Returns what a backend server registers.
    pub fn member(self, i: u8, run: u64) -> Member {
        Member {
            name: format!("i-{i}-{run}").into(),
            service: "alarm".into(),
            address: self.at(1, i + 1, 8_165),
            domain: format!("d-{}", i % 2).into(),
            slots: 4,
            standing: Standing::Ready,
            warming: Duration::ZERO,
            born: 1_790_000_000_000 + run,
        }
    }

    /// Returns the settings of an entry.
    pub fn entry_settings(self, i: u8) -> String {
        let control = self.at(2, i + 1, 8_166);
        format!(
            "{}control = {control}\n[fleet]\nstore = http://{}\npeers = {}\n",
            self.settings("entry", 2, i, 600),
            self.store(),
            self.at(2, 1, 8_166)
        )
    }

    /// Returns the settings of an agent.
    pub fn agent_settings(self, i: u8) -> String {
        format!(
            "{}outbound = {}\n[backend]\naddress = {}\nservice = alarm\nreuse_seconds = 2\n\
             heartbeat_ms = 1200\n[fleet]\nstore = http://{}\npeers = {}\n",
            self.settings("agent", 1, i, 100),
            self.outbound(i),
            self.at(1, i + 1, 8_165),
            self.store(),
            self.at(2, 1, 8_166)
        )
    }

    /// Returns routes as the operator publishes them.
    pub fn routes(self, version: u64) -> Vec<u8> {
        let host = Ipv4Addr::from(SERVICE.0).to_string();
        let route = json!({
            "name": "r-1", "host": host, "prefix": format!("/{}/", SERVICE.1), "type": "safe",
            "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "service": "alarm",
            "max_attempts": 2
        });
        let limits = json!({ "idle_timeout_ms": 15000 });
        json!({ "version": version, "routes": [route], "services": [], "limits": limits })
            .to_string()
            .into_bytes()
    }

    /// Returns a backend server's entry.
    pub fn entry_of(self, member: &Member) -> Vec<u8> {
        let state = if member.standing == Standing::Ready { "ready" } else { "draining" };
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
             link = {}\nadmin = {}\ncallers = {}\n",
            i % 2,
            self.at(kind, i + 1, LINK),
            self.at(kind, i + 1, 8_167),
            self.at(kind, i + 1, CALLERS)
        )
    }

    fn at(self, kind: u8, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.0, kind, host], port))
    }
}
