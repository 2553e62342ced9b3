//! `heatherring explain`: shows the reasons of recent decisions.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgGroup;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_record::DecisionRecord;
use heatherring_lib::explanation;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::is_name;
use heatherring_server::entry_status::DrainStatus;
use heatherring_server::explain_client::ExplainError;
use heatherring_server::explain_client::explain;
use heatherring_server::explain_query::KINDS;
use heatherring_server::explain_report::ExplainReport;
use serde_json::json;

use crate::cli_error::CliError;
use crate::commands::explain_logs;
use crate::control_access::runtime;
use crate::output::OutputFormat;
use crate::output::output_arg;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;
use crate::wall_text::wall_text;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Tells why recent look-ups, refusals, shifts and drains came out as they did")
        .after_help(
            "Every entry VM keeps its latest decisions. Ask the one that decided: the answer \
             to a caller contains the request's ID in Heatherring-Request-Id.\n\n\
             Where entry VMs dispatch directly, the log has this information: --logs \
             prints the decisions on one request, the changes around that time and the likely \
             cause.\n\n\
             Examples:\n  \
             heatherring explain --entry 10.0.1.1:7481\n  \
             heatherring explain --entry 10.0.1.1:7481 --request 5d0c8e7f1a2b3c4d-1f\n  \
             heatherring explain --entry 10.0.1.1:7481 --service registry --kind refusal\n  \
             heatherring explain 9c41d07be2a35f68 --logs entry-*.log control-*.log",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("The same as --request ID")
                .conflicts_with("request"),
        )
        .group(ArgGroup::new("which").args(["id", "request"]))
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .help("The entry VM's listen.backend_servers")
                .value_parser(value_parser!(SocketAddr))
                .required_unless_present("logs"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .help("Log lines to read instead of asking an entry VM; - for standard input")
                .num_args(1..)
                .conflicts_with_all(["entry", "service", "kind"])
                .requires("which"),
        )
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .help("Only decisions on this request"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("SERVICE")
                .help("Only decisions on requests to this service"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_name("KIND")
                .help("Only decisions of this kind")
                .value_parser(PossibleValuesParser::new(KINDS.map(|(name, _)| name))),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .help("How many decisions to print")
                .value_parser(value_parser!(u16).range(1..=200))
                .default_value("20"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .help("Time after which to give up asking")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .default_value("5"),
        )
        .arg(output_arg())
}

/// Queries the entry VM and prints its report; with `--logs`, reads log files instead.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    if matches.contains_id("logs") {
        return explain_logs::run(matches);
    }
    let Some(address) = matches.get_one::<SocketAddr>("entry").copied() else {
        return Err(CliError::user("--entry is missing"));
    };
    let timeout = matches.get_one::<u64>("timeout").copied().unwrap_or(1);
    let filter = filter(matches)?;
    let query = explain(address, &filter, Duration::from_secs(timeout));
    let mut report = runtime()?
        .block_on(query)
        .map_err(|error| query_error(&error))?;
    let limit = matches.get_one::<u16>("limit").copied().unwrap_or(1);
    report.decisions.truncate(limit.into());
    match output_format(matches) {
        OutputFormat::Json => print_json(&json!(report)),
        OutputFormat::Table => print_text(&report_text(&report)),
    }
}

/// Returns the ID of the request to explain, given as the positional argument or as `--request`.
pub(super) fn request_id(matches: &ArgMatches) -> Option<&String> {
    let by_position = matches.get_one::<String>("id");
    by_position.or_else(|| matches.get_one::<String>("request"))
}

fn filter(matches: &ArgMatches) -> Result<DecisionFilter, CliError> {
    let kind = matches.get_one::<String>("kind");
    let kind = kind.and_then(|name| {
        let found = KINDS.iter().find(|(known, _)| known == name);
        found.map(|(_, kind)| *kind)
    });
    Ok(DecisionFilter {
        request_id: name(matches, "id")?.or(name(matches, "request")?).cloned(),
        service: name(matches, "service")?.map(ServiceName::new),
        kind,
    })
}

/// Returns the value of an argument after checking that it is a valid name.
fn name<'a>(matches: &'a ArgMatches, argument: &str) -> Result<Option<&'a String>, CliError> {
    let value = matches.get_one::<String>(argument);
    match value.filter(|value| !is_name(value)) {
        Some(value) => Err(CliError::user(format!(
            "--{argument} is \"{value}\"; allowed are letters, digits, '-', '_' and '.'"
        ))),
        None => Ok(value),
    }
}

fn query_error(error: &ExplainError) -> CliError {
    CliError::unavailable(error.to_string())
        .with_hint("--entry takes the address of listen.backend_servers")
}

fn report_text(report: &ExplainReport) -> String {
    let drains = report.drains.iter().map(drain_text);
    let decisions = report.decisions.iter().map(decision_text);
    let texts: Vec<String> = drains.chain(decisions).collect();
    if texts.is_empty() {
        return format!(
            "{} has no record of such a decision, and no drain is planned",
            report.vm
        );
    }
    texts.join("\n\n")
}

fn drain_text(status: &DrainStatus) -> String {
    let drain = &status.drain;
    match &status.held_back {
        Some(reason) => format!("drain of {drain}: held back\n  {reason}"),
        None => format!("drain of {drain}: carried out"),
    }
}

fn decision_text(record: &DecisionRecord) -> String {
    let head = format!(
        "{} request {} (revision {}, manifest version {})",
        wall_text(record.unix_ms),
        record.request_id,
        record.revision,
        record.manifest_version
    );
    let lines = explanation::explain(record);
    let indented: Vec<String> = lines.iter().map(|line| format!("  {line}")).collect();
    format!("{head}\n{}", indented.join("\n"))
}
