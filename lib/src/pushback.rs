//! Server pushback: the time for which a backend server asks a sender to send it nothing
//! (`Retry-After`, RFC 9110, 10.2.3).

use std::time::Duration;
use std::time::SystemTime;

/// Longest time that is observed. A backend server that asks for more is sent one request after it,
/// and can ask again.
const MAX_PUSHBACK: Duration = Duration::from_mins(5);

/// What an answer states about when its sender may send further requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PushbackNotice {
    /// The answer states nothing.
    #[default]
    Absent,
    /// The answer states a time that cannot be read.
    Unreadable,
    /// The time for which no request may be sent, from the arrival of the head of the answer.
    For(Duration),
}

impl PushbackNotice {
    /// Returns whether the answer asks for a time without requests.
    #[must_use]
    pub fn is_pause(self) -> bool {
        matches!(self, Self::For(time) if !time.is_zero())
    }

    /// Reads the values of a `Retry-After` header, each `None` if it is not text. The longest
    /// readable time counts if there are several. A time of day is compared with `date`, the time
    /// of the answer by the clock of its sender; without that it cannot be read, since clocks of
    /// different VMs may differ.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>, date: Option<&str>) -> Self {
        let date = date.and_then(|date| httpdate::parse_http_date(date).ok());
        values.fold(Self::Absent, |notice, value| {
            match (notice, value.and_then(|value| parse(value, date))) {
                (Self::For(known), Some(time)) => Self::For(known.max(time)),
                (_, Some(time)) => Self::For(time),
                (Self::For(_), None) => notice,
                (_, None) => Self::Unreadable,
            }
        })
    }
}

fn parse(value: &str, date: Option<SystemTime>) -> Option<Duration> {
    let value = value.trim();
    let time = seconds(value).or_else(|| {
        let until = httpdate::parse_http_date(value).ok()?;
        // A time that has passed asks for nothing.
        Some(until.duration_since(date?).unwrap_or_default())
    })?;
    Some(time.min(MAX_PUSHBACK))
}

/// Parses a decimal number of seconds; `None` for anything else, such as a sign or an exponent.
fn seconds(value: &str) -> Option<Duration> {
    let is_decimal = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if !is_decimal {
        return None;
    }
    let seconds: f64 = value.parse().ok()?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
