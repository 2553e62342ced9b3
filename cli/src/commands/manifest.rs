//! `heatherring manifest`: submits, shows and compares manifests.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_lib::manifest_summary::changes;
use heatherring_server::proto::ManifestRecord;
use serde_json::json;

use crate::cli_error::CliError;
use crate::commands::manifest_submit;
use crate::control_access::client_error;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::control_access::with_control_args;
use crate::input::checked_manifest;
use crate::manifest_source;
use crate::output::OutputFormat;
use crate::output::output_arg;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;
use crate::output::table;
use crate::wall_text::wall_text;

/// Number of leading characters of a digest that tables show.
const SHORT_DIGEST: usize = 12;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("manifest")
        .about("Submits manifests and shows what was accepted")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(manifest_submit::command())
        .subcommand(show_command())
        .subcommand(history_command())
        .subcommand(diff_command())
}

fn show_command() -> Command {
    let command = Command::new("show")
        .about("Prints the manifest in force, or another version that control still holds")
        .after_help(
            "The text is printed as it was submitted, comments included.\n\n\
             Examples:\n  \
             heatherring manifest show --control 10.0.0.1:7400 > current.jsonc\n  \
             heatherring manifest show 41 --control 10.0.0.1:7400 --output json",
        )
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .help("The version; without it, the one in force")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(output_arg());
    with_control_args(command, true)
}

fn history_command() -> Command {
    let command = Command::new("history")
        .about("Lists accepted manifests, the newest first")
        .after_help("Example:\n  heatherring manifest history --control 10.0.0.1:7400 --limit 5")
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .help("How many to list")
                .value_parser(value_parser!(u32).range(1..=1_000))
                .default_value("20"),
        )
        .arg(output_arg());
    with_control_args(command, true)
}

fn diff_command() -> Command {
    let command = Command::new("diff")
        .about("Tells what one manifest changes against another")
        .after_help(
            "A manifest is named by a file, by its version number, or by the word current.\n\n\
             Examples:\n  \
             heatherring manifest diff old.jsonc new.jsonc\n  \
             heatherring manifest diff current new.jsonc --control 10.0.0.1:7400\n  \
             heatherring manifest diff 40 41 --control 10.0.0.1:7400",
        )
        .arg(source_arg(
            "before",
            "BEFORE",
            "The manifest to compare with",
        ))
        .arg(source_arg(
            "after",
            "AFTER",
            "The manifest whose changes are shown",
        ))
        .arg(output_arg());
    with_control_args(command, false)
}

fn source_arg(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value_name)
        .help(help)
        .required(true)
}

/// Runs the selected subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("submit", matches)) => manifest_submit::run(matches),
        Some(("show", matches)) => run_show(matches),
        Some(("history", matches)) => run_history(matches),
        Some(("diff", matches)) => run_diff(matches),
        _ => Ok(()),
    }
}

fn run_show(matches: &ArgMatches) -> Result<(), CliError> {
    let version = matches.get_one::<u64>("version").copied().unwrap_or(0);
    if output_format(matches) == OutputFormat::Table {
        let input = manifest_source::stored(matches, version)?;
        return print_text(&input.text);
    }
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.show(version))
        .map_err(|error| client_error(&error))?;
    print_json(&json!({
        "found": reply.found,
        "version": reply.version,
        "digest": reply.digest,
        "revision": reply.revision,
        "manifest": reply.manifest,
    }))
}

fn run_history(matches: &ArgMatches) -> Result<(), CliError> {
    let limit = matches.get_one::<u32>("limit").copied().unwrap_or(0);
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.history(limit))
        .map_err(|error| client_error(&error))?;
    if output_format(matches) == OutputFormat::Json {
        let records: Vec<_> = reply.records.iter().map(record_json).collect();
        return print_json(&json!({ "records": records }));
    }
    let rows: Vec<Vec<String>> = reply.records.iter().map(record_row).collect();
    let header = ["VERSION", "REVISION", "ACCEPTED", "OPERATOR", "DIGEST"];
    print_text(&table(&header, &rows))
}

fn record_json(record: &ManifestRecord) -> serde_json::Value {
    json!({
        "version": record.version,
        "digest": record.digest,
        "revision": record.revision,
        "operator": record.operator,
        "accepted_unix_ms": record.accepted_unix_ms,
    })
}

fn record_row(record: &ManifestRecord) -> Vec<String> {
    vec![
        record.version.to_string(),
        record.revision.to_string(),
        wall_text(record.accepted_unix_ms),
        record.operator.clone(),
        short_digest(&record.digest),
    ]
}

/// Returns the start of a digest, for tables and messages.
pub fn short_digest(digest: &str) -> String {
    digest.chars().take(SHORT_DIGEST).collect()
}

fn run_diff(matches: &ArgMatches) -> Result<(), CliError> {
    let source = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    let before = checked_manifest(&manifest_source::named(matches, source("before"))?)?;
    let after = checked_manifest(&manifest_source::named(matches, source("after"))?)?;
    let changes = changes(&before, &after);
    if output_format(matches) == OutputFormat::Json {
        return print_json(&json!({ "changes": changes }));
    }
    manifest_source::print_changes(&changes)
}
