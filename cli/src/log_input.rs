//! Reads log lines of heatherring's processes from files or the standard input.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;

use heatherring_lib::request_diagnosis::LogLine;

use crate::cli_error::CliError;

/// File argument that stands for the standard input.
const STDIN: &str = "-";

/// Reads the log lines of `files`, in the order of the files.
pub fn read<'a>(files: impl Iterator<Item = &'a String>) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        read_file(file, &mut lines)?;
    }
    Ok(lines)
}

fn read_file(name: &str, lines: &mut Vec<LogLine>) -> Result<(), CliError> {
    let unreadable = |error: &io::Error| CliError::user(format!("cannot read {name}: {error}"));
    if name == STDIN {
        return read_lines(name, io::stdin().lock(), lines).map_err(|error| unreadable(&error));
    }
    let file = File::open(name).map_err(|error| unreadable(&error))?;
    read_lines(name, BufReader::new(file), lines).map_err(|error| unreadable(&error))
}

/// Appends the log lines of heatherring; skips lines of other programs, which a log collector may
/// have mixed in.
fn read_lines(name: &str, input: impl BufRead, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in input.split(b'\n') {
        let line = line?;
        lines.extend(LogLine::read(name, &String::from_utf8_lossy(&line)));
    }
    Ok(())
}
