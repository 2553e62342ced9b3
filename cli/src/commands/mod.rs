//! The subcommands, one module each.
//!
//! Each module provides `command()`, the definition of its arguments, and `run()`. To add a
//! subcommand, declare its module and add an entry to [`SUBCOMMANDS`].

mod audit;
mod check;
mod completions;
mod control;
mod control_remove;
mod demo;
mod direct;
mod entry;
mod explain;
mod explain_logs;
mod manifest;
mod manifest_submit;
mod quarantine;
mod rollout;
mod schema;
mod status;
mod team;
mod version;

use clap::ArgMatches;
use clap::Command;

use crate::cli_error::CliError;

/// A subcommand: the definition of its arguments and the function that runs it.
struct Subcommand {
    command: fn() -> Command,
    run: fn(&ArgMatches) -> Result<(), CliError>,
}

/// All subcommands, in the order of the help text.
const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        command: control::command,
        run: control::run,
    },
    Subcommand {
        command: demo::command,
        run: demo::run,
    },
    Subcommand {
        command: entry::command,
        run: entry::run,
    },
    Subcommand {
        command: direct::command,
        run: direct::run,
    },
    Subcommand {
        command: check::command,
        run: check::run,
    },
    Subcommand {
        command: manifest::command,
        run: manifest::run,
    },
    Subcommand {
        command: status::command,
        run: status::run,
    },
    Subcommand {
        command: explain::command,
        run: explain::run,
    },
    Subcommand {
        command: quarantine::command,
        run: quarantine::run,
    },
    Subcommand {
        command: rollout::command,
        run: rollout::run,
    },
    Subcommand {
        command: team::command,
        run: team::run,
    },
    Subcommand {
        command: audit::command,
        run: audit::run,
    },
    Subcommand {
        command: schema::command,
        run: schema::run,
    },
    Subcommand {
        command: completions::command,
        run: completions::run,
    },
    Subcommand {
        command: version::command,
        run: version::run,
    },
];

/// Returns the definition of the whole command line.
pub fn command() -> Command {
    let root = Command::new("heatherring")
        .about("Steers traffic from callers across regions to backend servers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true);
    SUBCOMMANDS.iter().fold(root, |root, subcommand| {
        root.subcommand((subcommand.command)())
    })
}

/// Runs the selected subcommand.
///
/// # Errors
///
/// Returns the subcommand's error.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((name, sub_matches)) = matches.subcommand() else {
        return Ok(());
    };
    SUBCOMMANDS
        .iter()
        .find(|subcommand| (subcommand.command)().get_name() == name)
        .map_or(Ok(()), |subcommand| (subcommand.run)(sub_matches))
}
