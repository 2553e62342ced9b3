//! The record of a run: one line an event, with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to `record.txt`.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {line}");
    }

    /// Writes a line and prints it.
    pub fn tell(&self, line: &str) {
        println!("{:9.3} {line}", self.started.elapsed().as_secs_f64());
        self.note(line);
    }
}
