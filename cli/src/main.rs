//! The operators' tool. It reads and explains, and changes nothing.

mod command;
mod command_output;

use std::process::ExitCode;

use gumdrop::Options;

use crate::command::Arguments;
use crate::command_output::CommandOutput;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let json = arguments.json;
    let output = match arguments.command {
        Some(command) => command.run(),
        None => CommandOutput::usage_error("a command is missing; --help lists them"),
    };
    output.print(json)
}
