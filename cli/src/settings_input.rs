//! Reads the settings file with which a process is started.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::value_parser;
use heatherring_lib::config_path::ConfigPath;
use heatherring_lib::config_text::position_of;

use crate::cli_error::CliError;
use crate::input::Input;
use crate::input::read_file;

const SETTINGS: &str = "settings";

/// Returns the argument that names the settings file.
pub fn settings_arg(help: &'static str) -> Arg {
    Arg::new(SETTINGS)
        .long(SETTINGS)
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
        .required(true)
}

/// Reads the file that `--settings` names.
pub fn read_settings_file(matches: &ArgMatches) -> Result<Input, CliError> {
    let Some(path) = matches.get_one::<PathBuf>(SETTINGS) else {
        return Err(CliError::user("--settings is missing"));
    };
    read_file(path)
}

/// Returns the error for a settings value that parsed but failed when it was used, such as an
/// address whose port is taken. Only the first line of `fault` is reported; further lines are
/// hints, which `allowed` replaces.
pub fn fault_at(input: &Input, field: &ConfigPath, fault: &str, allowed: &str) -> CliError {
    let position = position_of(&input.name, &input.text, field);
    let fault = fault.lines().next().unwrap_or_default();
    CliError::user(format!("{position}: {fault}; allowed is {allowed}"))
}
