//! Decides from the head of an answer whether it can be acted on, and where its body ends.
//!
//! The HTTP library guesses where a head contradicts itself: behind a transfer encoding that it
//! does not know it reads on to the end of the connection, and of a length beside an encoding it
//! drops the length (RFC 9112, 6.3). Acting on such a guess could pass a body on that its backend
//! server did not write, so a head that permits more than one reading is no answer.

use crate::content_length;

/// Status of an answer after which its caller resets what it shows. It has no content.
const RESET_CONTENT: u16 = 205;

/// What is read of the head of an answer. Of each header there is an item for each of its lines;
/// `None` stands for one that is not text.
#[derive(Clone, Debug)]
pub struct AnswerHead<I> {
    /// Status code, any that the HTTP library accepts.
    pub status: u16,
    /// Whether the answer is one to `HEAD`.
    pub is_to_head: bool,
    /// Whether its version of HTTP closes connections unless the head says otherwise.
    pub is_http_1_0: bool,
    /// `Content-Length`.
    pub lengths: I,
    /// `Transfer-Encoding`.
    pub encodings: I,
    /// `Connection`.
    pub connection: I,
}

/// Where the body of an answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// At once: there is none.
    NoBody,
    /// After this number of bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection, as the head announces.
    Close,
}

/// Why an answer cannot be acted on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// Its status is that of no final answer. An upgrade was not asked for, and above 599 there
    /// is no class of statuses (RFC 9110, 15).
    Status,
    /// Its length is no number, or several that differ.
    Length,
    /// Its transfer encoding is another one than `chunked` alone. No other was asked for.
    Encoding,
    /// It has both a length and a transfer encoding (RFC 9112, 6.1).
    LengthAndEncoding,
    /// Nothing tells where its body ends: it has neither a length nor a transfer encoding, and does
    /// not announce that its connection is closed behind it (RFC 9112, 9.6).
    NoEnd,
    /// It has content, which its status forbids (RFC 9110, 15.3.6).
    Content,
    /// Bytes that begin no other answer follow its end, so that its length was wrong.
    Excess,
}

impl AnswerFault {
    /// All faults.
    pub const ALL: [Self; 7] = [
        Self::Status,
        Self::Length,
        Self::Encoding,
        Self::LengthAndEncoding,
        Self::NoEnd,
        Self::Content,
        Self::Excess,
    ];

    /// Returns the name of the fault in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Status => "status",
            Self::Length => "length",
            Self::Encoding => "encoding",
            Self::LengthAndEncoding => "length_and_encoding",
            Self::NoEnd => "no_end",
            Self::Content => "content",
            Self::Excess => "excess",
        }
    }
}

impl<'a, I: Iterator<Item = Option<&'a str>>> AnswerHead<I> {
    /// Returns where the body of the answer ends. All fields are checked also where the answer
    /// has no body, because they are passed on.
    ///
    /// # Errors
    ///
    /// Fails if the head permits no answer, or more than one reading.
    pub fn framing(self) -> Result<Framing, AnswerFault> {
        if !(200..=599).contains(&self.status) {
            return Err(AnswerFault::Status);
        }
        let length = single_length(self.lengths)?;
        let is_chunked = is_chunked(self.encodings)?;
        if length.is_some() && is_chunked {
            return Err(AnswerFault::LengthAndEncoding);
        }
        if self.is_to_head || matches!(self.status, 204 | 304) {
            return Ok(Framing::NoBody);
        }
        match length {
            Some(1..) if self.status == RESET_CONTENT => Err(AnswerFault::Content),
            Some(length) => Ok(Framing::Length(length)),
            None if is_chunked => Ok(Framing::Chunked),
            None if announces_close(self.connection, self.is_http_1_0) => Ok(Framing::Close),
            None => Err(AnswerFault::NoEnd),
        }
    }
}

/// Returns whether an answer with this status must not have content, although its head can frame
/// some (RFC 9110, 15.3.6).
#[must_use]
pub const fn forbids_content(status: u16) -> bool {
    status == RESET_CONTENT
}

/// Returns the length that all lines and list items agree on (RFC 9110, 8.6); `None` without one.
fn single_length<'a>(
    lines: impl Iterator<Item = Option<&'a str>>,
) -> Result<Option<u64>, AnswerFault> {
    let mut agreed = None;
    for line in lines {
        for item in line.ok_or(AnswerFault::Length)?.split(',') {
            let length = content_length::parse(item).ok_or(AnswerFault::Length)?;
            if agreed.is_some_and(|agreed| agreed != length) {
                return Err(AnswerFault::Length);
            }
            agreed = Some(length);
        }
    }
    Ok(agreed)
}

fn is_chunked<'a>(mut lines: impl Iterator<Item = Option<&'a str>>) -> Result<bool, AnswerFault> {
    let Some(line) = lines.next() else {
        return Ok(false);
    };
    let is_only = lines.next().is_none();
    let is_chunked = line.is_some_and(|line| line.trim().eq_ignore_ascii_case("chunked"));
    if is_only && is_chunked {
        Ok(true)
    } else {
        Err(AnswerFault::Encoding)
    }
}

fn announces_close<'a>(lines: impl Iterator<Item = Option<&'a str>>, is_http_1_0: bool) -> bool {
    let mut is_kept = !is_http_1_0;
    for option in lines.flatten().flat_map(|line| line.split(',')) {
        let option = option.trim();
        if option.eq_ignore_ascii_case("close") {
            return true;
        }
        is_kept |= option.eq_ignore_ascii_case("keep-alive");
    }
    !is_kept
}
