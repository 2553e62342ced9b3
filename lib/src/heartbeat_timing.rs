//! Times that follow from the interval at which backend servers send heartbeats.

use std::time::Duration;

/// By how much the interval between two heartbeats may exceed the usual one: one of them is a second
/// late.
const MAX_LATENESS: Duration = Duration::from_millis(1_100);

/// Time that a backend server may take to find another replica: a second until it gives up a call to
/// one that is unreachable, and the interval between two reports among replicas. Its next heartbeat
/// is due at its usual time all the while.
const MAX_SWITCH_TIME: Duration = Duration::from_millis(1_400);

/// Time by which a removal from the replicated state follows the loss. It exceeds any network
/// partition after which the same incarnation may return.
const RETENTION: Duration = Duration::from_secs(26);

/// Timeouts for the heartbeats of backend servers. All replicas need the same.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatTiming {
    interval: Duration,
}

impl Default for HeartbeatTiming {
    fn default() -> Self {
        Self::new(Self::DEFAULT_INTERVAL)
    }
}

impl HeartbeatTiming {
    /// Interval if the settings name none.
    pub const DEFAULT_INTERVAL: Duration = Duration::from_millis(1_500);
    /// Shortest interval that settings may name.
    pub const MIN_INTERVAL: Duration = Duration::from_millis(100);
    /// Longest interval that settings may name.
    pub const MAX_INTERVAL: Duration = Duration::from_mins(1);

    /// Creates the timing for heartbeats that arrive about every `interval`.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self { interval }
    }

    /// Returns the time after a heartbeat within which the replica that received it expects the next
    /// one.
    #[must_use]
    pub const fn timeout(self) -> Duration {
        self.interval.saturating_add(MAX_LATENESS)
    }

    /// Returns the time without heartbeats at any replica after which a backend server counts as lost.
    #[must_use]
    pub const fn silence(self) -> Duration {
        self.timeout().saturating_add(MAX_SWITCH_TIME)
    }

    /// Returns the time without heartbeats after which a backend server is removed from the
    /// replicated state.
    #[must_use]
    pub const fn removal(self) -> Duration {
        self.silence().saturating_add(RETENTION)
    }

    /// Returns the time without a heartbeat after which another backend server may reclaim an
    /// address: two intervals.
    #[must_use]
    pub const fn reclaim(self) -> Duration {
        self.interval.saturating_mul(2)
    }

    /// Returns the time after which a connection without heartbeats may be closed.
    #[must_use]
    pub fn idle_connection(self) -> Duration {
        (self.interval * 3).max(Duration::from_secs(30))
    }
}
