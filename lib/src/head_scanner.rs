//! What the heads of a connection's requests say of where their bodies end.
//!
//! The HTTP library decides where a request ends. Of one that announces a length and chunks
//! it keeps the chunks alone, so whether both were there can be seen only in the bytes. These
//! are handed to it in pieces, cut behind each empty line and behind each body whose length it
//! has read: wherever it may find the end of a head, a piece ends. Thus the bytes of a head are
//! known although nothing but the library finds its end.

/// Bytes of a line that are looked at: the longest name that is looked for, and its colon.
const LOOKED_AT: usize = 18;

/// Says how the end of a request's body is announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum HeadFraming {
    /// By a length, by chunks or not at all.
    Plain,
    /// By a length and by an encoding. Whoever stands before or behind may go by the other one,
    /// and see another request in the same bytes.
    LengthAndEncoding,
    /// The library took a head that doesn't end where a piece ends: its bytes aren't known.
    Unknown,
}

/// Follows what a connection's parser is handed, and remembers what it may yet ask about.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    /// Bytes to come of a body whose length is known.
    body_left: u64,
    line: LineStart,
    has_length: bool,
    has_encoding: bool,
    /// Whether an empty line was the last that was handed on.
    at_end: bool,
}

impl HeadScanner {
    /// Returns how many of `bytes`, which come next, are to be handed on in one piece.
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
        self.has_length |= line.is_field(b"content-length:");
        self.has_encoding |= line.is_field(b"transfer-encoding:");
        self.at_end = line.is_empty();
    }

    /// Says what the head says that the parser has just taken. `body_length` is what it makes
    /// of it: nothing if there are chunks.
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

/// Holds the first bytes of a line.
#[derive(Clone, Copy, Debug, Default)]
struct LineStart {
    bytes: [u8; LOOKED_AT],
    length: usize,
}

impl LineStart {
    fn push(&mut self, part: &[u8]) {
        let room = &mut self.bytes[self.length..];
        let taken = part.len().min(room.len());
        room[..taken].copy_from_slice(&part[..taken]);
        self.length += taken;
    }

    fn bytes(&self) -> &[u8] {
        &self.bytes[..self.length]
    }

    fn is_empty(&self) -> bool {
        matches!(self.bytes(), b"\n" | b"\r\n")
    }

    fn is_field(&self, name: &[u8]) -> bool {
        let start = self.bytes().get(..name.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(name))
    }
}
