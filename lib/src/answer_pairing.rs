//! Pairs answers with requests.
//!
//! Requests follow each other on a connection to a backend server, and a faulty backend server may
//! send an answer late, twice, or before it has read a request. The position of an answer on its
//! connection therefore does not prove which request it belongs to; the identifier that it echoes
//! does.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

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

/// Whether backend servers echo the identifier of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EchoPolicy {
    /// All their answers echo it.
    Always,
    /// Some backend servers echo none.
    Optional,
}

impl EchoPolicy {
    /// Returns the stricter of two policies.
    #[must_use]
    pub const fn strictest(self, other: Self) -> Self {
        match (self, other) {
            (Self::Optional, Self::Optional) => Self::Optional,
            _ => Self::Always,
        }
    }
}

/// What shows that an answer belongs to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pairing {
    /// The answer names the request.
    Named,
    /// The answer names no request that could be told from this one, and no other request was sent
    /// on the connection. It may have been written before the request was read, so it proves nothing
    /// about whether that was run.
    Positional,
}

/// A request that was sent on a connection and waits for its answer.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// The identifier of the request; `None` without one, or if it has several.
    pub id: Option<&'a str>,
    /// Whether the connection carried no other request before.
    pub is_first: bool,
    /// Whether an answer may lack the identifier.
    pub echo_policy: EchoPolicy,
}

impl SentRequest<'_> {
    /// Returns what shows that an answer that echoes this identifier belongs to the request; `None`
    /// if the answer does not belong to it.
    #[must_use]
    pub fn pairing(&self, echoed: EchoedId<'_>) -> Option<Pairing> {
        let is_tellable = self.id.is_some();
        let belongs_by_position = match echoed.compare(self.id) {
            EchoMatch::Same => return Some(Pairing::Named),
            EchoMatch::Absent => !is_tellable || self.echo_policy == EchoPolicy::Optional,
            EchoMatch::Other | EchoMatch::Ambiguous => !is_tellable,
        };
        (self.is_first && belongs_by_position).then_some(Pairing::Positional)
    }
}

/// Number of requests that a connection carries; 1 KiB of hashes.
pub const MAX_CARRIED_REQUESTS: usize = 128;

/// Remembers the requests that a connection carried.
///
/// A request that is sent twice on one connection, or whose identifier a caller uses again, cannot
/// be told from its predecessor: a late answer to the first would be taken for that to the second.
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    hashes: Vec<IdHash>,
}

impl CarriedRequests {
    /// Records that a request with the identifier `id` is sent.
    pub fn note(&mut self, id: IdHash) {
        self.hashes.push(id);
    }

    /// Returns whether a request with the identifier `id` was sent. Rarely also true for another
    /// identifier with the same hash.
    #[must_use]
    pub fn contains(&self, id: IdHash) -> bool {
        self.hashes.contains(&id)
    }

    /// Returns whether the connection must not carry another request: it would have to forget one.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_CARRIED_REQUESTS
    }
}

/// Hash of the identifier of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdHash(u64);

impl IdHash {
    /// Returns the hash of `id`.
    #[must_use]
    pub fn of(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Time after an answer that named its request for which the backend server's answers are expected
/// to name theirs.
pub const ECHO_MEMORY: Duration = Duration::from_mins(1);

/// Remembers that a backend server echoes the identifiers of requests.
#[derive(Clone, Copy, Debug)]
pub struct EchoRecord {
    /// When an answer named its request last.
    latest: Instant,
}

impl EchoRecord {
    /// Records an answer that named its request.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { latest: now }
    }

    /// Returns whether an answer may lack the identifier again: the address may belong to another
    /// backend server by now.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.latest) >= ECHO_MEMORY
    }
}

/// Time after a mismatched answer for which connections to its backend server are not kept. One
/// that goes on sending such answers then spoils no further requests.
pub const SINGLE_USE_TIME: Duration = Duration::from_secs(5);

/// Decides whether connections to a backend server are kept for further requests.
#[derive(Clone, Copy, Debug)]
pub struct MismatchRecord {
    /// When an answer arrived last that did not belong to the request that waited.
    latest: Instant,
}

impl MismatchRecord {
    /// Records a mismatched answer.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { latest: now }
    }

    /// Returns whether connections to the backend server are kept again.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.latest) >= SINGLE_USE_TIME
    }
}
