//! `heatherring demo`: runs a whole deployment in one process, for trying it out.

use std::io::Write;
use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::settings::LogLevel;
use heatherring_server::demo::DemoError;
use heatherring_server::demo::run_demo;
use heatherring_server::shutdown::Shutdown;
use tokio::runtime::Runtime;

use crate::cli_error::CliError;
use crate::logging;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs control, two entry VMs and demo backend servers in one process")
        .after_help(
            "Listens on 127.0.0.1, ports 7400 to 7443, prints curl lines to try and serves until \
             Ctrl-C. Its state is kept in a temporary folder and removed at the end.",
        )
}

/// Runs the demo.
///
/// # Errors
///
/// Fails if a port is taken or a part of the demo fails.
pub fn run(_matches: &ArgMatches) -> Result<(), CliError> {
    logging::start(LogLevel::Warn).map_err(CliError::internal)?;
    let runtime = Runtime::new().map_err(CliError::internal)?;
    runtime.block_on(async {
        let shutdown = Shutdown::on_signals().map_err(CliError::internal)?;
        let demo = run_demo(Arc::new(SystemClock), shutdown, print);
        demo.await.map_err(demo_error)
    })
}

fn print(lines: &str) {
    let mut out = std::io::stdout();
    // Errors are ignored: a closed standard output must not end the demo.
    let _ = out.write_all(lines.as_bytes());
    let _ = out.flush();
}

fn demo_error(error: DemoError) -> CliError {
    if error.is_user_error() {
        return CliError::user(error.to_string())
            .with_hint("another demo may be running; end it first");
    }
    CliError::internal(error)
}
