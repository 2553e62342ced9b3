//! Files that commands read.

use std::io;
use std::path::Path;

use clap::Arg;
use clap::value_parser;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_text::read_manifest;

use crate::cli_error::CliError;

/// Stands for the standard input where a file is asked for.
const STANDARD_INPUT: &str = "-";

/// Holds a text and the name by which faults in it are reported.
pub struct Input {
    /// The name.
    pub name: String,
    /// The text.
    pub text: String,
}

/// Returns an argument that names a file.
pub fn file_arg(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(std::path::PathBuf))
        .required(true)
}

/// Reads a file, or the standard input if it is called `-`.
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

/// Reads and checks a manifest.
pub fn checked_manifest(input: &Input) -> Result<Manifest, CliError> {
    read_manifest(&input.name, &input.text).map_err(CliError::from)
}
