//! Settings of a process of the CoAP front end.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_wire::seal::FleetKey;

use super::settings_reader::SettingsReader;
use super::settings_reader::address_list;
use super::settings_reader::http_url;
use super::settings_reader::non_empty;
use super::settings_reader::parse_value;

/// Sections and keys that a settings file may have.
const KEYS: [(&str, &str); 16] = [
    ("process", "front"),
    ("process", "role"),
    ("process", "name"),
    ("process", "domain"),
    ("process", "threads"),
    ("process", "drain_seconds"),
    ("log", "level"),
    ("address", "link"),
    ("address", "control"),
    ("address", "admin"),
    ("fleet", "key"),
    ("fleet", "platform"),
    ("fleet", "peers"),
    ("backend", "address"),
    ("backend", "health"),
    ("fleet", "start_wait_seconds"),
];

/// Maximum number of traffic threads of an entry.
const MAX_THREADS: u32 = 64;

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives callers' packets from the fabric.
    Entry {
        /// Number of traffic threads.
        threads: u32,
    },
    /// Runs on the VM of a backend server.
    Agent {
        /// The backend server's CoAP address.
        backend: SocketAddr,
        /// URL of the backend server's health endpoint, if it has one.
        health: Option<String>,
    },
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Role of the process.
    pub role: Role,
    /// Name of the process; an agent has the name of its backend server.
    pub name: Name,
    /// Failure domain of the process.
    pub domain: Name,
    /// Least severe level that is logged.
    pub level: Level,
    /// Address for datagrams between processes.
    pub link: SocketAddr,
    /// Address for control connections between processes.
    pub control: SocketAddr,
    /// Address of the admin HTTP server.
    pub admin: SocketAddr,
    /// Key that all processes of the fleet share.
    pub key: FleetKey,
    /// Base URL of the platform's configuration service.
    pub platform: String,
    /// Control addresses of the processes that are asked for the manifest at the
    /// start.
    pub peers: Vec<SocketAddr>,
    /// Drain time of a planned stop.
    pub drain: Duration,
    /// Longest time at the start that peers are given to answer before the platform
    /// is read.
    pub start_wait: Duration,
}

/// A log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Failures.
    Error,
    /// Also events that may need attention.
    Warn,
    /// Also changes of state.
    Info,
    /// Also details.
    Debug,
}

impl Settings {
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

impl FromStr for Level {
    type Err = ();

    fn from_str(s: &str) -> Result<Self, ()> {
        match s {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(()),
        }
    }
}

// Every key is read before the function returns, so that all findings are reported.
fn settings(reader: &mut SettingsReader) -> Option<Settings> {
    let role = role(reader);
    let name = reader.required("process", "name", "a name", non_empty);
    let domain = reader.required("process", "domain", "a failure domain", non_empty);
    let drain = reader.seconds("process", "drain_seconds", 10);
    let level = reader.optional("log", "level", "error, warn, info or debug", parse_value);
    let link = reader.required("address", "link", "an IP address and port", parse_value);
    let control = reader.required("address", "control", "an IP address and port", parse_value);
    let admin = reader.required("address", "admin", "an IP address and port", parse_value);
    let key = reader.required("fleet", "key", "64 hexadecimal digits", FleetKey::parse);
    let platform = reader.required("fleet", "platform", "an http:// URL", http_url);
    let peers = reader.optional("fleet", "peers", "IP addresses with ports", address_list);
    let start_wait = reader.seconds("fleet", "start_wait_seconds", 1);
    Some(Settings {
        role: role?,
        name: name?,
        domain: domain?,
        level: level.unwrap_or(Level::Info),
        link: link?,
        control: control?,
        admin: admin?,
        key: key?,
        platform: platform?,
        peers: peers.unwrap_or_default(),
        drain: drain?,
        start_wait: start_wait?,
    })
}

fn role(reader: &mut SettingsReader) -> Option<Role> {
    match reader.required("process", "role", "entry or agent", |s| Some(s.to_owned()))?.as_str() {
        "entry" => {
            let fits = |s: &str| s.parse().ok().filter(|n| (1..=MAX_THREADS).contains(n));
            let given = reader.has("process", "threads");
            let threads = reader.optional("process", "threads", "a number from 1 to 64", fits);
            let threads = if given { threads? } else { 1 };
            Some(Role::Entry { threads })
        }
        "agent" => {
            let backend =
                reader.required("backend", "address", "an IP address and port", parse_value);
            let health = reader.optional("backend", "health", "an http:// URL", http_url);
            Some(Role::Agent { backend: backend?, health })
        }
        other => {
            reader.add_finding("process", "role", &format!("{other:?} is neither entry nor agent"));
            None
        }
    }
}
