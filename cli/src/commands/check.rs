//! `heatherring check`: validates settings and manifests without starting or submitting anything.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use heatherring_lib::config_kind::ConfigKind;
use heatherring_lib::config_kind::config_kind;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_summary::changes;
use heatherring_lib::settings_text::check_place_in;
use heatherring_lib::settings_text::read_control_settings;
use heatherring_lib::settings_text::read_direct_settings;
use heatherring_lib::settings_text::read_entry_settings;
use serde_json::json;

use crate::cli_error::CliError;
use crate::control_access::with_control_args;
use crate::input::Input;
use crate::input::checked_manifest;
use crate::input::file_arg;
use crate::input::read_file;
use crate::manifest_source;
use crate::output::OutputFormat;
use crate::output::output_arg;
use crate::output::output_format;
use crate::output::print_json;
use crate::output::print_text;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let command = Command::new("check")
        .about("Checks settings or a manifest, and tells what a manifest would change")
        .after_help(
            "Each fault is one line: file:line:column: what is wrong; what is allowed.\n\
             Nothing is started or submitted.\n\n\
             Examples:\n  \
             heatherring check entry-1.jsonc --against kyushu.jsonc\n  \
             heatherring check new.jsonc --against old.jsonc\n  \
             heatherring check new.jsonc --against-current --control 10.0.0.1:7400",
        )
        .arg(file_arg(
            "Settings or a manifest, JSON with comments; - reads the standard input",
        ))
        .arg(
            Arg::new("as")
                .long("as")
                .value_name("KIND")
                .help("What the file contains; by default determined from its fields")
                .value_parser(PossibleValuesParser::new([
                    "manifest", "control", "entry", "direct",
                ])),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .help("A manifest to compare a manifest with, or to check settings against")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("against-current")
                .long("against-current")
                .help("Uses the manifest in force in place of --against")
                .action(ArgAction::SetTrue)
                .requires("control")
                .conflicts_with("against"),
        )
        .arg(output_arg());
    with_control_args(command, false)
}

/// Validates the file and prints a summary.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some(path) = matches.get_one::<PathBuf>("file") else {
        return Err(CliError::user("FILE is missing"));
    };
    let input = read_file(path)?;
    match kind(matches, &input)? {
        ConfigKind::Manifest => check_manifest(matches, &input),
        ConfigKind::ControlSettings => {
            let settings = read_control_settings(&input.name, &input.text)?;
            check_settings(matches, &input, &settings.place, &settings.region)
        }
        ConfigKind::EntrySettings => {
            let settings = read_entry_settings(&input.name, &input.text)?;
            check_settings(matches, &input, &settings.place, &settings.region)
        }
        ConfigKind::DirectSettings => {
            let settings = read_direct_settings(&input.name, &input.text)?;
            check_settings(matches, &input, &settings.place, &settings.region)
        }
    }
}

fn kind(matches: &ArgMatches, input: &Input) -> Result<ConfigKind, CliError> {
    match matches.get_one::<String>("as").map(String::as_str) {
        Some("manifest") => Ok(ConfigKind::Manifest),
        Some("control") => Ok(ConfigKind::ControlSettings),
        Some("entry") => Ok(ConfigKind::EntrySettings),
        Some("direct") => Ok(ConfigKind::DirectSettings),
        _ => config_kind(&input.name, &input.text).map_err(CliError::from),
    }
}

fn check_manifest(matches: &ArgMatches, input: &Input) -> Result<(), CliError> {
    let manifest = checked_manifest(input)?;
    let other = compared_manifest(matches)?;
    let refused_as_stale = other
        .as_ref()
        .is_some_and(|other| manifest.version <= other.version && manifest != *other);
    let changes = other.map(|other| changes(&other, &manifest));
    if output_format(matches) == OutputFormat::Json {
        return print_json(&json!({
            "file": input.name,
            "kind": "manifest",
            "version": manifest.version,
            "changes": changes,
        }));
    }
    print_text(&format!(
        "{}: manifest of {}, version {}: {} places, {} services, {} shift caps, {} links, \
         {} drains, {} client blocks",
        input.name,
        manifest.deployment,
        manifest.version,
        manifest.places.len(),
        manifest.services.len(),
        manifest.shift_caps.len(),
        manifest.links.len(),
        manifest.drains.len(),
        manifest.client_blocks.len(),
    ))?;
    match changes {
        Some(changes) => manifest_source::print_changes(&changes)?,
        None => return Ok(()),
    }
    if matches.get_flag("against-current") && refused_as_stale {
        return print_text(
            "! control would refuse it: its version must be higher than that of the manifest in force",
        );
    }
    Ok(())
}

fn check_settings(
    matches: &ArgMatches,
    input: &Input,
    place: &PlaceName,
    region: &RegionName,
) -> Result<(), CliError> {
    if let Some(manifest) = compared_manifest(matches)? {
        check_place_in(&input.name, &input.text, place, region, &manifest)?;
    }
    if output_format(matches) == OutputFormat::Json {
        return print_json(&json!({
            "file": input.name,
            "kind": "settings",
            "place": place,
            "region": region,
        }));
    }
    print_text(&format!(
        "{}: settings of a VM at {place} in {region}",
        input.name
    ))
}

fn compared_manifest(matches: &ArgMatches) -> Result<Option<Manifest>, CliError> {
    if matches.get_flag("against-current") {
        let input = manifest_source::stored(matches, 0)?;
        return checked_manifest(&input).map(Some);
    }
    let Some(path) = matches.get_one::<PathBuf>("against") else {
        return Ok(None);
    };
    checked_manifest(&read_file(path)?).map(Some)
}
