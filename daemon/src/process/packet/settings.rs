//! Settings of a process of the packet front end.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::request::warm_up::Allowance;
use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::name::Name;

use crate::process::settings::Level;
use crate::process::settings_reader::SettingsReader;
use crate::process::settings_reader::address_list;
use crate::process::settings_reader::http_url;
use crate::process::settings_reader::non_empty;
use crate::process::settings_reader::parse_value;

/// Sections and keys that a settings file may have.
const KEYS: [(&str, &str); 22] = [
    ("process", "front"),
    ("process", "role"),
    ("process", "name"),
    ("process", "domain"),
    ("process", "first_start"),
    ("process", "drain_ms"),
    ("log", "level"),
    ("address", "link"),
    ("address", "advertised"),
    ("address", "admin"),
    ("address", "control"),
    ("address", "callers"),
    ("address", "outbound"),
    ("backend", "address"),
    ("backend", "service"),
    ("backend", "reuse_seconds"),
    ("backend", "heartbeat_ms"),
    ("backend", "warmup_overage"),
    ("backend", "warmup_slack"),
    ("fleet", "store"),
    ("fleet", "peers"),
    ("fleet", "drain_limit_ms"),
];

/// Missed heartbeats after which the entry of a backend server is removed from
/// the store.
const MISSED_HEARTBEATS: u32 = 3;
/// Time for other processes to read that removal.
const REMOVAL_SLACK: Duration = Duration::from_millis(500);
/// Time limit for a leaving backend server to get no new flows, unless set.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Maximum of a duration in milliseconds.
const MAX_MS: u64 = 3_600_000;
/// Maximum of a setting that scales or extends a rate in requests a second.
const MAX_FACTOR: f64 = 1_000.0;

/// Role of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Receives callers' packets from the fabric.
    Entry,
    /// Runs on the VM of a backend server.
    Agent(AgentRole),
}

/// Settings that only an agent has.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentRole {
    /// Address on which the backend server receives packets.
    pub backend: SocketAddr,
    /// Service of the backend server, until it has registered itself.
    pub service: Name,
    /// Address to which the backend server sends its packets.
    pub outbound: SocketAddr,
    /// Time after which the address of a failed or stopped backend server may be
    /// reused by another one.
    pub reuse_delay: Duration,
    /// Time without heartbeats after which a backend server's entry is removed from
    /// the store and the removal has been read.
    pub entry_ttl: Duration,
    /// How far the backend server may be used beyond the warm-up rate of its service while it
    /// is cold; without it there is no limit.
    pub allowance: Option<Allowance>,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct PacketSettings {
    /// Role of the process.
    pub role: Role,
    /// Name of the process.
    pub name: Name,
    /// Failure domain of the process.
    pub domain: Name,
    /// Whether the whole fleet starts for the first time, so that no flows exist yet.
    pub first_start: bool,
    /// Least severe level that is logged.
    pub level: Level,
    /// UDP address for datagrams between processes, and TCP address at which they
    /// read each other's knowledge; the port is the same on all VMs.
    pub link: SocketAddr,
    /// Address at which other processes reach `link`, which differs from it behind
    /// address translation.
    pub advertised: SocketAddr,
    /// Address of the admin HTTP server.
    pub admin: SocketAddr,
    /// Additional address of the admin HTTP server.
    pub control: Option<SocketAddr>,
    /// Address that the fabric sends callers' packets to; packets to callers go to
    /// the same port.
    pub callers: SocketAddr,
    /// URL of the store that operators and backend servers write to.
    pub store: String,
    /// Addresses of the processes that are asked for their knowledge at the start.
    pub peers: Vec<SocketAddr>,
    /// Drain time of a planned stop.
    pub drain: Duration,
    /// Time after its registration as leaving in which a backend server must cease to get
    /// new flows.
    pub drain_limit: Duration,
}

