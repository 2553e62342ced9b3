//! `heatherring explain --logs`: tells from log lines what became of a request.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;

use clap::ArgMatches;
use heatherring_lib::log_chain::LogChain;
use heatherring_lib::log_chain::LogLine;
use serde_json::Value;
use serde_json::json;

use crate::cli_error::CliError;
use crate::commands::explain;
use crate::output::OutputFormat;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;

/// Reads standard input in place of a file.
const STDIN: &str = "-";

/// Reads the lines, and prints what they tell of the request.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some(request_id) = explain::request_id(matches) else {
        return Err(CliError::user("--logs needs the id of a request"));
    };
    let files = matches.get_many::<String>("logs").into_iter().flatten();
    let mut lines = Vec::new();
    for file in files {
        read_file(file, &mut lines)?;
    }
    let count = lines.len();
    let Some(chain) = LogChain::of(request_id, &lines) else {
        return Err(CliError::user(format!(
            "none of {count} log lines is on request \"{request_id}\""
        ))
        .with_hint(
            "give the logs of all entry VMs; under load, lines on answered requests are dropped first",
        ));
    };
    match output_format(matches) {
        OutputFormat::Json => print_json(&json!(chain)),
        OutputFormat::Table => print_text(&chain_text(&chain)),
    }
}

fn read_file(name: &str, lines: &mut Vec<LogLine>) -> Result<(), CliError> {
    let unreadable = |error: &io::Error| CliError::user(format!("can't read {name}: {error}"));
    if name == STDIN {
        return read_lines(name, io::stdin().lock(), lines).map_err(|error| unreadable(&error));
    }
    let file = File::open(name).map_err(|error| unreadable(&error))?;
    read_lines(name, BufReader::new(file), lines).map_err(|error| unreadable(&error))
}

/// Keeps the lines of heatherring; whatever else a collector mixed in is passed over.
fn read_lines(name: &str, input: impl BufRead, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in input.split(b'\n') {
        let line = line?;
        lines.extend(LogLine::read(name, &String::from_utf8_lossy(&line)));
    }
    Ok(())
}

fn chain_text(chain: &LogChain) -> String {
    let mut text = vec![format!("request {}", chain.request_id)];
    text.push("decisions:".to_owned());
    text.extend(chain.decisions.iter().map(line_text));
    text.push("changes round them:".to_owned());
    text.extend(chain.changes.iter().map(line_text));
    text.push("likely cause:".to_owned());
    text.extend(chain.cause.iter().map(|cause| format!("  {cause}")));
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
