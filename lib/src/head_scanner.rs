//! Detects how the heads of a connection's requests frame their bodies.
//!
//! The HTTP library decides where a request ends. If a request has both a content length and a
//! transfer encoding, the library keeps only the encoding, so the conflict is visible only in the
//! raw bytes. The bytes are passed to the library in pieces that end after each empty line and
//! after each body whose length the library has parsed: wherever the library may find the end of a
//! head, a piece ends. The bytes of each head are therefore known although only the library
//! determines where it ends.

use crate::line_start::LineStart;

/// Number of leading bytes of a line that are kept: the longest field name searched for, and its
/// colon.
const LINE_START_LEN: usize = 18;

/// How a request declares the end of its body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum HeadFraming {
    /// By a length, by chunked encoding or not at all.
    Plain,
    /// By both a length and a transfer encoding. An intermediary or backend server may use the
    /// other one and see a different request in the same bytes (request smuggling).
    LengthAndEncoding,
    /// The library accepted a head that does not end where a piece ends, so its bytes are unknown.
    Unknown,
}

/// Scans the bytes passed to a connection's parser and records how the current head frames its
/// body.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    /// Remaining bytes of a body of known length.
    body_left: u64,
    line: LineStart<LINE_START_LEN>,
    has_length: bool,
    has_encoding: bool,
    /// Whether the last line passed on was empty.
    at_end: bool,
}

impl HeadScanner {
    /// Returns how many of the next `bytes` to pass to the parser in one piece.
    pub fn next_piece(&mut self, bytes: &[u8]) -> usize {
        if self.body_left > 0 {
            let left = usize::try_from(self.body_left).unwrap_or(usize::MAX);
            let taken = bytes.len().min(left);
            self.body_left -= taken as u64;
            return taken;
        }
        if !bytes.is_empty() && self.at_end {
            *self = Self::default();
        }
        let mut taken = 0;
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            taken += part.len();
            self.line.push(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
            if self.at_end {
                break;
            }
        }
        taken
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        self.has_length |= line.begins_with(b"content-length:");
        self.has_encoding |= line.begins_with(b"transfer-encoding:");
        self.at_end = line.is_empty();
    }

    /// Returns the framing of the head that the parser has just accepted. `body_length` is the
    /// length that the parser derived; `None` for a chunked body.
    pub fn finish_head(&mut self, body_length: Option<u64>) -> HeadFraming {
        if !self.at_end || self.body_left > 0 {
            return HeadFraming::Unknown;
        }
        self.body_left = body_length.unwrap_or(0);
        if self.has_length && self.has_encoding {
            HeadFraming::LengthAndEncoding
        } else {
            HeadFraming::Plain
        }
    }
}
