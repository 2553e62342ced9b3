//! `heatherring control remove`: removes a replica from the cluster.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_server::proto::ChangeMembershipRequest;
use heatherring_server::proto::change_membership_request::Change;

use crate::cli_error::CliError;
use crate::control_access::client_error;
use crate::control_access::operator_arg;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::control_access::with_control_args;
use crate::output::print_text;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let command = Command::new("remove")
        .about("Removes a replica from the cluster permanently")
        .after_help(
            "For a replica that is not to be replaced, and for one that was added but never \
             formatted. Refused if the remaining replicas would not form a majority.\n\n\
             Example:\n  \
             heatherring control remove 5194852663363380 --control 10.0.0.1:7400",
        )
        .arg(
            Arg::new("replica")
                .value_name("REPLICA")
                .help("The replica's identity, as `heatherring status` shows it")
                .value_parser(value_parser!(u64))
                .required(true),
        )
        .arg(operator_arg());
    with_control_args(command, true)
}

/// Requests the removal from control.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let replica = matches.get_one("replica").copied().unwrap_or(0);
    let operator = matches.get_one::<String>("operator");
    let request = ChangeMembershipRequest {
        change: Some(Change::Remove(replica)),
        operator: operator.cloned().unwrap_or_default(),
    };
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.change_membership(&request))
        .map_err(|error| client_error(&error))?;
    if !reply.accepted {
        return Err(CliError::refused(format!("not removed: {}", reply.reason)));
    }
    print_text(&format!(
        "replica {replica} removed at revision {}",
        reply.revision
    ))
}
