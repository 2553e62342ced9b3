//! `heatherring team`: shows teams, or counts the outcomes of their requests.

use std::collections::BTreeMap;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use heatherring_lib::request_diagnosis::LogLine;
use heatherring_lib::team_tally;
use heatherring_lib::team_tally::TeamTally;
use heatherring_server::proto::TeamStatus;
use heatherring_server::proto::TeamsReply;
use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::control_access::client_error;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::control_access::with_control_args;
use crate::log_input;
use crate::output::OutputFormat;
use crate::output::output_arg;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;
use crate::output::table;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let command = Command::new("team")
        .about("Shows teams, or counts the outcomes of their requests")
        .after_help(
            "Keys are never shown, only how many there are. With --logs, requests are counted by \
             team and by the rule that refused them; under load, lines on answered requests are \
             dropped first.\n\n\
             Examples:\n  \
             heatherring team --control 10.0.0.1:7400\n  \
             heatherring team --logs entry-1.log --logs entry-2.log",
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .action(ArgAction::Append)
                .help("Counts requests in the log lines of this file, - for standard input"),
        )
        .arg(output_arg());
    with_control_args(command, false)
}

/// Shows the teams, or counts requests in log lines.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.get_many::<String>("logs") {
        Some(files) => count(matches, &log_input::read(files)?),
        None => show(matches),
    }
}

fn count(matches: &ArgMatches, lines: &[LogLine]) -> Result<(), CliError> {
    let teams = team_tally::tally(lines);
    match output_format(matches) {
        OutputFormat::Json => print_json(&json!(teams)),
        OutputFormat::Table => print_text(&tally_text(&teams)),
    }
}

fn tally_text(teams: &BTreeMap<String, TeamTally>) -> String {
    if teams.is_empty() {
        return "no log line is about a request of a team".to_owned();
    }
    let rows: Vec<Vec<String>> = teams
        .iter()
        .map(|(team, tally)| {
            let refused = tally.refused.iter();
            let refused = refused.map(|(reason, count)| format!("{reason} {count}"));
            vec![
                team_text(team),
                tally.asked().to_string(),
                tally.answered.to_string(),
                tally.left.to_string(),
                refused.collect::<Vec<_>>().join(", "),
            ]
        })
        .collect();
    table(&["TEAM", "ASKED", "ANSWERED", "LEFT", "REFUSED"], &rows)
}

fn team_text(team: &str) -> String {
    if team.is_empty() { "(none)" } else { team }.to_owned()
}

fn show(matches: &ArgMatches) -> Result<(), CliError> {
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.teams())
        .map_err(|error| client_error(&error))?;
    match output_format(matches) {
        OutputFormat::Json => print_json(&reply_json(&reply)),
        OutputFormat::Table => print_text(&reply_text(&reply)),
    }
}

fn reply_json(reply: &TeamsReply) -> Value {
    let teams = reply.teams.iter().map(|team| {
        json!({
            "team": team.team,
            "keys": team.keys,
            "priority": team.priority,
            "rate": team.rate,
            "burst": team.burst,
            "home_regions": team.home_regions,
        })
    });
    json!({ "keyed": reply.keyed, "teams": teams.collect::<Vec<Value>>() })
}

fn reply_text(reply: &TeamsReply) -> String {
    if !reply.keyed {
        return "requests need no key".to_owned();
    }
    let rows: Vec<Vec<String>> = reply.teams.iter().map(row).collect();
    table(
        &["TEAM", "KEYS", "PRIORITY", "RATE", "BURST", "HOMES"],
        &rows,
    )
}

fn row(team: &TeamStatus) -> Vec<String> {
    let number = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |v| v.to_string());
    let priority = team.priority.map(f64::from);
    vec![
        team.team.clone(),
        team.keys.to_string(),
        number(priority),
        number(team.rate),
        number(team.burst),
        team.home_regions.join(" "),
    ]
}
