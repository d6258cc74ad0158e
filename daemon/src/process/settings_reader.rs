//! Reading of typed values from a settings file.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::name::Name;

use super::ini::Ini;

/// Maximum of a duration that is set in seconds.
const MAX_SECONDS: u64 = 3_600;

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("can't read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file was read and has findings.
    #[display("{_0}")]
    Findings(#[error(not(source))] Findings),
}

/// Reads typed values from a file and collects findings.
#[derive(Debug)]
pub struct SettingsReader {
    ini: Ini,
    findings: Findings,
}

/// Returns the text of a settings file. Invalid UTF-8 is replaced, so that it
/// becomes a finding with its line.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn read_text(path: &Path) -> Result<String, SettingsError> {
    let bytes = std::fs::read(path).map_err(|source| {
        let path = path.display().to_string();
        SettingsError::Unreadable { path, source }
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

impl SettingsReader {
    /// Opens a reader of `text`, the contents of `file`.
    pub fn open(file: &str, text: &str) -> Self {
        let mut findings = Findings::default();
        let ini = Ini::open(file, text, &mut findings);
        Self { ini, findings }
    }

    /// Returns `settings` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any or `settings` is none.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, Findings> {
        match settings {
            Some(settings) => self.findings.or(settings),
            None => Err(self.findings),
        }
    }

    /// Returns whether the file sets a key.
    pub fn has(&self, section: &str, key: &str) -> bool {
        self.ini.get(section, key).is_some()
    }

    /// Adds a finding for each key that is not in `known`.
    pub fn check_keys(&mut self, known: &[(&str, &str)]) {
        let unknown: Vec<_> = self
            .ini
            .keys()
            .filter(|key| !known.contains(key))
            .map(|(section, key)| (section.to_owned(), key.to_owned()))
            .collect();
        for (section, key) in unknown {
            self.add_finding(&section, &key, "is not a known key");
        }
    }

    /// Returns a duration given in whole seconds, `default` if the key is missing.
    pub fn seconds(&mut self, section: &str, key: &str, default: u64) -> Option<Duration> {
        if self.ini.get(section, key).is_none() {
            return Some(Duration::from_secs(default));
        }
        let fits = |s: &str| s.parse().ok().filter(|n| *n <= MAX_SECONDS);
        let seconds = self.optional(section, key, "seconds from 0 to 3600", fits);
        seconds.map(Duration::from_secs)
    }

    /// Returns the value of a required key; a missing key is a finding.
    pub fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.ini.get(section, key).is_none() {
            self.add_finding(section, key, &format!("is missing; it must be {expected}"));
        }
        self.optional(section, key, expected, parse)
    }

    /// Returns the value of an optional key, none if it is missing or invalid; an
    /// invalid value is a finding.
    pub fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.ini.get(section, key)?.text.clone();
        let value = parse(&text);
        if value.is_none() {
            // The fleet's key is a secret, so its value is not shown.
            let shown = if key == "key" { "the value".to_owned() } else { format!("{text:?}") };
            self.add_finding(section, key, &format!("{shown} is not {expected}"));
        }
        value
    }

    /// Adds a finding about a key.
    pub fn add_finding(&mut self, section: &str, key: &str, problem: &str) {
        let place = self.ini.place(section, key).to_string();
        self.findings.add(place, problem);
    }
}

/// Parses a value with [`FromStr`].
pub fn parse_value<T: FromStr>(s: &str) -> Option<T> {
    s.parse().ok()
}

/// Parses a name that is not empty.
pub fn non_empty(s: &str) -> Option<Name> {
    (!s.is_empty()).then(|| s.into())
}

/// Parses an `http://` URL and removes slashes at its end.
pub fn http_url(s: &str) -> Option<String> {
    let host = s.strip_prefix("http://")?;
    (!host.is_empty()).then(|| s.trim_end_matches('/').to_owned())
}

/// Parses a comma-separated list of IP addresses with ports.
pub fn address_list(s: &str) -> Option<Vec<SocketAddr>> {
    s.split(',').map(|a| a.trim().parse().ok()).collect()
}
