//! Loads manifests from files or, by version, from control.

use std::path::Path;

use clap::ArgMatches;
use heatherring_lib::manifest_summary::Change;

use crate::cli_error::CliError;
use crate::control_access::client_error;
use crate::control_access::operator_client;
use crate::control_access::runtime;
use crate::input::Input;
use crate::input::read_file;
use crate::output::print_text;

/// Word that names the manifest in force.
const CURRENT: &str = "current";

/// Fetches the text of a manifest version from control; 0 means the version in force.
pub fn stored(matches: &ArgMatches, version: u64) -> Result<Input, CliError> {
    let client = operator_client(matches)?;
    let reply = runtime()?
        .block_on(client.show(version))
        .map_err(|error| client_error(&error))?;
    if reply.found {
        return Ok(Input {
            name: format!("version {}", reply.version),
            text: reply.manifest,
        });
    }
    Err(CliError::refused(if version == 0 {
        "no manifest is in force".to_owned()
    } else {
        format!("control has no stored text of manifest version {version}")
    })
    .with_hint("`heatherring manifest history` lists what was accepted"))
}

/// Loads the manifest that `source` names: a version number, the word `current` or a file's path.
pub fn named(matches: &ArgMatches, source: &str) -> Result<Input, CliError> {
    if source == CURRENT {
        return stored(matches, 0);
    }
    match source.parse() {
        Ok(version) => stored(matches, version),
        Err(_) => read_file(Path::new(source)),
    }
}

/// Prints the changes of a manifest, one line each.
pub fn print_changes(changes: &[Change]) -> Result<(), CliError> {
    if changes.is_empty() {
        return print_text("no changes");
    }
    let lines: Vec<String> = changes.iter().map(Change::to_string).collect();
    print_text(&lines.join("\n"))
}
