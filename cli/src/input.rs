//! Reads the files that commands take as arguments.

use std::io;
use std::path::Path;

use clap::Arg;
use clap::value_parser;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_text::read_manifest;

use crate::cli_error::CliError;

/// File argument that stands for the standard input.
const STANDARD_INPUT: &str = "-";

/// The text of a file, with the name used in reports of faults.
pub struct Input {
    /// The file's path as given, or a description such as `version 41` for a stored manifest.
    pub name: String,
    /// The whole content.
    pub text: String,
}

/// Returns the required positional argument that names a file.
pub fn file_arg(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(std::path::PathBuf))
        .required(true)
}

/// Reads a file, or the standard input if `path` is `-`.
pub fn read_file(path: &Path) -> Result<Input, CliError> {
    let name = path.display().to_string();
    let text = if name == STANDARD_INPUT {
        io::read_to_string(io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    text.map(|text| Input {
        name: name.clone(),
        text,
    })
    .map_err(|error| {
        CliError::user(format!(
            "{name}: can't be read ({error}); allowed is a file in UTF-8, or - for the standard input"
        ))
    })
}

/// Parses and validates a manifest.
pub fn checked_manifest(input: &Input) -> Result<Manifest, CliError> {
    read_manifest(&input.name, &input.text).map_err(CliError::from)
}
