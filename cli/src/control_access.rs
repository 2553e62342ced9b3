//! Arguments and client with which commands connect to control replicas.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_lib::settings::Security;
use heatherring_lib::settings::TlsFiles;
use heatherring_server::operator_client::OperatorClient;
use heatherring_server::operator_client::OperatorClientError;
use heatherring_server::peer_security::PeerSecurity;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::cli_error::CliError;

/// Adds the arguments for the addresses of control replicas, the timeout and the operator's
/// TLS files.
pub fn with_control_args(command: Command, required: bool) -> Command {
    command
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESSES")
                .help("Addresses of control replicas, tried in order")
                .value_parser(value_parser!(SocketAddr))
                .value_delimiter(',')
                .required(required),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .help("Time after which to give up asking")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .default_value("15"),
        )
        .arg(
            file_arg(
                "authority-file",
                "Certificates of the deployment's authority (PEM)",
            )
            .requires_all(["certificate-file", "key-file"]),
        )
        .arg(
            file_arg("certificate-file", "The operator's certificate (PEM)")
                .requires("authority-file"),
        )
        .arg(file_arg("key-file", "The key of that certificate (PEM)").requires("authority-file"))
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

/// Returns the argument for the operator's name in the audit trail.
pub fn operator_arg() -> Arg {
    Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .help("The operator's name, for the audit trail")
        .default_value("operator")
}

/// Returns a client of the control replicas that the arguments name.
pub fn operator_client(matches: &ArgMatches) -> Result<OperatorClient, CliError> {
    let control: Vec<SocketAddr> = matches
        .get_many("control")
        .unwrap_or_default()
        .copied()
        .collect();
    if control.is_empty() {
        return Err(CliError::user("--control is missing")
            .with_hint("name the control replicas, as in --control 10.0.0.1:7400,10.0.0.2:7400"));
    }
    let timeout = matches.get_one::<u64>("timeout").copied().unwrap_or(1);
    let security = PeerSecurity::from_settings(&security(matches))
        .map_err(|error| CliError::user(error.to_string()))?;
    Ok(OperatorClient::new(
        control,
        security,
        Duration::from_secs(timeout),
    ))
}

fn security(matches: &ArgMatches) -> Security {
    let file = |name: &str| matches.get_one::<PathBuf>(name).cloned();
    let files = (
        file("authority-file"),
        file("certificate-file"),
        file("key-file"),
    );
    match files {
        (Some(authority_file), Some(certificate_file), Some(key_file)) => Security::Tls(TlsFiles {
            authority_file,
            certificate_file,
            key_file,
        }),
        _ => Security::OpenLoopback,
    }
}

/// Returns the single-threaded runtime in which a command sends its request.
pub fn runtime() -> Result<Runtime, CliError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::internal)
}

/// Converts an error of the client to that of the command, with a hint where one helps.
pub fn client_error(error: &OperatorClientError) -> CliError {
    let message = error.to_string();
    match error {
        OperatorClientError::Security { .. } => CliError::user(message)
            .with_hint("for addresses other than loopback, give --authority-file, --certificate-file and --key-file"),
        OperatorClientError::Refused { .. } => CliError::refused(message),
        OperatorClientError::Unreachable { .. } => CliError::unavailable(message)
            .with_hint("a majority of the control replicas must run and reach one another"),
        OperatorClientError::SubmissionUnknown { .. } => CliError::unavailable(message)
            .with_hint("submit the same file again; it is accepted at most once"),
        OperatorClientError::OrderUnknown { .. } => CliError::unavailable(message)
            .with_hint("look at what is in force, then give the same order again if it is missing"),
    }
}
