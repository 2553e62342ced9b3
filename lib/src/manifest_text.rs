//! Reads manifests from JSON with comments.

use crate::config_fault::ConfigFault;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_fault::Position;
use crate::config_text;
use crate::manifest::Manifest;
use crate::manifest_check;

/// Bytes that a manifest's text may have. Control holds several texts and manifests in
/// memory, so the bound is also one on its memory.
pub const MAX_MANIFEST_BYTES: usize = 16 * 1024 * 1024;

/// Reads and checks a manifest; `file` names the text in faults.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
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
