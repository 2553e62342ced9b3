//! `heatherring direct`: runs an entry VM that dispatches requests directly to backend servers.

use std::path::PathBuf;
use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::config_path::ConfigPath;
use heatherring_lib::settings_text::read_direct_settings;
use heatherring_server::direct_process::DirectError;
use heatherring_server::direct_process::run_direct;
use heatherring_server::shutdown::Shutdown;
use tokio::runtime;

use crate::cli_error::CliError;
use crate::input::Input;
use crate::interfaces;
use crate::logging;
use crate::settings_input::fault_at;
use crate::settings_input::read_settings_file;
use crate::settings_input::settings_arg;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("direct")
        .about("Runs an entry VM that dispatches directly to backend servers")
        .after_help(
            "Runs until SIGTERM or Ctrl-C. The first signal begins a planned stop: the entry VM \
             reports that it is not ready, keeps serving until callers have noticed, finishes \
             the requests in flight and ends. A second signal ends it without waiting. SIGHUP, \
             or a change of the settings file, rereads the addresses of control replicas.\n\n\
             Example:\n  \
             heatherring direct --settings direct-1.jsonc",
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
    let settings = read_direct_settings(&input.name, &input.text)?;
    logging::start(settings.log.level).map_err(CliError::internal)?;
    let file = PathBuf::from(&input.name);
    let interface = interfaces::entry(&settings);
    // A single thread suffices: an entry VM has a fraction of a core, and each further thread
    // costs memory for its stack and allocator.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::internal)?;
    runtime.block_on(async {
        let shutdown = Shutdown::on_signals().map_err(CliError::internal)?;
        let entry = run_direct(settings, file, interface, Arc::new(SystemClock), shutdown);
        entry.await.map_err(|error| direct_error(&input, &error))
    })
}

fn direct_error(input: &Input, error: &DirectError) -> CliError {
    let root = ConfigPath::root();
    let (field, allowed) = match error {
        DirectError::Listen { purpose, .. } => (
            root.field("listen").field(*purpose),
            "a free port at an address of this VM",
        ),
        DirectError::Security { .. } => (
            root.field("security"),
            "open_loopback, open_network, or readable files of one authority",
        ),
    };
    fault_at(input, &field, &error.to_string(), allowed)
}
