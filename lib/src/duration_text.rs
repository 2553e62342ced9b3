//! Durations in the textual form of settings and the wire: `1500ms`, `2.5s`.

use std::fmt;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Longest duration that is accepted. A longer one most likely has the wrong unit, and adding it
/// to the clock's time would overflow.
pub const MAX_DURATION: Duration = Duration::from_hours(365 * 24);

/// The text is not a duration, or the duration exceeds 365 days.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "{text:?} is not a duration; allowed is a number followed by ms or s, up to 365 days"
))]
pub struct DurationTextError {
    /// The text that could not be parsed.
    pub text: String,
}

/// A duration that is serialized as a number followed by its unit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct DurationText(pub Duration);

/// Converts a duration to whole milliseconds, rounded down; at most [`u64::MAX`].
#[must_use]
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Parses a number followed by `ms` or `s`.
///
/// # Errors
///
/// Fails if the unit is missing, if the number is negative or not finite, or if the duration
/// exceeds 365 days.
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
    if duration > MAX_DURATION {
        return Err(fault());
    }
    Ok(duration)
}

/// Formats a duration in milliseconds, with decimals if it is not a whole number of them.
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
