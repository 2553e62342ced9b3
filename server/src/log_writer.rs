//! Log writer that never blocks the process.
//!
//! A dedicated thread writes the lines from a bounded queue. When the reader of the lines stops
//! reading, the queue fills up; further lines are dropped, which a metric and a later line
//! report. If serving threads wrote lines themselves, a stalled reader would stall the process.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::log_rate::LinePriority;
use heatherring_lib::log_rate::LogRateLimiter;
use logforth::Append;
use logforth::Diagnostic;
use logforth::Layout;
use logforth::kv::Key;
use logforth::kv::Value;
use logforth::layout::JsonLayout;
use logforth::record::Level;
use logforth::record::Record;
use logforth::record::RecordBuilder;

use crate::metric;

/// Target of the lines on answered requests, which are dropped first under load.
pub const ROUTINE: &str = "heatherring_server::routine";

/// Capacity of the queue in lines; at 450 bytes a line 115 kB.
const QUEUE_LINES: usize = 256;

/// Largest number of bytes per write, up to the last line.
const BATCH_BYTES: usize = 32 << 10;

/// Stack size of the writing thread. It formats nothing: a layout reads the system's time zone,
/// which takes more than this, and a stack overflow aborts the process.
const STACK_BYTES: usize = 128 << 10;

/// Shortest interval between two lines that report dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a process that ends waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Appends JSON lines to the queue.
pub struct LogWriter {
    layout: JsonLayout,
    clock: Arc<dyn Clock>,
    volume: Mutex<LogVolume>,
    dropped: AtomicU64,
    tx: SyncSender<Message>,
}

/// Holds the rate limiter, and which dropped lines have been reported.
struct LogVolume {
    rate: LogRateLimiter,
    reported: u64,
    /// When the last report was attempted.
    reported_at: Option<Instant>,
}

impl fmt::Debug for LogWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogWriter").finish_non_exhaustive()
    }
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot start a thread.
    pub fn start(out: impl Write + Send + 'static, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(out, &rx))?;
        Ok(Self {
            layout: JsonLayout::default(),
            volume: Mutex::new(LogVolume {
                rate: LogRateLimiter::new(clock.now()),
                reported: 0,
                reported_at: None,
            }),
            clock,
            dropped: AtomicU64::new(0),
            tx,
        })
    }

    /// Returns the number of lines dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn may_write(&self, record: &Record<'_>) -> bool {
        let mut volume = self.volume.lock().unwrap_or_else(PoisonError::into_inner);
        volume.rate.try_take(self.clock.now(), priority(record))
    }

    fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metric::log_line_dropped();
    }

    /// Reports dropped lines, before the first line that is written after them.
    fn report_dropped(&self) -> Result<(), logforth::Error> {
        let mut volume = self.volume.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let dropped = self.dropped();
        let due = volume
            .reported_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if dropped == volume.reported || !due {
            return Ok(());
        }
        volume.reported_at = Some(now);
        let line = self.dropped_line(dropped - volume.reported)?;
        // If the queue is still full, a later line triggers the report.
        if self.tx.try_send(Message::Line(line)).is_ok() {
            volume.reported = dropped;
        }
        Ok(())
    }

    fn dropped_line(&self, count: u64) -> Result<Vec<u8>, logforth::Error> {
        let fields = [
            (Key::new("event"), Value::str("log_dropped")),
            (Key::new("lines"), Value::u64(count)),
        ];
        let record = RecordBuilder::default()
            .level(Level::Warn)
            .target(module_path!())
            .payload(format_args!(
                "dropped log lines: too many at once, or their reader has stalled"
            ))
            .key_values(fields.as_slice())
            .build();
        self.line_of(&record, &[])
    }

    fn line_of(
        &self,
        record: &Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, logforth::Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        Ok(line)
    }
}

fn priority(record: &Record<'_>) -> LinePriority {
    if record.level() >= Level::Warn {
        LinePriority::Alarm
    } else if record.target() == ROUTINE {
        LinePriority::Routine
    } else {
        LinePriority::Notable
    }
}

impl Append for LogWriter {
    fn append(
        &self,
        record: &Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        if !self.may_write(record) {
            self.drop_line();
            return Ok(());
        }
        self.report_dropped()?;
        let line = self.line_of(record, diags)?;
        if self.tx.try_send(Message::Line(line)).is_err() {
            self.drop_line();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        let (tx, rx) = mpsc::sync_channel(1);
        // A full queue means that the reader has stalled, so waiting is of no use.
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines(mut out: impl Write, rx: &Receiver<Message>) {
    while let Ok(first) = rx.recv() {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flushed.push(done),
            }
            next = (batch.len() < BATCH_BYTES)
                .then(|| rx.try_recv().ok())
                .flatten();
        }
        // The reader has gone: dropping the queue counts every later line as dropped.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
        for done in flushed {
            let _ = done.send(());
        }
    }
}
