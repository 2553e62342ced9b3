//! `heatherring quarantine`: shows requests suspected of ending backend servers, and lifts their
//! quarantine.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use heatherring_server::proto::LiftQuarantineRequest;
use heatherring_server::proto::QuarantineReply;
use heatherring_server::proto::SuspectStatus;
use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::control_access::client_error;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::control_access::with_control_args;
use crate::output::OutputFormat;
use crate::output::output_arg;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;
use crate::output::table;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let command = Command::new("quarantine")
        .about("Shows requests suspected of ending backend servers, and lifts their quarantine")
        .after_help(
            "A request is identified by its fingerprint, which is in the log line of each refusal. \
             Once its quarantine is lifted it is sent to backend servers like any other.\n\n\
             Examples:\n  \
             heatherring quarantine --control 10.0.0.1:7400\n  \
             heatherring quarantine --control 10.0.0.1:7400 --lift 9b1e4c70d2a85f36c1d07e44ab93f215",
        )
        .arg(
            Arg::new("lift")
                .long("lift")
                .value_name("FINGERPRINT")
                .help("Removes this request from the suspects, which lifts its quarantine"),
        )
        .arg(output_arg());
    with_control_args(command, true)
}

/// Shows the suspected requests, or removes one from them.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.get_one::<String>("lift") {
        Some(request) => lift(matches, request),
        None => show(matches),
    }
}

fn lift(matches: &ArgMatches, request: &str) -> Result<(), CliError> {
    let request = LiftQuarantineRequest {
        request: request.to_owned(),
    };
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.lift_quarantine(&request))
        .map_err(|error| client_error(&error))?;
    if !reply.known {
        return Err(CliError::refused(
            "no request with this fingerprint is suspected",
        ));
    }
    print_text(&format!("{} lifted", request.request))
}

fn show(matches: &ArgMatches) -> Result<(), CliError> {
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.quarantine())
        .map_err(|error| client_error(&error))?;
    match output_format(matches) {
        OutputFormat::Json => print_json(&reply_json(&reply)),
        OutputFormat::Table => print_text(&reply_text(&reply)),
    }
}

fn reply_json(reply: &QuarantineReply) -> Value {
    let suspects = reply.suspects.iter().map(|suspect| {
        json!({
            "request": suspect.request,
            "verdict": suspect.verdict,
            "ended": suspect.ended,
            "revision": suspect.revision,
        })
    });
    json!({ "suspects": suspects.collect::<Vec<Value>>() })
}

fn reply_text(reply: &QuarantineReply) -> String {
    if reply.suspects.is_empty() {
        return "no request is suspected".to_owned();
    }
    let header = ["REQUEST", "VERDICT", "REVISION", "ENDED"];
    let rows: Vec<Vec<String>> = reply.suspects.iter().map(row).collect();
    table(&header, &rows)
}

fn row(suspect: &SuspectStatus) -> Vec<String> {
    let verdict = match suspect.verdict.as_str() {
        "" => "suspected",
        verdict => verdict,
    };
    vec![
        suspect.request.clone(),
        verdict.to_owned(),
        suspect.revision.to_string(),
        suspect.ended.join(" "),
    ]
}
