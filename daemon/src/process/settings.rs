//! Settings of a daemon, checked as a whole.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::process::name::Name;
use lagoonhollow_lib::version::findings::Findings;
use lagoonhollow_wire::seal::FleetKey;

use super::ini::Ini;

/// Sections and keys that a settings file may have.
const KEYS: [(&str, &str); 15] = [
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

/// Traffic threads of an entry at most.
const MAX_THREADS: u32 = 64;
/// Longest time for draining and starting.
const MAX_SECONDS: u64 = 3_600;

/// What a process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes callers' packets from the fabric.
    Entry {
        /// Traffic threads.
        threads: u32,
    },
    /// It runs beside a backend server.
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
    /// What the process is.
    pub role: Role,
    /// Its name: an agent's is that of its backend server.
    pub name: Name,
    /// Its failure domain.
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
    /// Control addresses of processes to ask at the start.
    pub peers: Vec<SocketAddr>,
    /// Time for a planned stop.
    pub drain: Duration,
    /// Time that peers are given at the start before the platform is believed.
    pub start_wait: Duration,
}

/// A log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Only failures.
    Error,
    /// Also what may need a look.
    Warn,
    /// Also each change of state.
    Info,
    /// Also details.
    Debug,
}

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("can't read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file has findings.
    #[display("{_0}")]
    Findings(#[error(not(source))] Findings),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or all findings in it.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| {
            let path = path.display().to_string();
            SettingsError::Unreadable { path, source }
        })?;
        let file = path.display().to_string();
        Self::parse(&file, &text).map_err(SettingsError::Findings)
    }

    /// Checks the text of a settings file called `file`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let ini = Ini::open(file, text, &mut findings);
        let mut reader = Reader { ini, findings };
        reader.check_keys();
        let settings = reader.settings();
        let Reader { findings, .. } = reader;
        match settings {
            Some(settings) => findings.or(settings),
            None => Err(findings),
        }
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

/// Takes typed values out of a file and collects findings.
struct Reader {
    ini: Ini,
    findings: Findings,
}

impl Reader {
    fn check_keys(&mut self) {
        let unknown: Vec<_> = self
            .ini
            .keys()
            .filter(|key| !KEYS.contains(key))
            .map(|(section, key)| (section.to_owned(), key.to_owned()))
            .collect();
        for (section, key) in unknown {
            self.find(&section, &key, "is not a known key");
        }
    }

    // Every key is read before any is given up, so that all findings show.
    fn settings(&mut self) -> Option<Settings> {
        let role = self.role();
        let name = self.required("process", "name", "a name", non_empty);
        let domain = self.required("process", "domain", "a failure domain", non_empty);
        let drain = self.seconds("process", "drain_seconds", 10);
        let level = self.optional("log", "level", "error, warn, info or debug", parsed);
        let link = self.required("address", "link", "an IP address and port", parsed);
        let control = self.required("address", "control", "an IP address and port", parsed);
        let admin = self.required("address", "admin", "an IP address and port", parsed);
        let key = self.required("fleet", "key", "64 hexadecimal digits", FleetKey::parse);
        let platform = self.required("fleet", "platform", "an http:// URL", http_url);
        let peers = self.optional("fleet", "peers", "IP addresses with ports", address_list);
        let start_wait = self.seconds("fleet", "start_wait_seconds", 1);
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

    fn role(&mut self) -> Option<Role> {
        match self.required("process", "role", "entry or agent", |s| Some(s.to_owned()))?.as_str() {
            "entry" => {
                let fits = |s: &str| s.parse().ok().filter(|n| (1..=MAX_THREADS).contains(n));
                let given = self.ini.get("process", "threads").is_some();
                let threads = self.optional("process", "threads", "a number from 1 to 64", fits);
                let threads = if given { threads? } else { 1 };
                Some(Role::Entry { threads })
            }
            "agent" => {
                let backend = self.required("backend", "address", "an IP address and port", parsed);
                let health = self.optional("backend", "health", "an http:// URL", http_url);
                Some(Role::Agent { backend: backend?, health })
            }
            other => {
                self.find("process", "role", &format!("{other:?} is neither entry nor agent"));
                None
            }
        }
    }

    fn seconds(&mut self, section: &str, key: &str, default: u64) -> Option<Duration> {
        if self.ini.get(section, key).is_none() {
            return Some(Duration::from_secs(default));
        }
        let fits = |s: &str| s.parse().ok().filter(|n| *n <= MAX_SECONDS);
        let seconds = self.optional(section, key, "seconds from 0 to 3600", fits);
        seconds.map(Duration::from_secs)
    }

    fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        wanted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.ini.get(section, key).is_none() {
            self.find(section, key, &format!("is missing; it must be {wanted}"));
        }
        self.optional(section, key, wanted, parse)
    }

    fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        wanted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.ini.get(section, key)?.text.clone();
        let value = parse(&text);
        if value.is_none() {
            // A key is a secret, so its value is not shown.
            let shown = if key == "key" { "the value".to_owned() } else { format!("{text:?}") };
            self.find(section, key, &format!("{shown} is not {wanted}"));
        }
        value
    }

    fn find(&mut self, section: &str, key: &str, problem: &str) {
        let place = self.ini.place(section, key).to_string();
        self.findings.add(place, problem);
    }
}

fn parsed<T: FromStr>(s: &str) -> Option<T> {
    s.parse().ok()
}

fn non_empty(s: &str) -> Option<Name> {
    (!s.is_empty()).then(|| s.into())
}

fn http_url(s: &str) -> Option<String> {
    let host = s.strip_prefix("http://")?;
    (!host.is_empty()).then(|| s.trim_end_matches('/').to_owned())
}

fn address_list(s: &str) -> Option<Vec<SocketAddr>> {
    s.split(',').map(|a| a.trim().parse().ok()).collect()
}
