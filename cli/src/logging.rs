//! Logging: JSON lines on standard output, which never hold the process up.

use std::sync::Arc;

use heatherring_lib::clock::SystemClock;
use heatherring_lib::settings::LogLevel;
use heatherring_server::log_writer::LogWriter;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::record::Level;
use logforth::record::LevelFilter;
use snafu::ResultExt;
use snafu::Snafu;

/// Crates whose records follow the level setting; the libraries' own records are kept
/// to warnings, since they may hold parts of requests.
const OWN_CRATES: [&str; 3] = ["heatherring", "heatherring_lib", "heatherring_server"];

/// Tells why logging couldn't be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The system gives no thread to write the lines.
    #[snafu(display("no thread for the log: {source}"))]
    Thread {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The process has a logger already.
    #[snafu(display("logging was set up twice: {source}"))]
    Twice {
        /// What the library said.
        source: logforth::Error,
    },
}

/// Sends log records of `level` and above to standard output, one JSON object a line.
///
/// # Errors
///
/// Fails if the process has a logger already, or the system gives no thread.
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
        .context(TwiceSnafu)
}

/// Waits a moment until the last lines are written, before the process ends.
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
