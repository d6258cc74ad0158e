//! Findings of a check, collected with their places.

use std::fmt;

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;

/// Maximum number of characters that a finding quotes.
const MAX_TEXT: usize = 300;

/// A problem that a check found.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[display("{place}: {problem}")]
pub struct Finding {
    /// Where: a file and line, or a document and key.
    pub place: String,
    /// What is wrong there, and what would be correct.
    pub problem: String,
}

/// All problems that a check found.
#[derive(Clone, Debug, Default, Error, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Findings(#[error(not(source))] Vec<Finding>);

impl Findings {
    /// Adds a finding. Texts are shortened and control characters are escaped, since
    /// they may quote what was found.
    pub fn add(&mut self, place: impl fmt::Display, problem: impl fmt::Display) {
        self.0.push(Finding { place: quote(&place), problem: quote(&problem) });
    }

    /// Adds the findings of another check.
    pub fn append(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Returns the findings in the order in which they were found.
    pub fn list(&self) -> &[Finding] {
        &self.0
    }

    /// Returns `value` if nothing was found.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn or<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{finding}")?;
        }
        Ok(())
    }
}

fn quote(text: &impl fmt::Display) -> String {
    let text = text.to_string();
    let mut chars = text.chars();
    let start = chars.by_ref().take(MAX_TEXT);
    let escape = |c: char| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    };
    let mut quoted: String = start.map(escape).collect();
    if chars.next().is_some() {
        quoted.push('…');
    }
    quoted
}
