//! Logging as JSON lines on standard output, written without blocking the process.

use std::sync::Arc;

use heatherring_lib::clock::SystemClock;
use heatherring_lib::settings::LogLevel;
use heatherring_server::log_writer::LogWriter;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::record::Level;
use logforth::record::LevelFilter;
use snafu::ResultExt;
use snafu::Snafu;

/// Crates whose records follow the level setting. Other libraries log warnings and errors only,
/// since their records may contain parts of requests.
const OWN_CRATES: [&str; 3] = ["heatherring", "heatherring_lib", "heatherring_server"];

/// Reasons for which logging cannot be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The thread that writes the lines cannot be started.
    #[snafu(display("cannot start the log writer's thread: {source}"))]
    Thread {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The process already has a logger.
    #[snafu(display("logging is already set up: {source}"))]
    AlreadySet {
        /// The logging library's error.
        source: logforth::Error,
    },
}

/// Writes log records of `level` and above to standard output, one JSON object per line.
///
/// # Errors
///
/// Fails if the process already has a logger or the writer's thread cannot be started.
pub fn start(level: LogLevel) -> Result<(), LoggingError> {
    let writer = LogWriter::start(std::io::stdout(), Arc::new(SystemClock)).context(ThreadSnafu)?;
    let own_level = LevelFilter::MoreSevereEqual(severity(level));
    let libraries =
        RustLogFilterBuilder::from_spec("").filter_level(LevelFilter::MoreSevereEqual(Level::Warn));
    let filter = OWN_CRATES.iter().fold(libraries, |filter, own_crate| {
        filter.filter_module(*own_crate, own_level)
    });
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter.build()).append(writer))
        .try_apply()
        .context(AlreadySetSnafu)
}

/// Flushes the log; called before the process ends so that the last lines are not lost.
pub fn finish() {
    log::logger().flush();
}

const fn severity(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}
