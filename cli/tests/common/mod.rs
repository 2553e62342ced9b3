//! What several tests share: running the command.

#![allow(
    dead_code,
    reason = "each test file is a crate, and uses a part of this"
)]

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

/// Holds what a run of the command left.
pub struct Ran {
    /// The exit code.
    pub code: i32,
    /// What it printed.
    pub stdout: String,
    /// What it reported.
    pub stderr: String,
}

/// Runs the command in a folder, without a terminal and with a fixed width.
pub fn run(folder: &Path, arguments: &[&str]) -> Ran {
    let output = Command::new(env!("CARGO_BIN_EXE_heatherring"))
        .args(arguments)
        .current_dir(folder)
        .env("COLUMNS", "100")
        .output()
        .unwrap();
    Ran {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns the path of a file at the repository's root.
pub fn repository_file(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    root.join(name)
}

/// Returns the path of a sample.
pub fn sample(name: &str) -> PathBuf {
    repository_file("samples").join(name)
}
