//! `heatherring explain --logs`: diagnoses a request from log lines.

use clap::ArgMatches;
use heatherring_lib::request_diagnosis::LogLine;
use heatherring_lib::request_diagnosis::RequestDiagnosis;
use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::commands::explain;
use crate::log_input;
use crate::output::OutputFormat;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;

/// Reads the log lines, and prints the decisions on the request and the likely cause.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some(request_id) = explain::request_id(matches) else {
        return Err(CliError::user("--logs requires the ID of a request"));
    };
    let files = matches.get_many::<String>("logs").into_iter().flatten();
    let lines = log_input::read(files)?;
    let count = lines.len();
    let Some(diagnosis) = RequestDiagnosis::of(request_id, &lines) else {
        return Err(CliError::user(format!(
            "none of {count} log lines is about request \"{request_id}\""
        ))
        .with_hint(
            "give the logs of all entry VMs; under load, lines on answered requests are dropped first",
        ));
    };
    match output_format(matches) {
        OutputFormat::Json => print_json(&json!(diagnosis)),
        OutputFormat::Table => print_text(&diagnosis_text(&diagnosis)),
    }
}

fn diagnosis_text(diagnosis: &RequestDiagnosis) -> String {
    let mut text = vec![format!("request {}", diagnosis.request_id)];
    text.push("decisions:".to_owned());
    text.extend(diagnosis.decisions.iter().map(line_text));
    text.push("changes around that time:".to_owned());
    text.extend(diagnosis.changes.iter().map(line_text));
    text.push("likely cause:".to_owned());
    text.extend(diagnosis.cause.iter().map(|cause| format!("  {cause}")));
    text.join("\n")
}

fn line_text(line: &LogLine) -> String {
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, value)| *name != "request_id" && value.as_str() != Some(""))
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name} \"{text}\""),
            _ => format!("{name} {value}"),
        })
        .collect();
    let (at, source, event) = (line.at, &line.source, &line.event);
    format!("  {at} {source} {event}: {}", fields.join(", "))
}
