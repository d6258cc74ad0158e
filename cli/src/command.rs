//! The commands and what they do.

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

use crate::command_output::CommandOutput;

/// Arguments of the tool.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    /// Whether scripts read the output.
    #[options(help = "print JSON for scripts")]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Checks a settings file.
    #[options(help = "check a daemon's settings file")]
    CheckSettings(FileArguments),
    /// Checks a manifest.
    #[options(help = "check a manifest: a JSON file with \"index\" and \"services\"")]
    CheckManifest(FileArguments),
    /// Shows the state of a process.
    #[options(help = "show the state of the process with this admin address")]
    Status(StatusArguments),
    /// Explains where a flow goes.
    #[options(help = "explain where a flow (CALLER-SERVICE) goes and why")]
    Explain(ExplainArguments),
    /// Shows the version.
    #[options(help = "show the version of this tool")]
    Version(NoArguments),
}

/// A file.
#[derive(Debug, Options)]
pub struct FileArguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "the file")]
    file: PathBuf,
}

/// A process.
#[derive(Debug, Options)]
pub struct StatusArguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "admin address, such as 10.0.0.7:7002")]
    address: String,
}

/// A process and a flow.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "admin address, such as 10.0.0.7:7002")]
    address: String,
    #[options(free, required, help = "such as 192.0.2.9:40000-10.0.0.1:5683")]
    flow: String,
}

/// Nothing.
#[derive(Debug, Options)]
pub struct NoArguments {
    #[options(help = "show this help")]
    help: bool,
}

/// A manifest in one file, as a pipeline can write it before it publishes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestFile {
    index: Index,
    services: Vec<Doc>,
}

impl Command {
    /// Does what the command says.
    pub fn run(self) -> CommandOutput {
        match self {
            Self::CheckSettings(a) => check_settings(&a.file),
            Self::CheckManifest(a) => check_manifest(&a.file),
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

fn with_address(text: &str, ask: impl FnOnce(SocketAddr) -> CommandOutput) -> CommandOutput {
    match text.parse() {
        Ok(address) => ask(address),
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
    let shown = file.display();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return CommandOutput::failure(format!("can't read {shown}: {error}")),
    };
    let read: ManifestFile = match serde_json::from_str(&text) {
        Ok(read) => read,
        Err(error) => return CommandOutput::usage_error(format!("{shown}: {error}")),
    };
    let count = read.services.len();
    let backends: usize = read.services.iter().map(|d| d.backends.len()).sum();
    let manifest = Manifest::open(read.index, read.services.into_iter().map(Arc::new));
    match manifest.check() {
        Ok(checked) => {
            let version = checked.version();
            let text = format!(
                "{shown}: right, version {version} with {count} services and {backends} backend servers"
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
            CommandOutput::success(text, &status)
        }
        Err(problem) => CommandOutput::failure(problem),
    }
}

fn explain(address: SocketAddr, flow: &str) -> CommandOutput {
    let parts = flow.split_once('-');
    let parsed = parts.and_then(|(caller, service)| {
        Some((caller.parse::<SocketAddr>().ok()?, service.parse::<SocketAddr>().ok()?))
    });
    let Some((caller, service)) = parsed else {
        let problem = "is not a flow such as 192.0.2.9:40000-10.0.0.1:5683";
        return CommandOutput::usage_error(format!("{flow:?} {problem}"));
    };
    let url = format!("http://{address}/explain?caller={caller}&service={service}");
    match get::<Explanation>(&url) {
        Ok(explanation) => {
            let known =
                |name: &Option<String>| name.clone().unwrap_or_else(|| "unknown".to_owned());
            let text = format!(
                "flow     {}\nversion  {}\nservice  {}\nranks    {}\nowner    {}\nreason   {}",
                explanation.flow,
                explanation.version,
                known(&explanation.service),
                explanation.ranks.join(", "),
                known(&explanation.owner),
                explanation.reason
            );
            CommandOutput::success(text, &explanation)
        }
        Err(problem) => CommandOutput::failure(problem),
    }
}

fn get<T: DeserializeOwned + 'static>(url: &str) -> Result<T, String> {
    let url = url.to_owned();
    let system = ntex::rt::System::new("lagoonhollow", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = Client::new().await;
        let response = client.get(&url).send().await;
        let response = response.map_err(|e| format!("{url} does not answer: {e}"))?;
        let status = response.status();
        if !status.is_success() {
            return Err(format!("{url} answers {status}"));
        }
        response.json::<T>().await.map_err(|e| format!("{url}: {e}"))
    })
}
