//! The operators' tool. It reads and explains, and changes nothing.

mod command;
mod report;

use std::process::ExitCode;

use gumdrop::Options;

use crate::command::Arguments;
use crate::report::Outcome;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let json = arguments.json;
    let outcome = match arguments.command {
        Some(command) => command.run(),
        None => Outcome::usage("a command is missing; --help lists them"),
    };
    outcome.show(json)
}
