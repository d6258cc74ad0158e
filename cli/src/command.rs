//! The commands of the tool.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use gumdrop::Options;
use lagoonhollow_daemon::process::configuration::Configuration;
use lagoonhollow_daemon::process::settings_reader::SettingsError;
use lagoonhollow_daemon::process::status::Explanation;
use lagoonhollow_daemon::process::status::Status;
use lagoonhollow_lib::version::doc::Doc;
use lagoonhollow_lib::version::index::Index;
use lagoonhollow_lib::version::manifest::Manifest;
use ntex::client::Client;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::check_config;
use crate::check_config::CheckConfigArguments;
use crate::command_output::CommandOutput;

// The help of each command shows the doc comment of its arguments type.

/// Checks files and shows the state of processes; changes nothing.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    /// Whether to print JSON instead of text.
    #[options(help = "print JSON for scripts")]
    pub json: bool,
    /// The command, if one was given.
    #[options(command)]
    pub command: Option<Command>,
}

/// A command of the tool.
#[derive(Debug, Options)]
pub enum Command {
    /// Checks a settings file.
    #[options(help = "check a daemon's settings file")]
    CheckSettings(FileArguments),
    /// Checks a manifest.
    #[options(help = "check a manifest: a JSON file with \"index\" and \"services\"")]
    CheckManifest(FileArguments),
    /// Checks a configuration before it is published.
    #[options(help = "check a configuration before it is published")]
    CheckConfig(CheckConfigArguments),
    /// Shows the state of a process.
    #[options(help = "show the state of the process with this admin address")]
    Status(StatusArguments),
    /// Explains where a flow goes and why.
    #[options(help = "explain where a flow (CALLER-SERVICE) goes and why")]
    Explain(ExplainArguments),
    /// Shows the version of the tool.
    #[options(help = "show the version of this tool")]
    Version(NoArguments),
}

/// Checks a file and reports everything that is wrong with it.
#[derive(Debug, Options)]
pub struct FileArguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "the file")]
    file: PathBuf,
}

/// Shows the state of a process.
#[derive(Debug, Options)]
pub struct StatusArguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "admin address, such as 10.0.0.7:7002")]
    address: String,
}

/// Explains where a flow goes and why.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "admin address, such as 10.0.0.7:7002")]
    address: String,
    #[options(free, required, help = "caller and service, such as 192.0.2.9:40000-10.0.0.1:5683")]
    flow: String,
}

/// Shows the version of this tool.
#[derive(Debug, Options)]
pub struct NoArguments {
    #[options(help = "show this help")]
    help: bool,
}

/// A manifest in one file, which a pipeline can have checked before it publishes the
/// manifest.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestFile {
    index: Index,
    services: Vec<Doc>,
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> CommandOutput {
        match self {
            Self::CheckSettings(a) => check_settings(&a.file),
            Self::CheckManifest(a) => check_manifest(&a.file),
            Self::CheckConfig(a) => check_config::run(&a),
            Self::Status(a) => with_address(&a.address, status),
            Self::Explain(a) => with_address(&a.address, |address| explain(address, &a.flow)),
            Self::Version(_) => {
                let version = env!("CARGO_PKG_VERSION");
                CommandOutput::success(
                    format!("lagoonhollow {version}"),
                    &json!({ "version": version }),
                )
            }
        }
    }
}

fn with_address(text: &str, run: impl FnOnce(SocketAddr) -> CommandOutput) -> CommandOutput {
    match text.parse() {
        Ok(address) => run(address),
        Err(_) => CommandOutput::usage_error(format!("{text:?} is not an IP address with a port")),
    }
}

fn check_settings(file: &Path) -> CommandOutput {
    match Configuration::open(file) {
        Ok(settings) => {
            let (role, name) = (settings.role(), settings.name().as_str());
            let text = format!("{}: right, for the {role} {name}", file.display());
            CommandOutput::success(text, &json!({ "role": role, "name": name }))
        }
        Err(SettingsError::Findings(findings)) => CommandOutput::findings(&findings),
        Err(error) => CommandOutput::failure(error.to_string()),
    }
}

