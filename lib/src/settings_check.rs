//! Checks of settings that look at more than one field.

use snafu::Snafu;

/// Tells what doesn't fit in settings, and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingsProblem {
    /// A follower would stand for election after too few heartbeats.
    #[snafu(display(
        "election_min_ms is {election_min_ms}; allowed is more than two heartbeats, which are {} ms",
        2 * u64::from(*heartbeat_ms)
    ))]
    ElectionTooShort {
        /// The value.
        election_min_ms: u32,
        /// Time between heartbeats.
        heartbeat_ms: u32,
    },
}
