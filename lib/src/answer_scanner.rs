//! Detects bytes that follow the end of an answer.
//!
//! A length that is too small cuts a body short, and the answer looks whole all the same. The HTTP
//! library leaves the rest unread or closes the connection on it, and tells nobody. Here the bytes
//! of an answer are followed as they are passed to the library. What arrives after the answer has
//! been passed on cannot be noticed.

use crate::content_length;
use crate::line_start::LineStart;

/// Number of leading bytes of a line that are kept: a field name, its value and some blanks.
const KEPT_BYTES: usize = 64;

/// Name of the field with the length of the body.
const LENGTH_NAME: &[u8] = b"content-length:";

/// First bytes of the status line of another answer.
const ANSWER_BEGIN: &[u8] = b"HTTP/";

/// Follows the bytes of one answer.
#[derive(Clone, Debug)]
pub struct AnswerScanner {
    part: Part,
    line: LineStart<KEPT_BYTES>,
    /// Whether the answer is one to `HEAD`.
    is_to_head: bool,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// The lines before a status line.
    Start,
    /// The fields of an interim answer.
    Interim,
    /// The fields of the answer.
    Fields {
        /// Whether its status permits a body.
        has_body: bool,
        length: Option<u64>,
    },
    Body {
        left: u64,
    },
    /// What follows the body.
    After(LineStart<{ ANSWER_BEGIN.len() }>),
    /// A body without a known length, or what follows an answer without a body. Neither is checked.
    Untracked,
}

impl AnswerScanner {
    /// Begins an answer; `is_to_head` tells whether the request's method was `HEAD`.
    #[must_use]
    pub fn new(is_to_head: bool) -> Self {
        Self {
            part: Part::Start,
            line: LineStart::default(),
            is_to_head,
        }
    }

    /// Follows the next bytes that were read.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let taken = match &mut self.part {
                Part::Start | Part::Interim | Part::Fields { .. } => self.push_line(bytes),
                Part::Body { left } => {
                    let taken = bytes
                        .len()
                        .min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= taken as u64;
                    if *left == 0 {
                        self.part = Part::After(LineStart::default());
                    }
                    taken
                }
                Part::After(begin) => {
                    begin.push(bytes);
                    bytes.len()
                }
                Part::Untracked => bytes.len(),
            };
            bytes = &bytes[taken..];
        }
    }

    /// Returns whether bytes that belong to no answer follow the end of this one. Those of another
    /// answer do not count: it belongs to no request, and leaves this one whole.
    #[must_use]
    pub fn has_excess(&self) -> bool {
        match &self.part {
            Part::After(begin) => !ANSWER_BEGIN.starts_with(begin.bytes()),
            _ => false,
        }
    }

    /// Takes bytes up to the end of a line of a head, and returns their number.
    fn push_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let taken = end.map_or(bytes.len(), |end| end + 1);
        self.line.push(&bytes[..taken]);
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.end_line(&line);
        }
        taken
    }

    fn end_line(&mut self, line: &LineStart<KEPT_BYTES>) {
        self.part = match self.part {
            Part::Start | Part::Interim if line.is_empty() => Part::Start,
            Part::Start => self.part_after_status(line),
            Part::Fields { has_body, length } if line.is_empty() => match length {
                Some(0) if has_body => Part::After(LineStart::default()),
                Some(left) if has_body => Part::Body { left },
                _ => Part::Untracked,
            },
            Part::Fields { has_body, .. } if line.begins_with(LENGTH_NAME) => Part::Fields {
                has_body,
                length: length(line),
            },
            part => part,
        };
    }

    fn part_after_status(&self, line: &LineStart<KEPT_BYTES>) -> Part {
        let status = line.bytes().split(|byte| *byte == b' ').nth(1);
        match status {
            Some([b'1', b'0', b'1', ..]) | None => Part::Untracked,
            Some([b'1', ..]) => Part::Interim,
            Some(status) => Part::Fields {
                has_body: !self.is_to_head
                    && !status.starts_with(b"204")
                    && !status.starts_with(b"304"),
                length: None,
            },
        }
    }
}

/// Reads the length that a line gives; `None` if it is no number or the line was too long to keep.
fn length(line: &LineStart<KEPT_BYTES>) -> Option<u64> {
    let line = std::str::from_utf8(line.whole()?).ok()?;
    let (_, value) = line.split_once(':')?;
    // Several values agree, or there is no answer.
    content_length::parse(value.split(',').next()?)
}