fn check_manifest(file: &Path) -> CommandOutput {
    let path = file.display();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return CommandOutput::failure(format!("can't read {path}: {error}")),
    };
    let content: ManifestFile = match serde_json::from_str(&text) {
        Ok(content) => content,
        Err(error) => return CommandOutput::usage_error(format!("{path}: {error}")),
    };
    let count = content.services.len();
    let backends: usize = content.services.iter().map(|d| d.backends.len()).sum();
    let manifest = Manifest::open(content.index, content.services.into_iter().map(Arc::new));
    match manifest.check() {
        Ok(checked) => {
            let version = checked.version();
            let text = format!(
                "{path}: right, version {version} with {count} services and {backends} backend servers"
            );
            let value = json!({ "version": version, "services": count, "backends": backends });
            CommandOutput::success(text, &value)
        }
        Err(findings) => CommandOutput::findings(&findings),
    }
}

fn status(address: SocketAddr) -> CommandOutput {
    match get::<Status>(&format!("http://{address}/status")) {
        Ok(status) => {
            let mut text = format!(
                "{} ({}, domain {}): {}, version {}, {}",
                status.name,
                status.role,
                status.domain,
                status.state,
                status.version,
                if status.ready { "ready" } else { "not ready" }
            );
            let held = status.held.iter().map(|(name, n)| format!("\n  holds {n:>8} {name}"));
            let reasons = status.reasons.iter().map(|(name, n)| format!("\n  count {n:>8} {name}"));
            text.extend(held.chain(reasons));
            text.extend(status.evacuations.iter().map(|e| {
                let (domain, revision, ms) = (&e.domain, &e.revision, e.known_for_ms);
                format!("\n  evacuated {domain} since revision {revision}, known for {ms} ms")
            }));
            if let (Some(by), Some(ms)) = (&status.confirmed_by, status.confirmation_ms) {
                text += &format!("\n  knowledge confirmed by {by} as of {ms} ms ago");
            }
            if status.observer {
                text += "\n  observes the store for other processes";
            }
            if let Some(cold) = &status.cold {
                let (rate, ms) = (cold.rate, cold.left_ms);
                text += &format!("\n  backend server cold for {ms} ms, bears {rate} requests/s");
            }
            CommandOutput::success(text, &status)
        }
        Err(problem) => CommandOutput::failure(problem),
    }
}

fn explain(address: SocketAddr, flow: &str) -> CommandOutput {
    let parts = flow.split_once('-');
    let addresses = parts.and_then(|(caller, service)| {
        Some((caller.parse::<SocketAddr>().ok()?, service.parse::<SocketAddr>().ok()?))
    });
    let Some((caller, service)) = addresses else {
        let problem = "is not a flow such as 192.0.2.9:40000-10.0.0.1:5683";
        return CommandOutput::usage_error(format!("{flow:?} {problem}"));
    };
    let url = format!("http://{address}/explain?caller={caller}&service={service}");
    match get::<Explanation>(&url) {
        Ok(explanation) => {
            let or_unknown =
                |name: &Option<String>| name.clone().unwrap_or_else(|| "unknown".to_owned());
            let text = format!(
                "flow     {}\nversion  {}\nservice  {}\nranks    {}\nowner    {}\nreason   {}",
                explanation.flow,
                explanation.version,
                or_unknown(&explanation.service),
                explanation.ranks.join(", "),
                or_unknown(&explanation.owner),
                explanation.reason
            );
            CommandOutput::success(text, &explanation)
        }
        Err(problem) => CommandOutput::failure(problem),
    }
}

/// Reads JSON from a process.
///
/// # Errors
///
/// Returns what is wrong if there is no answer or it can't be decoded.
pub fn get<T: DeserializeOwned + 'static>(url: &str) -> Result<T, String> {
    let url = url.to_owned();
    let system = ntex::rt::System::new("lagoonhollow", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = Client::new().await;
        let response = client.get(&url).send().await;
        let response = response.map_err(|e| format!("{url} does not answer: {e}"))?;
        let status = response.status();
        if !status.is_success() {
            return Err(format!("{url} answered with status {status}"));
        }
        response.json::<T>().await.map_err(|e| format!("{url}: {e}"))
    })
}
