//! What a fake backend server does besides serving.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::answer_fault::EarlyAnswer;
use crate::answer_fault::EndlessAnswers;

/// Holds what can be changed while a fake backend server runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// What it says of its load.
    pub load_report: LoadReport,
    /// Share of requests that it refuses on purpose, 0 to 100.
    pub shed_percent: u8,
    /// Time without requests that it asks for when it refuses one, in milliseconds; 0 asks for
    /// none.
    pub pause_ms: u64,
    /// Factor on each service time.
    pub slowness: f64,
    /// Share of answers, refusals too, that it sends once more, 0 to 100. The repeat comes late:
    /// when the next request arrives on the connection, before the answer to it. That request is
    /// handled as usual.
    pub repeat_percent: u8,
    /// Whether a repeat lacks the identifier of its request.
    pub repeat_without_id: bool,
    /// What it writes on new connections before it has read any request.
    pub early_answer: Option<EarlyAnswer>,
    /// Answers that it doesn't end.
    pub endless_answers: Option<EndlessAnswers>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            load_report: LoadReport::Honest,
            shed_percent: 0,
            pause_ms: 0,
            slowness: 1.0,
            repeat_percent: 0,
            repeat_without_id: false,
            early_answer: None,
            endless_answers: None,
        }
    }
}

/// Describes a behaviour that comes and goes, beginning with a time without it.
///
/// It replaces what the server does with requests; the load report stays that of the server's
/// [configuration](crate::fake_backend_server::FakeBackendServerConfig::behaviour).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spell {
    /// What the server does during a spell.
    pub behaviour: Behaviour,
    /// Time before each spell, in milliseconds.
    pub off_ms: u64,
    /// How long each spell lasts, in milliseconds.
    pub on_ms: u64,
}

impl Spell {
    /// Describes a behaviour that lasts.
    #[must_use]
    pub const fn lasting(behaviour: Behaviour) -> Self {
        Self {
            behaviour,
            off_ms: 0,
            on_ms: 1,
        }
    }

    /// Returns whether a spell lasts at this time after the server's start.
    #[must_use]
    pub fn is_on(&self, since_start: Duration) -> bool {
        let cycle_ms = u128::from(self.off_ms + self.on_ms).max(1);
        since_start.as_millis() % cycle_ms >= u128::from(self.off_ms)
    }
}

/// Tells how the load report relates to the truth.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReport {
    /// It is the truth.
    #[default]
    Honest,
    /// It was the truth this long ago.
    Lagging {
        /// Milliseconds.
        ms: u64,
    },
    /// It stays at what was reported last.
    Frozen,
    /// It always says this number of requests in flight.
    Lying {
        /// The number.
        in_flight: u32,
    },
    /// It isn't part of the announcement.
    Absent,
    /// No announcement is sent at all.
    Vanished,
}
