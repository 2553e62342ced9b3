//! Detects heads of answers that hold the beginning of another head.
//!
//! A head that breaks off is continued by whatever comes next on its connection. If that is the
//! answer to a request, the HTTP library reads one head of the first one's status and the second
//! one's identifier.

/// The part of a status line that is the same in all versions of HTTP/1.
const VERSION: &[u8] = b"HTTP/1.";

/// Length of the rest of the beginning of a status line: a digit, a space and a status.
const REST: usize = 5;

/// Returns whether `text`, a reason phrase or the value of a header, contains the beginning of a
/// status line.
#[must_use]
pub fn holds_status_line(text: &[u8]) -> bool {
    text.windows(VERSION.len() + REST)
        .filter_map(|part| part.strip_prefix(VERSION))
        .any(|rest| {
            rest[0].is_ascii_digit() && rest[1] == b' ' && rest[2..].iter().all(u8::is_ascii_digit)
        })
}
