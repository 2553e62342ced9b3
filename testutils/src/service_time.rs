//! How long a fake backend server works on a request.

use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

/// Bounds a drawn service time to this multiple of its middle, so that one draw can't
/// outlast a test.
const LONGEST_FACTOR: f64 = 20.0;

/// Describes the distribution of service times.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceTime {
    /// Always the same.
    Fixed {
        /// Milliseconds.
        ms: f64,
    },
    /// Memoryless.
    Exponential {
        /// Mean in milliseconds.
        mean_ms: f64,
    },
    /// Log-normal: most are near the median, a few are much longer.
    LogNormal {
        /// Median in milliseconds.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// Draws a service time.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        let ms = match *self {
            Self::Fixed { ms } => ms,
            Self::Exponential { mean_ms } => {
                exponential(rng, mean_ms).min(mean_ms * LONGEST_FACTOR)
            }
            Self::LogNormal { median_ms, sigma } => {
                let factor = (sigma * standard_normal(rng)).exp();
                median_ms * factor.min(LONGEST_FACTOR)
            }
        };
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Returns the mean in milliseconds, without the bound on long draws.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        match *self {
            Self::Fixed { ms } => ms,
            Self::Exponential { mean_ms } => mean_ms,
            Self::LogNormal { median_ms, sigma } => median_ms * (sigma * sigma / 2.0).exp(),
        }
    }
}

/// Draws from an exponential distribution with this mean, as for the gaps of a Poisson
/// process.
pub fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

fn standard_normal(rng: &mut impl Rng) -> f64 {
    // Box and Muller (1958).
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}
