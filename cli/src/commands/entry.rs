//! `heatherring entry`: runs an entry VM.

use std::path::PathBuf;
use std::sync::Arc;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::settings::EntrySettings;
use heatherring_lib::settings_text::read_entry_settings;
use heatherring_server::entry_process::EntryError;
use heatherring_server::entry_process::run_entry;
use heatherring_server::shutdown::Shutdown;
use tokio::runtime::Runtime;

use crate::cli_error::CliError;
use crate::logging;

const SETTINGS: &str = "settings";

/// Returns the arguments of the subcommand.
pub fn command() -> Command {
    Command::new("entry")
        .about("Runs an entry VM: answers look-ups and carries requests")
        .after_help(
            "Runs until SIGTERM or Ctrl-C. The first one begins a planned stop: the entry VM \
             gives up what it owns, serves on until look-up answers that callers keep are over, \
             finishes what is in flight and ends. A second one ends the wait.\n\n\
             Example:\n  \
             heatherring entry --settings entry-1.jsonc",
        )
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .value_name("FILE")
                .help("The entry VM's settings, JSON with comments")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
}

/// Runs the entry VM.
///
/// # Errors
///
/// Fails if the settings are at fault or a listener can't be bound.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let settings = read_settings(matches)?;
    logging::start(settings.log.level).map_err(internal)?;
    let runtime = Runtime::new().map_err(internal)?;
    runtime.block_on(async {
        let shutdown = Shutdown::on_signals().map_err(internal)?;
        let entry = run_entry(settings, Arc::new(SystemClock), shutdown);
        entry.await.map_err(entry_error)
    })
}

fn read_settings(matches: &ArgMatches) -> Result<EntrySettings, CliError> {
    let Some(path) = matches.get_one::<PathBuf>(SETTINGS) else {
        return Err(user("--settings is missing"));
    };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| user(format!("{file}: {source}")))?;
    read_entry_settings(&file, &text).map_err(|faults| user(faults.to_string()))
}

fn entry_error(error: EntryError) -> CliError {
    if error.is_user_error() {
        user(error.to_string())
    } else {
        internal(error)
    }
}

fn user(message: impl Into<String>) -> CliError {
    CliError::User {
        message: message.into(),
        hint: None,
    }
}

fn internal(source: impl std::error::Error + Send + Sync + 'static) -> CliError {
    CliError::Internal {
        source: Box::new(source),
    }
}
