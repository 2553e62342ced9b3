//! `heatherring completions`: prints a shell's completion script.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

use crate::cli_error::CliError;
use crate::output::print_text;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("completions")
        .about("Prints a shell's completion script")
        .after_help(
            "Example:\n  \
             heatherring completions bash > /etc/bash_completion.d/heatherring",
        )
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .help("The shell")
                .value_parser(value_parser!(Shell))
                .required(true),
        )
}

/// Generates and prints the script.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some(shell) = matches.get_one::<Shell>("shell") else {
        return Err(CliError::user("SHELL is missing"));
    };
    let mut script = Vec::new();
    let mut root = super::command();
    let name = root.get_name().to_owned();
    clap_complete::generate(*shell, &mut root, name, &mut script);
    print_text(&String::from_utf8_lossy(&script))
}
