//! What a case sent, received and ran, with the time since its start.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written shows as a short one.
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
