//! Pairs answers with requests.
//!
//! Requests follow each other on a connection to a backend server, and a faulty backend server may
//! send an answer late or twice. The position of an answer on its connection therefore does not
//! tell which request it belongs to; the identifier that it echoes does.

/// Identifier of a request that an answer echoes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EchoedId<'a> {
    /// The answer echoes none, or an empty one.
    Absent,
    /// The answer echoes this identifier, once or several times.
    One(&'a str),
    /// The answer echoes different identifiers, or one that is not text.
    Ambiguous,
}

impl<'a> EchoedId<'a> {
    /// Reads the values of the header that echoes the identifier; `None` stands for a value that
    /// is not text.
    #[must_use]
    pub fn read(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let mut echoed = Self::Absent;
        for value in values {
            echoed = match (echoed, value) {
                (_, None) | (Self::Ambiguous, _) => Self::Ambiguous,
                (_, Some("")) => echoed,
                (Self::Absent, Some(id)) => Self::One(id),
                (Self::One(known), Some(id)) if known == id => echoed,
                (Self::One(_), Some(_)) => Self::Ambiguous,
            };
        }
        echoed
    }

    /// Compares the identifier with that of the request that waits for an answer.
    #[must_use]
    pub fn compare(self, request_id: Option<&str>) -> EchoMatch {
        match self {
            Self::Absent => EchoMatch::Absent,
            Self::One(echoed) if Some(echoed) == request_id => EchoMatch::Same,
            Self::One(_) => EchoMatch::Other,
            Self::Ambiguous => EchoMatch::Ambiguous,
        }
    }
}

/// How the identifier that an answer echoes relates to the request that waits for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EchoMatch {
    /// The answer names the request.
    Same,
    /// The answer names no request.
    Absent,
    /// The answer names another request.
    Other,
    /// It is unclear which request the answer names.
    Ambiguous,
}

impl EchoMatch {
    /// Returns the name of the relation in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Absent => "absent",
            Self::Other => "other",
            Self::Ambiguous => "ambiguous",
        }
    }
}
