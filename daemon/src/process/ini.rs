//! Parsing of INI files that keeps the line of every key.

use std::collections::BTreeMap;
use std::fmt;

use ini_core::Item;
use ini_core::Parser;
use lagoonhollow_lib::value::findings::Findings;

/// A value with its line number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The value, trimmed of white space.
    pub text: String,
    line: u32,
}

/// The values of one file, by section and key.
#[derive(Clone, Debug, Default)]
pub struct Ini {
    file: String,
    values: BTreeMap<(String, String), Value>,
}

impl Ini {
    /// Parses `text`, the contents of `file`. Malformed lines, keys without a value
    /// and repeated keys become findings.
    pub fn open(file: &str, text: &str, findings: &mut Findings) -> Self {
        let mut ini = Self { file: file.to_owned(), values: BTreeMap::new() };
        let mut section = String::new();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            // The parser advances its line number after it has read a line.
            let before = parser.line();
            let Some(item) = parser.next() else { break };
            let line = before + 1;
            match item {
                Item::Section(name) => section = name.to_owned(),
                Item::Property(key, Some(value)) => {
                    ini.add(&section, key, value, line, findings);
                }
                Item::Property(key, None) if !key.starts_with('#') => {
                    findings.add(format!("{file}:{line}: [{section}] {key}"), "has no value");
                }
                Item::Error(text) => {
                    findings.add(format!("{file}:{line}"), format!("can't read {text:?}"));
                }
                Item::Property(..) | Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        ini
    }

    /// Returns the value of a key.
    pub fn get(&self, section: &str, key: &str) -> Option<&Value> {
        self.values.get(&(section.to_owned(), key.to_owned()))
    }

    /// Returns the place of a key for findings; the line is left out if the key is
    /// missing.
    pub fn place(&self, section: &str, key: &str) -> impl fmt::Display {
        let file = &self.file;
        match self.get(section, key) {
            Some(value) => format!("{file}:{}: [{section}] {key}", value.line),
            None => format!("{file}: [{section}] {key}"),
        }
    }

    /// Returns all keys, each with its section.
    pub fn keys(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values.keys().map(|(section, key)| (section.as_str(), key.as_str()))
    }

    fn add(&mut self, section: &str, key: &str, value: &str, line: u32, findings: &mut Findings) {
        let at = (section.to_owned(), key.to_owned());
        if let Some(first) = self.values.get(&at) {
            let place = format!("{}:{line}: [{section}] {key}", self.file);
            findings.add(place, format!("is already set in line {}", first.line));
            return;
        }
        self.values.insert(at, Value { text: value.to_owned(), line });
    }
}
