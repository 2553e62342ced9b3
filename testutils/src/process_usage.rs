//! What a process uses, and lines fitted to such figures.

use std::fmt;
use std::fs;
use std::io;
use std::path::PathBuf;

use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

/// Clock ticks a second in `/proc/PID/stat`, which is fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Tells why a process's use can't be read.
#[derive(Debug, Snafu)]
pub enum UsageError {
    /// Its file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Its file has another form than expected.
    #[snafu(display("{} has no {field}", path.display()))]
    Form {
        /// The file.
        path: PathBuf,
        /// What is missing.
        field: &'static str,
    },
}

/// Returns the processor time that a process has used so far, in seconds.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub fn cpu_seconds(pid: u32) -> Result<f64, UsageError> {
    let path = PathBuf::from(format!("/proc/{pid}/stat"));
    let stat = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    // The command's name, in parentheses, may hold spaces; fields count from behind it.
    let fields = stat.rsplit_once(')').map(|(_, fields)| fields);
    let field = |index| -> Option<f64> { fields?.split_whitespace().nth(index)?.parse().ok() };
    let ticks = field(11).zip(field(12)).map(|(user, system)| user + system);
    let ticks = ticks.context(FormSnafu {
        path,
        field: "processor time",
    })?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the memory that a process has resident, in kilobytes.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub fn rss_kb(pid: u32) -> Result<u64, UsageError> {
    status_kb(pid, "VmRSS")
}

/// Returns the largest memory that a process has had resident so far, in kilobytes.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub fn peak_kb(pid: u32) -> Result<u64, UsageError> {
    status_kb(pid, "VmHWM")
}

fn status_kb(pid: u32, field: &'static str) -> Result<u64, UsageError> {
    let path = PathBuf::from(format!("/proc/{pid}/status"));
    let status = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let mut lines = status.lines().filter_map(|line| line.split_once(':'));
    let value = lines.find(|(name, _)| *name == field);
    value
        .and_then(|(_, value)| value.split_whitespace().next()?.parse().ok())
        .context(FormSnafu { path, field })
}

/// Holds a line through measured points.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Change of y for one of x.
    pub slope: f64,
    /// Value of y at 0.
    pub base: f64,
    /// Largest distance of a point from the line.
    pub worst: f64,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { slope, base, worst } = self;
        write!(f, "{base:.3} + {slope:.5} (largest error {worst:.3})")
    }
}

/// Fits a line to points by least squares.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "a handful of points fits a float's mantissa"
)]
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let distances = points
        .iter()
        .map(|point| (point.1 - base - slope * point.0).abs());
    Line {
        slope,
        base,
        worst: distances.fold(0.0, f64::max),
    }
}
