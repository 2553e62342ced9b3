//! Parsing of manifests from JSON with comments.

use crate::config_fault::ConfigFault;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_fault::Position;
use crate::config_text;
use crate::manifest::Manifest;
use crate::manifest_check;

/// Maximum size of a manifest's text in bytes. Control replicas keep several texts and manifests
/// in memory, so this also bounds their memory use.
pub const MAX_MANIFEST_BYTES: usize = 16 * 1024 * 1024;

/// Parses and checks a manifest; `file` is the file name reported in faults.
///
/// # Errors
///
/// Returns all faults found, each with its line and column.
pub fn read_manifest(file: &str, text: &str) -> Result<Manifest, ConfigFaults> {
    if text.len() > MAX_MANIFEST_BYTES {
        return Err(too_large(file, text.len()));
    }
    config_text::read(file, text, manifest_check::check)
}

fn too_large(file: &str, bytes: usize) -> ConfigFaults {
    ConfigFaults(vec![ConfigFault {
        file: file.to_owned(),
        position: Position { line: 1, column: 1 },
        problem: ConfigProblem::TooLarge {
            bytes,
            max: MAX_MANIFEST_BYTES,
        },
    }])
}
