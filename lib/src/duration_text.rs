//! Durations as people write them in settings and on the wire: `1500ms`, `2.5s`.

use std::fmt;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Longest duration that is taken. Anything longer is a slip of the unit, and would
/// overflow sums with the clock.
const LONGEST: Duration = Duration::from_hours(365 * 24);

/// Tells why a text is no duration.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{text:?} is no duration; allowed is a number followed by ms or s"))]
pub struct DurationTextError {
    /// The text.
    pub text: String,
}

/// Holds a duration that is written as a number and its unit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct DurationText(pub Duration);

/// Converts a time to whole milliseconds, rounded down.
#[must_use]
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Reads a number followed by `ms` or `s`.
///
/// # Errors
///
/// Fails if the unit is missing, or the number is negative, not finite or too long.
pub fn parse_duration(text: &str) -> Result<Duration, DurationTextError> {
    let fault = || DurationTextError {
        text: text.to_owned(),
    };
    let (number, unit_seconds) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s').ok_or_else(fault)?, 1.0),
    };
    let number: f64 = number.trim().parse().map_err(|_| fault())?;
    let duration = Duration::try_from_secs_f64(number * unit_seconds).map_err(|_| fault())?;
    if duration > LONGEST {
        return Err(fault());
    }
    Ok(duration)
}

/// Writes a duration in milliseconds.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let micros = duration.as_micros();
    if micros.is_multiple_of(1_000) {
        format!("{}ms", micros / 1_000)
    } else {
        format!("{}ms", duration.as_secs_f64() * 1_000.0)
    }
}

impl TryFrom<String> for DurationText {
    type Error = DurationTextError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        parse_duration(&text).map(Self)
    }
}

impl From<DurationText> for String {
    fn from(duration: DurationText) -> Self {
        format_duration(duration.0)
    }
}

impl fmt::Display for DurationText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_duration(self.0))
    }
}
