//! Settings of a daemon with either front end.

use std::path::Path;

use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::value::name::Name;

use super::packet;
use super::packet::settings::PacketSettings;
use super::settings::Level;
use super::settings::Role;
use super::settings::Settings;
use super::settings_reader;
use super::settings_reader::SettingsError;
use super::settings_reader::SettingsReader;

/// Checked settings of either front end.
#[derive(Clone, Debug)]
pub enum Configuration {
    /// Callers speak CoAP.
    Coap(Settings),
    /// Callers send TCP packets, which are balanced by flow.
    Packets(PacketSettings),
}

impl Configuration {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or all findings if it has any.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = settings_reader::read_text(path)?;
        let file = path.display().to_string();
        Self::parse(&file, &text).map_err(SettingsError::Findings)
    }

    /// Checks the text of a settings file called `file`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut reader = SettingsReader::open(file, text);
        let known = |s: &str| matches!(s, "coap" | "packets").then(|| s.to_owned());
        let given = reader.has("process", "front");
        let front = reader.optional("process", "front", "coap or packets", known);
        match front.as_deref() {
            Some("packets") => PacketSettings::parse(file, text).map(Self::Packets),
            Some(_) => Settings::parse(file, text).map(Self::Coap),
            None if given => Err(reader.finish::<()>(None).err().unwrap_or_default()),
            None => Settings::parse(file, text).map(Self::Coap),
        }
    }

    /// Returns the least severe level that is logged.
    pub fn level(&self) -> Level {
        match self {
            Self::Coap(settings) => settings.level,
            Self::Packets(settings) => settings.level,
        }
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &Name {
        match self {
            Self::Coap(settings) => &settings.name,
            Self::Packets(settings) => &settings.name,
        }
    }

    /// Returns the role of the process.
    pub fn role(&self) -> &'static str {
        let entry = match self {
            Self::Coap(settings) => matches!(settings.role, Role::Entry { .. }),
            Self::Packets(settings) => settings.role == packet::settings::Role::Entry,
        };
        if entry { "entry" } else { "agent" }
    }
}