impl PacketSettings {
    /// Checks the text of a settings file called `file`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut reader = SettingsReader::open(file, text);
        reader.check_keys(&KEYS);
        let settings = settings(&mut reader);
        reader.finish(settings)
    }
}

// Every key is read before the function returns, so that all findings are reported.
fn settings(reader: &mut SettingsReader) -> Option<PacketSettings> {
    const ADDRESS: &str = "an IP address and port";
    let role = role(reader);
    let name = reader.required("process", "name", "a name", non_empty);
    let domain = reader.required("process", "domain", "a failure domain", non_empty);
    let first_start = reader.optional("process", "first_start", "true or false", parse_value);
    let drain = reader.required("process", "drain_ms", "milliseconds from 0 to 3600000", millis);
    let level = reader.optional("log", "level", "error, warn, info or debug", parse_value);
    let link = reader.required("address", "link", ADDRESS, parse_value);
    let advertised = reader.optional("address", "advertised", ADDRESS, parse_value);
    let admin = reader.required("address", "admin", ADDRESS, parse_value);
    let control = reader.optional("address", "control", ADDRESS, parse_value);
    let callers = reader.required("address", "callers", ADDRESS, parse_value);
    let store = reader.required("fleet", "store", "an http:// URL", http_url);
    let peers = reader.optional("fleet", "peers", "IP addresses with ports", address_list);
    const LIMIT: &str = "milliseconds from 1000 to 3600000";
    let drain_limit = reader.optional("fleet", "drain_limit_ms", LIMIT, limit_millis);
    Some(PacketSettings {
        role: role?,
        name: name?,
        domain: domain?,
        first_start: first_start.unwrap_or(false),
        level: level.unwrap_or(Level::Info),
        link: link?,
        advertised: advertised.or(link)?,
        admin: admin?,
        control,
        callers: callers?,
        store: store?,
        peers: peers.unwrap_or_default(),
        drain: drain?,
        drain_limit: drain_limit.unwrap_or(DRAIN_LIMIT),
    })
}

fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().filter(|d| d.as_secs() <= MAX_MS / 1_000)
}

fn millis(text: &str) -> Option<Duration> {
    text.parse().ok().filter(|n| *n <= MAX_MS).map(Duration::from_millis)
}

fn factor(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n| (0.0..=MAX_FACTOR).contains(n))
}

fn limit_millis(text: &str) -> Option<Duration> {
    millis(text).filter(|limit| *limit >= Duration::from_secs(1))
}

fn role(reader: &mut SettingsReader) -> Option<Role> {
    const ADDRESS: &str = "an IP address and port";
    const SECONDS: &str = "seconds from 0 to 3600";
    const MILLIS: &str = "milliseconds from 0 to 3600000";
    let known = |s: &str| matches!(s, "entry" | "agent").then(|| s.to_owned());
    match reader.required("process", "role", "entry or agent", known)?.as_str() {
        "entry" => Some(Role::Entry),
        _ => {
            let backend = reader.required("backend", "address", ADDRESS, parse_value);
            let service = reader.required("backend", "service", "a service", non_empty);
            let outbound = reader.required("address", "outbound", ADDRESS, parse_value);
            let reuse_delay = reader.required("backend", "reuse_seconds", SECONDS, seconds);
            let heartbeat = reader.required("backend", "heartbeat_ms", MILLIS, millis);
            const FACTOR: &str = "a number from 0 to 1000";
            let overage = reader.optional("backend", "warmup_overage", FACTOR, factor);
            let slack = reader.optional("backend", "warmup_slack", FACTOR, factor);
            let allowance = (overage.is_some() || slack.is_some()).then(|| Allowance {
                overage: overage.unwrap_or(1.0),
                slack: slack.unwrap_or(0.0),
            });
            Some(Role::Agent(AgentRole {
                backend: backend?,
                service: service?,
                outbound: outbound?,
                reuse_delay: reuse_delay?,
                entry_ttl: heartbeat? * MISSED_HEARTBEATS + REMOVAL_SLACK,
                allowance,
            }))
        }
    }
}
