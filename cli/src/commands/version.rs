//! `heatherring version`: prints the version of the program.

use clap::ArgMatches;
use clap::Command;

use crate::cli_error::CliError;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("version").about("Prints the version of the program")
}

/// Prints the program's name and version.
#[expect(
    clippy::unnecessary_wraps,
    reason = "all subcommands share one signature"
)]
pub fn run(_matches: &ArgMatches) -> Result<(), CliError> {
    println!("heatherring {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}
