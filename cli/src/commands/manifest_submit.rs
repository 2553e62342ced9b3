//! `heatherring manifest submit`: submits a manifest and waits until it is in force.

use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_server::operator_client::OperatorClient;
use heatherring_server::proto::StatusReply;
use heatherring_server::proto::SubmitOutcome;
use heatherring_server::proto::SubmitReply;
use heatherring_server::proto::SubmitRequest;
use serde_json::json;
use tokio::time::Instant;

use crate::cli_error::CliError;
use crate::commands::manifest::short_digest;
use crate::control_access::client_error;
use crate::control_access::operator_arg;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::control_access::with_control_args;
use crate::input::checked_manifest;
use crate::input::file_arg;
use crate::input::read_file;
use crate::output::OutputFormat;
use crate::output::output_arg;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;

/// Interval between two queries of the settled revision.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let command = Command::new("submit")
        .about("Submits a manifest and waits until it is in force everywhere")
        .after_help(
            "Submitting the same file again is safe: it is accepted at most once, and the \
             answer is the same.\n\n\
             Examples:\n  \
             heatherring manifest submit kyushu.jsonc --control 10.0.0.1:7400,10.0.0.2:7400\n  \
             generate | heatherring manifest submit - --control 10.0.0.1:7400 --no-wait",
        )
        .arg(file_arg(
            "The manifest, JSON with comments; - reads the standard input",
        ))
        .arg(operator_arg())
        .arg(
            Arg::new("no-wait")
                .long("no-wait")
                .help("Returns once the manifest is accepted")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("SECONDS")
                .help("Time to wait until an accepted manifest is in force everywhere")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .default_value("30")
                .conflicts_with("no-wait"),
        )
        .arg(output_arg());
    with_control_args(command, true)
}

/// Validates and submits the manifest; unless `--no-wait` is given, waits until it is in force.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some(path) = matches.get_one::<PathBuf>("file") else {
        return Err(CliError::user("FILE is missing"));
    };
    let input = read_file(path)?;
    // Validated before sending, so that faults are reported with the file's name.
    checked_manifest(&input)?;
    let request = SubmitRequest {
        manifest: input.text,
        operator: matches
            .get_one::<String>("operator")
            .cloned()
            .unwrap_or_default(),
    };
    let client = operator_client(matches)?;
    runtime()?.block_on(submit(matches, &client, &request))
}

async fn submit(
    matches: &ArgMatches,
    client: &OperatorClient,
    request: &SubmitRequest,
) -> Result<(), CliError> {
    let reply = client
        .submit(request)
        .await
        .map_err(|error| client_error(&error))?;
    let reply = accepted(reply)?;
    let format = output_format(matches);
    if matches.get_flag("no-wait") {
        return print_accepted(format, &reply, None);
    }
    let seconds = matches.get_one::<u64>("wait").copied().unwrap_or(0);
    let wait = Duration::from_secs(seconds);
    let status = wait_until_settled(client, reply.revision, wait).await?;
    print_accepted(format, &reply, Some(&status))
}

/// Returns the reply if the manifest was accepted, otherwise the error that it stands for.
fn accepted(reply: SubmitReply) -> Result<SubmitReply, CliError> {
    let version = reply.version;
    let refused = match reply.outcome() {
        SubmitOutcome::Accepted => return Ok(reply),
        SubmitOutcome::VersionConflict => CliError::refused(format!(
            "not accepted: version {version} already exists with other content (digest {}); \
             the submitted manifest has digest {}",
            reply.winner_digest, reply.digest
        ))
        .with_hint(format!(
            "see it with `heatherring manifest show {version}`, and submit yours as a higher version"
        )),
        SubmitOutcome::StaleVersion => CliError::refused(format!(
            "not accepted: version {version} is lower than the one in force, {}",
            reply.current_version
        ))
        .with_hint("submit it as a higher version"),
        SubmitOutcome::Invalid => CliError::user(reply.problems.join("\n")),
        SubmitOutcome::NotAccepted => CliError::unavailable(format!("not accepted: {}", reply.reason)),
        SubmitOutcome::Unknown | SubmitOutcome::Unspecified => {
            CliError::unavailable(format!("unknown whether it was accepted: {}", reply.reason))
                .with_hint("submit the same file again; it is accepted at most once")
        }
    };
    Err(refused)
}

async fn wait_until_settled(
    client: &OperatorClient,
    revision: u64,
    wait: Duration,
) -> Result<StatusReply, CliError> {
    let deadline = Instant::now() + wait;
    loop {
        let status = client.status().await;
        let reason = match status {
            Ok(status) if status.current && status.settled_revision >= revision => {
                return Ok(status);
            }
            Ok(status) => lag_text(&status, revision),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= deadline {
            let message = format!(
                "accepted at revision {revision}, but not known to be in force everywhere: {reason}"
            );
            return Err(CliError::unavailable(message)
                .with_hint("`heatherring status` shows the revision of each entry VM"));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// Lists the entry VMs that have not acknowledged a revision; states the settled revision if there
/// are none.
fn lag_text(status: &StatusReply, revision: u64) -> String {
    let lagging = status
        .entries
        .iter()
        .filter(|entry| entry.applied_revision < revision);
    let named: Vec<String> = lagging
        .map(|entry| format!("{} is at {}", entry.vm, entry.applied_revision))
        .collect();
    if named.is_empty() {
        return format!("the settled revision is {}", status.settled_revision);
    }
    named.join(", ")
}

/// Prints the outcome of an accepted submission. `settled` is the status once all entry VMs have
/// acknowledged it, or `None` if the command did not wait.
fn print_accepted(
    format: OutputFormat,
    reply: &SubmitReply,
    settled: Option<&StatusReply>,
) -> Result<(), CliError> {
    // The answer to a repeated submission is the original one, even if a later version has been
    // accepted since.
    let later = settled
        .map(|status| status.manifest_version)
        .filter(|version| *version > reply.version);
    if format == OutputFormat::Json {
        return print_json(&json!({
            "outcome": "accepted",
            "version": reply.version,
            "digest": reply.digest,
            "revision": reply.revision,
            "in_force_everywhere": settled.is_some() && later.is_none(),
            "replaced_by": later,
        }));
    }
    let ending = match (settled, later) {
        (None, _) => String::new(),
        (Some(_), None) => ", in force everywhere".to_owned(),
        (Some(_), Some(later)) => format!(", since replaced by version {later}"),
    };
    print_text(&format!(
        "version {} accepted at revision {} (digest {}){ending}",
        reply.version,
        reply.revision,
        short_digest(&reply.digest)
    ))
}
