//! `heatherring audit`: prints the audit trail.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_server::proto::AuditRequest;

use crate::cli_error::CliError;
use crate::control_access::client_error;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::control_access::with_control_args;
use crate::output::print_text;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let command = Command::new("audit")
        .about("Prints the audit trail of changes as JSON lines, the oldest first")
        .after_help(
            "To follow the trail, repeat with --after and the revision of the last line.\n\n\
             Examples:\n  \
             heatherring audit --control 10.0.0.1:7400\n  \
             heatherring audit --control 10.0.0.1:7400 --after 1200 --limit 50",
        )
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("REVISION")
                .help("Starts after this revision")
                .value_parser(value_parser!(u64))
                .default_value("0"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .help("How many records to print")
                .value_parser(value_parser!(u32).range(1..=1_000))
                .default_value("1000"),
        );
    with_control_args(command, true)
}

/// Fetches the audit records and prints them.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let request = AuditRequest {
        after_revision: matches.get_one("after").copied().unwrap_or(0),
        limit: matches.get_one("limit").copied().unwrap_or(0),
    };
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.audit(request))
        .map_err(|error| client_error(&error))?;
    if reply.records.is_empty() {
        return Ok(());
    }
    print_text(&reply.records.join("\n"))
}
