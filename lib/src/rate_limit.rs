//! Rate limits that backend servers declare in their answers.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendName;

/// Largest accepted rate. Greater figures say nothing about the capacity of one backend server.
const MAX_RATE: f64 = 1_000_000.0;

/// Rate of requests from all senders together, in requests per second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; `None` unless it is a finite number that is not negative.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self(per_second.clamp(0.0, MAX_RATE)))
    }

    /// Parses a decimal number; `None` for anything else, such as an exponent or `inf`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        if !is_decimal {
            return None;
        }
        Self::new(text.parse().ok()?)
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// What an answer states about the rate limit of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The answer states no limit.
    #[default]
    Absent,
    /// The answer states a limit that is not a valid rate.
    Unreadable,
    /// The limit that holds from now on.
    Limited(RequestRate),
}

impl LimitNotice {
    /// Reads the values of a header, each `None` if it is not text. The smallest valid rate counts
    /// if there are several.
    #[must_use]
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        values.fold(Self::Absent, |notice, value| {
            match (notice, value.and_then(RequestRate::parse)) {
                (Self::Limited(known), Some(rate)) if known <= rate => notice,
                (_, Some(rate)) => Self::Limited(rate),
                (Self::Limited(_), None) => notice,
                (_, None) => Self::Unreadable,
            }
        })
    }
}

/// What is known of the limit of one incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// When the incarnation started.
    pub born: u64,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// When an entry VM received the answer that stated it.
    pub at: Instant,
    /// When the limit was first stated, whatever its figure; without meaning if it has ended.
    pub since: Instant,
}

/// An observation as processes tell it each other. It contains ages instead of times, since the
/// clocks of different VMs are not compared.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitStatement {
    /// Backend server that declared the limit.
    pub backend: BackendName,
    /// When its incarnation started.
    pub born: u64,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time since an entry VM received the answer that stated it, in milliseconds.
    pub age_ms: u32,
    /// Time since the limit was first stated, in milliseconds; 0 if it has ended. Senders select
    /// those of them that have a share by it.
    pub limited_ms: u32,
}

impl LimitObservation {
    /// Returns the observation that a statement received at `now` reports.
    #[must_use]
    pub fn of(now: Instant, statement: &LimitStatement) -> Self {
        Self {
            born: statement.born,
            rate: statement.rate,
            at: before(now, statement.age_ms),
            since: before(now, statement.limited_ms),
        }
    }

    /// Returns the statement that reports the observation at `now`.
    #[must_use]
    pub fn statement(&self, now: Instant, backend: BackendName) -> LimitStatement {
        LimitStatement {
            backend,
            born: self.born,
            rate: self.rate,
            age_ms: ms_since(now, self.at),
            limited_ms: self.rate.map_or(0, |_| ms_since(now, self.since)),
        }
    }
}

fn ms_since(now: Instant, at: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

fn before(now: Instant, ms: u32) -> Instant {
    let passed = Duration::from_millis(ms.into());
    now.checked_sub(passed).unwrap_or(now)
}
