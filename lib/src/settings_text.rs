//! Parsing of settings from JSON with comments.

use crate::config_document::Document;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_path::ConfigPath;
use crate::config_text;
use crate::direct_settings::DirectSettings;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::manifest::Manifest;
use crate::settings::ControlSettings;
use crate::settings::EntrySettings;
use crate::settings_check;
use crate::settings_check::SettingsProblem;

/// Parses and checks the settings of a control replica; `file` is the name under which faults
/// report the text.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
pub fn read_control_settings(file: &str, text: &str) -> Result<ControlSettings, ConfigFaults> {
    config_text::read(file, text, settings_check::check_control)
}

/// Parses and checks the settings of an entry VM; `file` is the name under which faults report
/// the text.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
pub fn read_entry_settings(file: &str, text: &str) -> Result<EntrySettings, ConfigFaults> {
    config_text::read(file, text, settings_check::check_entry)
}

/// Parses and checks the settings of an entry VM that dispatches directly to backend servers;
/// `file` is the name under which faults report the text.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
pub fn read_direct_settings(file: &str, text: &str) -> Result<DirectSettings, ConfigFaults> {
    config_text::read(file, text, settings_check::check_direct)
}

/// Checks that a manifest has the VM's place in the VM's region; `file` and `text` are those of
/// the settings.
///
/// # Errors
///
/// Returns the fault with its line and column in the settings.
pub fn check_place_in(
    file: &str,
    text: &str,
    place: &PlaceName,
    region: &RegionName,
    manifest: &Manifest,
) -> Result<(), ConfigFaults> {
    let Some(problem) = settings_check::check_place(place, region, manifest) else {
        return Ok(());
    };
    let field = match problem {
        SettingsProblem::RegionMismatch { .. } => "region",
        _ => "place",
    };
    let document = Document::parse(file, text)?;
    let path = ConfigPath::root().field(field);
    let fault = document.fault(&path, ConfigProblem::Settings { problem });
    Err(ConfigFaults(vec![fault]))
}
