//! Formats wall-clock times for people.

use jiff::Timestamp;

/// Formats milliseconds since the Unix epoch as UTC, as in `2026-12-02T17:48:54.5Z`; as a plain
/// number of milliseconds if it is out of range.
pub fn wall_text(unix_ms: u64) -> String {
    let timestamp = i64::try_from(unix_ms)
        .ok()
        .and_then(|ms| Timestamp::from_millisecond(ms).ok());
    timestamp.map_or_else(
        || format!("{unix_ms} ms"),
        |timestamp| timestamp.to_string(),
    )
}
