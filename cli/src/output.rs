//! Output of commands: tables for people, JSON for programs.

use std::io;
use std::io::Write;

use clap::Arg;
use clap::ArgMatches;
use clap::builder::PossibleValuesParser;
use serde_json::Value;

use crate::cli_error::CliError;

/// Spaces between the columns of a table.
const COLUMN_GAP: usize = 2;

/// Format in which a command prints its result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// Text and tables, for people.
    Table,
    /// JSON, for programs.
    Json,
}

/// Returns the argument that selects the format.
pub fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("How to print the result")
        .value_parser(PossibleValuesParser::new(["table", "json"]))
        .default_value("table")
}

/// Returns the selected format; [`OutputFormat::Table`] by default.
pub fn output_format(matches: &ArgMatches) -> OutputFormat {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Table,
    }
}

/// Prints a text, followed by a newline.
///
/// A closed pipe is not an error: readers such as `head` close it once they have read enough.
pub fn print_text(text: &str) -> Result<(), CliError> {
    let mut stdout = io::stdout().lock();
    match writeln!(stdout, "{}", text.trim_end_matches('\n')) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(CliError::internal(error)),
        _ => Ok(()),
    }
}

/// Prints a value as indented JSON.
pub fn print_json(value: &Value) -> Result<(), CliError> {
    print_text(&format!("{value:#}"))
}

/// Formats rows as a table whose columns are as wide as their widest cell.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(header[column].len()) + COLUMN_GAP
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let header: Vec<String> = header.iter().map(|&cell| cell.to_owned()).collect();
    let lines = std::iter::once(&header).chain(rows);
    let lines: Vec<String> = lines.map(|row| format_row(row, &widths)).collect();
    lines.join("\n")
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, &width)| format!("{cell:width$}"))
        .collect();
    padded.concat().trim_end().to_owned()
}
