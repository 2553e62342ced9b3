//! Bounds the bytes that are read for an answer without anything coming of it.
//!
//! A faulty server may send a head, interim answers or the framing of a body without end. A reader
//! that skips them finds more each time, hands nothing on and looks at no deadline meanwhile. The
//! bound therefore counts bytes, from the request or from the last part of the answer that its
//! receiver took.

/// Which part of an answer is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerPart {
    /// Its head, including interim answers before it.
    Head,
    /// What follows the head.
    Body,
}

impl AnswerPart {
    /// Returns the name of the part in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
        }
    }
}

/// Counts the bytes that were read for an answer.
#[derive(Debug)]
pub struct AnswerBound {
    max: u64,
    part: AnswerPart,
    read: u64,
    /// Bytes read since the request or the last part that was taken.
    since_taken: u64,
}

impl AnswerBound {
    /// Creates a bound of `max` bytes.
    #[must_use]
    pub const fn new(max: u64) -> Self {
        Self {
            max,
            part: AnswerPart::Head,
            read: 0,
            since_taken: 0,
        }
    }

    /// Notes that a request is sent, whose answer is read next.
    pub const fn begin(&mut self) {
        *self = Self::new(self.max);
    }

    /// Notes that bytes were read.
    pub const fn note_read(&mut self, bytes: u64) {
        self.read = self.read.saturating_add(bytes);
        self.since_taken = self.since_taken.saturating_add(bytes);
    }

    /// Notes that the receiver took the head or a part of the body.
    pub const fn note_taken(&mut self) {
        self.part = AnswerPart::Body;
        self.since_taken = 0;
    }

    /// Returns how many bytes may be read before the receiver has to take something; 0 if the
    /// answer does not end.
    #[must_use]
    pub const fn allowed(&self) -> u64 {
        self.max.saturating_sub(self.since_taken)
    }

    /// Returns the number of bytes that were read since the request.
    #[must_use]
    pub const fn read(&self) -> u64 {
        self.read
    }

    /// Returns the part that is read.
    #[must_use]
    pub const fn part(&self) -> AnswerPart {
        self.part
    }
}
