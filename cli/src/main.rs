//! The `heatherring` command: parses the arguments, runs a subcommand and maps its result to an
//! exit code. All other logic is in the libraries.

mod cli_error;
mod commands;
mod control_access;
mod input;
mod interfaces;
mod log_input;
mod logging;
mod manifest_source;
mod output;
mod settings_input;
mod wall_text;

use std::process::ExitCode;

use crate::cli_error::CliError;

fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    let result = commands::run(&matches);
    logging::finish();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => report(&err),
    }
}

/// Prints the error and its hint to standard error; returns the exit code.
fn report(err: &CliError) -> ExitCode {
    eprintln!("{err}");
    if let Some(hint) = err.hint() {
        eprintln!("hint: {hint}");
    }
    ExitCode::from(err.exit_code())
}
