//! A process that a test starts, stops, freezes and kills.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::getrlimit;
use rustix::process::kill_process;
use rustix::process::prlimit;
use snafu::ResultExt;
use snafu::Snafu;

/// Runs a program that gets an error, instead of a signal, where it exceeds a limit on files.
const IGNORE_SIGNAL_AND_RUN: &str = r#"trap '' XFSZ; exec "$0" "$@""#;

const POLL: Duration = Duration::from_millis(20);
/// Lines of a log that are shown when a test fails.
const SHOWN_LINES: usize = 60;

/// Tells why a process can't be handled.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// It doesn't start.
    #[snafu(display("can't start {}: {source}", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Its log can't be created.
    #[snafu(display("can't create the log {}: {source}", path.display()))]
    Log {
        /// The log.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A signal can't be sent to it.
    #[snafu(display("can't signal {name}: {source}"))]
    Signal {
        /// The process.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The size of its files can't be limited.
    #[snafu(display("can't limit the files of {name}: {source}"))]
    Limit {
        /// The process.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// It doesn't end.
    #[snafu(display("{name} didn't end within {bound:?}"))]
    StillRuns {
        /// The process.
        name: String,
        /// The bound.
        bound: Duration,
    },
}

/// Holds a running process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    /// Copies the output to the log, unless the process writes there itself.
    copying: Option<JoinHandle<io::Result<u64>>>,
}

impl Process {
    /// Starts `program` and appends its output to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[&str],
        log: &Path,
    ) -> Result<Self, ProcessError> {
        let file = File::options().create(true).append(true).open(log);
        let file = file.context(LogSnafu { path: log })?;
        let errors = file.try_clone().context(LogSnafu { path: log })?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .context(StartSnafu { program })?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log: log.to_owned(),
            copying: None,
        })
    }

    /// Starts `program` as [`Self::start`] does, so that [`Self::fill_disk`] may be called.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_fillable(
        name: &str,
        program: &Path,
        arguments: &[&str],
        log: &Path,
    ) -> Result<Self, ProcessError> {
        let file = File::options().create(true).append(true).open(log);
        let mut file = file.context(LogSnafu { path: log })?;
        // The limit on files holds for a log file too, but not for a pipe.
        let (mut reader, writer) = io::pipe().context(LogSnafu { path: log })?;
        let errors = writer.try_clone().context(LogSnafu { path: log })?;
        let child = Command::new("sh")
            .args(["-c", IGNORE_SIGNAL_AND_RUN])
            .arg(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(writer)
            .stderr(errors)
            .spawn()
            .context(StartSnafu { program })?;
        let copying = std::thread::spawn(move || io::copy(&mut reader, &mut file));
        Ok(Self {
            name: name.to_owned(),
            child,
            log: log.to_owned(),
            copying: Some(copying),
        })
    }

    /// Lets every write of the process to a file fail for want of room.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn fill_disk(&self) -> Result<(), ProcessError> {
        self.limit_files(Some(0))
    }

    /// Ends the effect of [`Self::fill_disk`].
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn free_disk(&self) -> Result<(), ProcessError> {
        self.limit_files(getrlimit(Resource::Fsize).maximum)
    }

    fn limit_files(&self, bytes: Option<u64>) -> Result<(), ProcessError> {
        let limit = Rlimit {
            current: bytes,
            maximum: getrlimit(Resource::Fsize).maximum,
        };
        let limited = prlimit(Some(Pid::from_child(&self.child)), Resource::Fsize, limit);
        let limited = limited.map_err(io::Error::from);
        limited.map(|_| ()).context(LimitSnafu { name: &self.name })
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the process's identifier.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the process's log.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Kills the process at once, as a crash does.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        self.child
            .kill()
            .context(SignalSnafu { name: &self.name })?;
        let _ = self.child.wait();
        self.finish_log();
        Ok(())
    }

    /// Waits until the log holds all output of the process, which has ended.
    fn finish_log(&mut self) {
        if let Some(copying) = self.copying.take() {
            // A log that can't be written shows by what it lacks.
            let _ = copying.join();
        }
    }

    /// Asks the process to shut down gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Stops the process in its tracks; it doesn't notice.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be signalled.
    pub fn thaw(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if it still runs after `bound`.
    pub async fn wait(&mut self, bound: Duration) -> Result<ExitStatus, ProcessError> {
        let begun = tokio::time::Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.finish_log();
                return Ok(status);
            }
            if begun.elapsed() > bound {
                return StillRunsSnafu {
                    name: &self.name,
                    bound,
                }
                .fail();
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        // A child that wasn't waited for keeps its process id, so the signal can't
        // reach a stranger that was given the same number.
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(io::Error::from)
            .context(SignalSnafu { name: &self.name })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.finish_log();
        if std::thread::panicking() {
            show_log(&self.name, &self.log);
        }
    }
}

fn show_log(name: &str, log: &Path) {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    eprintln!("--- {name}: last lines of its log");
    for line in &lines[lines.len().saturating_sub(SHOWN_LINES)..] {
        eprintln!("{line}");
    }
}
