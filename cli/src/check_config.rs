//! Check of a configuration before it is published.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use lagoonhollow_daemon::version::packet::knowledge_delta;
use lagoonhollow_daemon::version::packet::knowledge_delta::KnowledgeDelta;
use lagoonhollow_lib::value::findings::Findings;
use lagoonhollow_lib::version::config_check::ConfigCheck;
use lagoonhollow_lib::version::config_diff::ConfigDiff;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_lib::version::routes_update::RoutesUpdate;
use lagoonhollow_platform::routes;
use serde_json::json;

use crate::command::get;
use crate::command_output::CommandOutput;

/// Longest file in bytes: the store takes no longer value.
const MAX_FILE: u64 = 1 << 20;

// The help shows the doc comment of the arguments type.

/// Checks a configuration before it is published, and compares it with the one in force.
#[derive(Debug, Options)]
pub struct CheckConfigArguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "file with the configuration to be published")]
    file: PathBuf,
    #[options(no_short, help = "the one in force: a file, or the admin address of a process")]
    in_force: Option<String>,
    #[options(no_short, help = "longest time in seconds for which a flow lives")]
    longest_flow: Option<u64>,
    #[options(no_short, help = "exit with 1 if there are warnings")]
    strict: bool,
}

/// Runs the command.
pub fn run(arguments: &CheckConfigArguments) -> CommandOutput {
    let (next, mut errors) = match read(&arguments.file) {
        Ok(read) => read,
        Err(problem) => return CommandOutput::usage_error(problem),
    };
    let in_force = match arguments.in_force.as_deref().map(read_in_force).transpose() {
        Ok(in_force) => in_force,
        Err(problem) => return CommandOutput::failure(problem),
    };
    let check = ConfigCheck::run(&next, arguments.longest_flow.map(Duration::from_secs));
    errors.append(check.errors);
    let diff = in_force.map(|in_force| ConfigDiff::between(&in_force, &next));
    let value = json!({
        "version": next.version,
        "errors": errors,
        "warnings": check.warnings,
        "changes": diff,
    });
    let text = table(&next, &errors, &check.warnings, diff.as_ref());
    let warned = arguments.strict && !check.warnings.list().is_empty();
    match (errors.list().is_empty(), warned) {
        (false, _) => CommandOutput::invalid(text, &value),
        (true, true) => CommandOutput::unwanted(text, &value),
        (true, false) => CommandOutput::success(text, &value),
    }
}

/// Reads a configuration from a file; returns it with the findings of its decoding.
fn read(file: &Path) -> Result<(Published, Findings), String> {
    let path = file.display();
    let unreadable = |error| format!("can't read {path}: {error}");
    let length = std::fs::metadata(file).map_err(unreadable)?.len();
    if length > MAX_FILE {
        return Err(format!("{path} has {length} bytes; the store takes at most {MAX_FILE}"));
    }
    let bytes = std::fs::read(file).map_err(unreadable)?;
    routes::decode(&bytes).map_err(|problem| format!("{path} is not a configuration: {problem}"))
}

/// Reads the configuration in force from a process, if `source` is an address, or a file.
fn read_in_force(source: &str) -> Result<Published, String> {
    let Ok(address) = source.parse::<SocketAddr>() else {
        return read(Path::new(source)).map(|(published, _)| published);
    };
    let path = knowledge_delta::PATH;
    let url = format!("http://{address}{path}?routes=0&roster=0&evacuations=0");
    let delta: KnowledgeDelta = get(&url)?;
    match delta.routes {
        Some(RoutesUpdate::Whole(published)) => Ok(published),
        _ => Err(format!("the process at {address} knows no configuration")),
    }
}

fn table(
    next: &Published,
    errors: &Findings,
    warnings: &Findings,
    diff: Option<&ConfigDiff>,
) -> String {
    let findings = |kind: &str, findings: &Findings| -> Vec<String> {
        findings.list().iter().map(|f| format!("{kind:<8} {f}")).collect()
    };
    let mut lines = findings("error", errors);
    lines.extend(findings("warning", warnings));
    let changes = diff.into_iter().flat_map(ConfigDiff::changes);
    lines.extend(changes.map(|change| format!("{:<8} {change}", "change")));
    lines.push(format!(
        "version {}: {} routes, {} services, {} errors, {} warnings",
        next.version,
        next.routes.len(),
        next.services.len(),
        errors.list().len(),
        warnings.list().len()
    ));
    lines.join("\n")
}
