//! Reads settings from JSON with comments.

use crate::config_fault::ConfigFaults;
use crate::config_text;
use crate::settings::ControlSettings;
use crate::settings::EntrySettings;
use crate::settings_check;

/// Reads and checks the settings of a control replica; `file` names the text in faults.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
pub fn read_control_settings(file: &str, text: &str) -> Result<ControlSettings, ConfigFaults> {
    config_text::read(file, text, settings_check::check_control)
}

/// Reads and checks the settings of an entry VM; `file` names the text in faults.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
pub fn read_entry_settings(file: &str, text: &str) -> Result<EntrySettings, ConfigFaults> {
    config_text::read(file, text, settings_check::check_entry)
}
