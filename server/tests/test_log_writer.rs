//! Log lines that never hold the process up.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use heatherring_lib::clock::SystemClock;
use heatherring_lib::request_diagnosis::LogLine;
use heatherring_server::log_writer::LogWriter;
use heatherring_testutils::wait::wait_for;
use logforth::Append;
use logforth::record::Level;
use logforth::record::RecordBuilder;

/// What was written, and whether whoever reads has stopped.
#[derive(Clone, Default)]
struct Reader {
    text: Arc<Mutex<Vec<u8>>>,
    stopped: Arc<Mutex<()>>,
}

impl Write for Reader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _reading = self.stopped.lock().unwrap();
        self.text.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(writer: &LogWriter, level: Level) {
    let record = RecordBuilder::default()
        .level(level)
        .payload(format_args!("something happened"))
        .build();
    writer.append(&record, &[]).unwrap();
}

/// Symptom: a process stops serving when whoever reads its log stops reading.
///
/// Sequence: the pipe fills up, and the thread that serves waits to write its next line.
///
/// Cause: lines were written by the thread that serves. Now they wait in a bounded queue, and
/// what doesn't fit is dropped, counted and told of once somebody reads again.
#[tokio::test]
async fn test_log_writer_goes_on_when_its_reader_stops() {
    let reader = Reader::default();
    let stopped = Arc::clone(&reader.stopped);
    let text = Arc::clone(&reader.text);
    let writer = LogWriter::start(reader, Arc::new(SystemClock)).unwrap();
    let (tx, logged) = mpsc::channel();
    let holding = stopped.lock().unwrap();
    std::thread::spawn(move || {
        for _ in 0..2_000 {
            log(&writer, Level::Warn);
        }
        tx.send(writer).unwrap();
    });
    let writer = logged.recv_timeout(Duration::from_secs(20)).unwrap();
    let dropped = writer.dropped();
    assert!(dropped >= 1_000, "{dropped} dropped");
    drop(holding);
    writer.flush().unwrap();
    let told = wait_for("a line on the dropped ones", async || {
        log(&writer, Level::Warn);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
        let line = text.lines().find(|line| line.contains("log_dropped"))?;
        Some(line.to_owned())
    })
    .await
    .unwrap();
    let told = LogLine::read("log", &told).expect("a line that explain reads");
    assert_eq!(told.event, "log_dropped");
    assert!(told.number("lines") > 0, "{told:?}");
}

/// The last lines before a process ends are written.
#[test]
fn test_log_writer_writes_the_last_lines() {
    let reader = Reader::default();
    let text = Arc::clone(&reader.text);
    let writer = LogWriter::start(reader, Arc::new(SystemClock)).unwrap();
    for _ in 0..50 {
        log(&writer, Level::Info);
    }
    writer.flush().unwrap();
    let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 50);
}
