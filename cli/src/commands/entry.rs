//! `heatherring entry`: runs an entry VM that answers look-ups and relays requests.

use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::config_path::ConfigPath;
use heatherring_lib::settings::EntrySettings;
use heatherring_lib::settings_text::read_entry_settings;
use heatherring_server::entry_process::EntryError;
use heatherring_server::entry_process::run_entry;
use heatherring_server::shutdown::Shutdown;
use tokio::runtime::Runtime;

use crate::cli_error::CliError;
use crate::input::Input;
use crate::logging;
use crate::settings_input::fault_at;
use crate::settings_input::read_settings_file;
use crate::settings_input::settings_arg;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("entry")
        .about("Runs an entry VM: answers look-ups and carries requests")
        .after_help(
            "Runs until SIGTERM or Ctrl-C. The first signal begins a planned stop: the entry VM \
             releases its ownerships, keeps serving until the look-up answers that callers have \
             cached expire, finishes the requests in flight and ends. A second signal ends it \
             without waiting.\n\n\
             Example:\n  \
             heatherring entry --settings entry-1.jsonc",
        )
        .arg(settings_arg("The entry VM's settings, JSON with comments"))
}

/// Runs the entry VM.
///
/// # Errors
///
/// Fails if the settings are invalid or a listener cannot be bound.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let input = read_settings_file(matches)?;
    let settings = parse_settings(&input)?;
    logging::start(settings.log.level).map_err(CliError::internal)?;
    let runtime = Runtime::new().map_err(CliError::internal)?;
    runtime.block_on(async {
        let shutdown = Shutdown::on_signals().map_err(CliError::internal)?;
        let entry = run_entry(settings, Arc::new(SystemClock), shutdown);
        entry.await.map_err(|error| entry_error(&input, error))
    })
}

fn parse_settings(input: &Input) -> Result<EntrySettings, CliError> {
    read_entry_settings(&input.name, &input.text).map_err(CliError::from)
}

fn entry_error(input: &Input, error: EntryError) -> CliError {
    if !error.is_user_error() {
        return CliError::internal(error);
    }
    let root = ConfigPath::root();
    let (field, allowed) = match &error {
        EntryError::Listen { purpose, .. } => (
            root.field("listen").field(*purpose),
            "a free port at an address of this VM",
        ),
        _ => (
            root.field("security"),
            "open_loopback, or readable files of one authority",
        ),
    };
    fault_at(input, &field, &error.to_string(), allowed)
}
