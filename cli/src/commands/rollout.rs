//! `heatherring rollout`: starts rollouts, and shows how far they are and why.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use heatherring_lib::duration_text::parse_duration;
use heatherring_lib::duration_text::whole_ms;
use heatherring_server::proto::RolloutStatus;
use heatherring_server::proto::RolloutsReply;
use heatherring_server::proto::StartRolloutRequest;
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
    let start = Command::new("start")
        .about("Starts to move the traffic of a service to another version")
        .after_help(
            "The new backend servers announce the version. A small share of the requests goes to \
             them first; they get all of them by the end of the duration, or none if they turn \
             out to be worse.\n\n\
             Example:\n  \
             heatherring rollout start --control 10.0.0.1:7400 registry v2 --duration 10m",
        )
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .required(true)
                .help("The service"),
        )
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .required(true)
                .help("The version that its traffic moves to"),
        )
        .arg(
            Arg::new("duration")
                .long("duration")
                .value_name("DURATION")
                .required(true)
                .value_parser(parse_duration)
                .help("Time by which the rollout has to be over, such as 90s or 1500ms"),
        );
    let list = Command::new("list").about("Lists the latest rollout of each service");
    let show = Command::new("show")
        .about("Shows the rollout of one service, with the figures on which it is judged")
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .required(true)
                .help("The service"),
        );
    Command::new("rollout")
        .about("Starts rollouts, and shows how far they are and why")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(
            [start, list, show].map(|command| with_control_args(command.arg(output_arg()), true)),
        )
}

/// Runs the selected subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("start", matches)) => start(matches),
        Some(("show", matches)) => show(matches),
        Some((_, matches)) => list(matches),
        None => Ok(()),
    }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn start(matches: &ArgMatches) -> Result<(), CliError> {
    let duration = matches.get_one::<Duration>("duration");
    let request = StartRolloutRequest {
        service: text(matches, "service").to_owned(),
        target: text(matches, "version").to_owned(),
        duration_ms: duration.copied().map_or(0, whole_ms),
    };
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.start_rollout(&request))
        .map_err(|error| client_error(&error))?;
    if reply.unknown_service {
        let message = format!("the manifest has no service {}", request.service);
        return Err(CliError::user(message));
    }
    if !reply.accepted {
        let message = format!("a rollout to {} is in progress", reply.in_progress);
        return Err(CliError::user(message));
    }
    match output_format(matches) {
        OutputFormat::Json => print_json(&json!({ "accepted": true })),
        OutputFormat::Table => print_text("the rollout has begun"),
    }
}

fn list(matches: &ArgMatches) -> Result<(), CliError> {
    print(matches, &fetch(matches)?.rollouts)
}

fn show(matches: &ArgMatches) -> Result<(), CliError> {
    let service = text(matches, "service");
    let mut rollouts = fetch(matches)?.rollouts;
    rollouts.retain(|rollout| rollout.service == service);
    if rollouts.is_empty() {
        let message = format!("there was no rollout of {service}");
        return Err(CliError::user(message));
    }
    print(matches, &rollouts)
}

fn fetch(matches: &ArgMatches) -> Result<RolloutsReply, CliError> {
    let client = operator_client(matches)?;
    runtime()?
        .block_on(client.rollouts())
        .map_err(|error| client_error(&error))
}

fn print(matches: &ArgMatches, rollouts: &[RolloutStatus]) -> Result<(), CliError> {
    match output_format(matches) {
        OutputFormat::Json => {
            let rollouts: Vec<Value> = rollouts.iter().map(status_json).collect();
            print_json(&json!({ "rollouts": rollouts }))
        }
        OutputFormat::Table => {
            let rows: Vec<Vec<String>> = rollouts.iter().map(row).collect();
            let head = [
                "SERVICE",
                "VERSION",
                "PHASE",
                "SHARE",
                "TIME",
                "BAD",
                "BAD BEFORE",
                "REASON",
            ];
            print_text(&table(&head, &rows))
        }
    }
}

fn status_json(status: &RolloutStatus) -> Value {
    json!({
        "service": status.service,
        "version": status.target,
        "phase": status.phase,
        "share": f64::from(status.share) / 1_000.0,
        "reason": status.reason,
        "route": status.route,
        "duration_ms": status.duration_ms,
        "elapsed_ms": status.elapsed_ms,
        "answers": { "count": status.target_answers, "bad": status.target_bad },
        "answers_of_others": { "count": status.others_answers, "bad": status.others_bad },
    })
}

fn row(status: &RolloutStatus) -> Vec<String> {
    let counts = |bad: u32, all: u32| format!("{bad} of {all}");
    let reason = match status.route.as_str() {
        "" => status.reason.clone(),
        route => format!("{} on {route}", status.reason),
    };
    vec![
        status.service.clone(),
        status.target.clone(),
        status.phase.clone(),
        format!("{}%", f64::from(status.share) / 10.0),
        format!("{} of {} ms", status.elapsed_ms, status.duration_ms),
        counts(status.target_bad, status.target_answers),
        counts(status.others_bad, status.others_answers),
        reason,
    ]
}
