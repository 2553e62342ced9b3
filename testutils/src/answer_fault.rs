//! Faults of a backend server's answers: what it writes unasked, and what it doesn't end.

use serde::Deserialize;
use serde::Serialize;

/// Describes an answer that a backend server writes on a new connection before it has read any
/// request. What is asked on the connection is then read and handled as usual.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EarlyAnswer {
    /// Share of new connections that begin with it, 0 to 100.
    pub percent: u8,
    /// Time until it is written, in milliseconds.
    pub delay_ms: u64,
    /// What is written.
    pub kind: EarlyAnswerKind,
}

/// Tells what a backend server writes before it has read any request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EarlyAnswerKind {
    /// A refusal that names no request.
    UnnamedRefusal,
    /// A refusal whose identifier is empty.
    EmptyNameRefusal,
    /// A refusal that names another request.
    OtherNameRefusal,
    /// A bare 421 that names no request.
    Misdirected,
    /// A successful answer that names no request.
    UnnamedAnswer,
}

impl EarlyAnswerKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::UnnamedRefusal,
        Self::EmptyNameRefusal,
        Self::OtherNameRefusal,
        Self::Misdirected,
        Self::UnnamedAnswer,
    ];
}

/// Describes answers that a backend server goes on writing, as fast as the connection takes the
/// bytes, until the connection is closed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndlessAnswers {
    /// Share of answers, 0 to 100.
    pub percent: u8,
    /// What has no end.
    pub part: EndlessPart,
    /// Whether that is so of the first such answer only, and each further one takes the part that
    /// follows in [`EndlessPart::ALL`].
    #[serde(default)]
    pub in_turn: bool,
}

/// Tells which part of an answer has no end. Answers to refused requests have it too.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndlessPart {
    /// Its header lines.
    Head,
    /// Interim answers before it.
    Interim,
    /// Its body, of a length that is never reached.
    Body,
    /// The chunks of its body.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// Its trailers.
    Trailers,
    /// The body of a refusal; the request doesn't run.
    RefusalBody,
    /// What follows it.
    Rest,
    /// Bytes that aren't HTTP, in place of it.
    Rubbish,
}

impl EndlessAnswers {
    /// Returns which part of the answer with this number, from 0, has no end.
    #[must_use]
    pub fn part_of(&self, number: usize) -> EndlessPart {
        if !self.in_turn {
            return self.part;
        }
        let parts = EndlessPart::ALL.iter().cycle();
        let mut parts = parts.skip_while(|part| **part != self.part);
        let number = number % EndlessPart::ALL.len();
        parts.nth(number).copied().unwrap_or(self.part)
    }
}

impl EndlessPart {
    /// All parts.
    pub const ALL: [Self; 9] = [
        Self::Head,
        Self::Interim,
        Self::Body,
        Self::Chunks,
        Self::ChunkExtension,
        Self::Trailers,
        Self::RefusalBody,
        Self::Rest,
        Self::Rubbish,
    ];
}
