//! Runs fake backend servers, one or many, as one process.
//!
//! SIGTERM makes all of them leave; the process ends when they have.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use futures_util::future::join_all;
use heatherring_testutils::fake_backend_server::FakeBackendServer;
use heatherring_testutils::fake_backend_server::FakeBackendServerConfig;
use heatherring_testutils::fake_backend_server::FakeBackendServerError;
use heatherring_testutils::ledger::Ledger;
use heatherring_testutils::ledger::LedgerError;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[derive(Debug, Snafu)]
enum StartError {
    #[snafu(display("can't read {}: {source}", path.display()))]
    Settings {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} isn't a list of backend servers: {source}", path.display()))]
    Format {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[snafu(transparent)]
    Ledger { source: LedgerError },
    #[snafu(transparent)]
    Server { source: FakeBackendServerError },
    #[snafu(display("can't wait for signals: {source}"))]
    Signal { source: std::io::Error },
}

fn command() -> Command {
    Command::new("fake-backend-server")
        .about("Runs fake backend servers that are described in a JSON file")
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("JSON list of backend servers"),
        )
        .arg(
            Arg::new("ledger")
                .long("ledger")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File that records everything that runs, one JSON object a line"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let settings = matches.get_one::<PathBuf>("settings").expect("required");
    let ledger = matches.get_one::<PathBuf>("ledger").expect("required");
    match run(settings.clone(), ledger.clone()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("fake-backend-server: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(path: PathBuf, ledger: PathBuf) -> Result<(), StartError> {
    let text = std::fs::read_to_string(&path).context(SettingsSnafu { path: &path })?;
    let configs: Vec<FakeBackendServerConfig> =
        serde_json::from_str(&text).context(FormatSnafu { path })?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let ledger = Ledger::create(&ledger)?;
    let mut servers = Vec::new();
    for config in configs {
        servers.push(FakeBackendServer::start(config, ledger.clone()).await?);
    }
    terminate.recv().await;
    join_all(servers.into_iter().map(FakeBackendServer::leave)).await;
    Ok(())
}
