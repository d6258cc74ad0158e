//! Command-line tool for operators. It checks files and shows the state of processes,
//! and changes neither.

mod check_config;
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
        None => CommandOutput::usage_error("no command given; --help lists the commands"),
    };
    output.print(json)
}
