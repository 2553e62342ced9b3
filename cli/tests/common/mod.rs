//! Helpers shared by the tests of the command line.

#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses only some of the helpers"
)]

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

/// Holds the exit code and output of one run of the command.
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    /// Errors and warnings.
    pub stderr: String,
}

/// Runs the command in `folder`, without a terminal and with a fixed output width.
pub fn run(folder: &Path, arguments: &[&str]) -> CommandOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_heatherring"))
        .args(arguments)
        .current_dir(folder)
        .env("COLUMNS", "100")
        .output()
        .unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns the path of a file, given relative to the repository's root.
pub fn repository_file(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    root.join(name)
}

/// Returns the path of a file in the `samples` folder.
pub fn sample(name: &str) -> PathBuf {
    repository_file("samples").join(name)
}
