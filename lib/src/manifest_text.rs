//! Reads manifests from JSON with comments.

use crate::config_fault::ConfigFaults;
use crate::config_text;
use crate::manifest::Manifest;
use crate::manifest_check;

/// Reads and checks a manifest; `file` names the text in faults.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
pub fn read_manifest(file: &str, text: &str) -> Result<Manifest, ConfigFaults> {
    config_text::read(file, text, manifest_check::check)
}
