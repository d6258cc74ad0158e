//! The result of a command, printed as text or as JSON.

use std::process::ExitCode;

use lagoonhollow_lib::value::findings::Findings;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Exit code of a command that failed, for example because a process did not answer.
const FAILED: u8 = 1;
/// Exit code for findings and invalid arguments.
const INVALID: u8 = 2;

/// The result of a command.
#[derive(Debug)]
pub struct CommandOutput {
    code: u8,
    text: String,
    json: Value,
}

impl CommandOutput {
    /// Returns a success, printed as `text` or as `value` in JSON.
    pub fn success(text: impl Into<String>, value: &impl Serialize) -> Self {
        let json = serde_json::to_value(value).unwrap_or_default();
        Self { code: 0, text: text.into(), json }
    }

    /// Returns a result with errors, printed as `text` or as `value` in JSON.
    pub fn invalid(text: impl Into<String>, value: &impl Serialize) -> Self {
        Self { code: INVALID, ..Self::success(text, value) }
    }

    /// Returns a result with warnings where none are allowed.
    pub fn unwanted(text: impl Into<String>, value: &impl Serialize) -> Self {
        Self { code: FAILED, ..Self::success(text, value) }
    }

    /// Returns the findings of a check.
    pub fn findings(findings: &Findings) -> Self {
        let json = json!({ "findings": findings });
        Self { code: INVALID, text: findings.to_string(), json }
    }

    /// Returns a failure.
    pub fn failure(problem: impl Into<String>) -> Self {
        Self::with_problem(FAILED, problem.into())
    }

    /// Returns an error in the arguments or the syntax of a file.
    pub fn usage_error(problem: impl Into<String>) -> Self {
        Self::with_problem(INVALID, problem.into())
    }

    /// Prints the result, failures as text to standard error; returns the exit code.
    pub fn print(&self, json: bool) -> ExitCode {
        match (json, self.code) {
            (true, _) => println!("{}", self.json),
            (false, 0) => println!("{}", self.text),
            (false, _) => eprintln!("{}", self.text),
        }
        ExitCode::from(self.code)
    }

    fn with_problem(code: u8, text: String) -> Self {
        let json = json!({ "problem": text });
        Self { code, text, json }
    }
}
