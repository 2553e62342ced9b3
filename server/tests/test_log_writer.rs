//! Tests that writing log lines never blocks the process.

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

/// Collects what is written. While `stopped` is locked, writes block as on a full pipe that
/// nobody reads.
#[derive(Clone, Default)]
struct Reader {
    text: Arc<Mutex<Vec<u8>>>,
    stopped: Arc<Mutex<()>>,
}

impl Write for Reader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _unblocked = self.stopped.lock().unwrap();
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

/// Guards against a process that stops serving when the reader of its log stops reading: the pipe
/// fills up, and a serving thread that writes log lines itself blocks. Lines therefore go through
/// a bounded queue; those that do not fit are dropped, counted, and reported once the log is
/// read again.
#[tokio::test]
async fn test_log_writer_goes_on_when_its_reader_stops() {
    let reader = Reader::default();
    let stopped = Arc::clone(&reader.stopped);
    let text = Arc::clone(&reader.text);
    let writer = LogWriter::start(reader, Arc::new(SystemClock)).unwrap();
    let (tx, logged) = mpsc::channel();
    let blocked = stopped.lock().unwrap();
    std::thread::spawn(move || {
        for _ in 0..2_000 {
            log(&writer, Level::Warn);
        }
        tx.send(writer).unwrap();
    });
    let writer = logged.recv_timeout(Duration::from_secs(20)).unwrap();
    let dropped = writer.dropped();
    assert!(dropped >= 1_000, "only {dropped} lines were dropped");
    drop(blocked);
    writer.flush().unwrap();
    let report = wait_for("a line that reports the dropped lines", async || {
        log(&writer, Level::Warn);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
        let line = text.lines().find(|line| line.contains("log_dropped"))?;
        Some(line.to_owned())
    })
    .await
    .unwrap();
    let report = LogLine::read("log", &report).expect("the line must be readable by explain");
    assert_eq!(report.event, "log_dropped");
    assert!(report.number("lines") > 0, "{report:?}");
}

/// Guards against the loss of the last lines before a process ends.
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
