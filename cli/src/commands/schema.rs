//! `heatherring schema`: prints the JSON Schema of manifests and settings.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use heatherring_lib::config_text::schema_of;
use heatherring_lib::direct_settings::DirectSettings;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::EntrySettings;

use crate::cli_error::CliError;
use crate::output::print_json;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("schema")
        .about("Prints the JSON Schema of a manifest or of settings")
        .after_help("Example:\n  heatherring schema manifest > manifest.schema.json")
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .help("What the schema describes")
                .value_parser(PossibleValuesParser::new([
                    "manifest", "control", "entry", "direct",
                ]))
                .required(true),
        )
}

/// Generates and prints the schema.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let schema = match matches.get_one::<String>("kind").map(String::as_str) {
        Some("control") => schema_of::<ControlSettings>(),
        Some("direct") => schema_of::<DirectSettings>(),
        Some("entry") => schema_of::<EntrySettings>(),
        _ => schema_of::<Manifest>(),
    };
    print_json(&schema)
}
