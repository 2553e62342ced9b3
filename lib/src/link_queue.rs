//! How long what this entry VM sends and gets stands at its own link.
//!
//! All that an entry VM passes on goes over one link, both ways. When more is asked of it than
//! the link carries, as when callers of others that stopped come here too, whatever stands there
//! waits behind everything else: requests, answers, connections. Each caller is late then, and
//! connections to backend servers that have room time out. A request that is turned away at once
//! costs the link a few hundred bytes, and its caller gets its answer from an entry VM with room.
//!
//! The system says nothing of that queue. What tells is the time that a connection to a backend
//! server takes beyond the shortest that one to its region took: it passes the link once each
//! way, and needs nothing of the backend server but to be there. Where one backend server or a
//! region is dark others aren't, so that the shorter ones of the latest few count.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Connections that are looked at.
const LATEST: usize = 8;

/// Connections that tell anything. Fewer may all be to backend servers that went dark together.
const LEAST: usize = 4;

/// Time for which a connection tells of the link: a queue of that length has been sent by then.
const TELLS_FOR: Duration = Duration::from_millis(500);

/// Wait there and back from which on the first requests are turned away. With a new connection
/// a request passes the link six times until its caller has its answer, three times as often as
/// the connection does: a seventh of a second, about a quarter of a usual latency objective.
const BEGINS_AT: f64 = 0.05;

/// Wait at which all but the last share is: three times that is a whole objective.
const FULL_AT: f64 = 0.2;

/// Share of the requests that is turned away at most. What still goes on tells when the link
/// has room again.
const MOST: f64 = 0.9;

/// Follows the link of one entry VM.
#[derive(Debug, Default)]
pub struct LinkQueue {
    latest: VecDeque<(Instant, Duration)>,
    /// Sum of the shares of the requests since one was last turned away.
    due: f64,
}

impl LinkQueue {
    /// Notes by how much a connection took longer than its way; also one that never came.
    pub fn note(&mut self, now: Instant, excess: Duration) {
        if self.latest.len() == LATEST {
            self.latest.pop_front();
        }
        self.latest.push_back((now, excess));
    }

    /// Returns how long the link holds up what passes it there and back.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        let fresh = self
            .latest
            .iter()
            .filter(|(at, _)| now.saturating_duration_since(*at) < TELLS_FOR);
        let mut excesses: Vec<Duration> = fresh.map(|(_, excess)| *excess).collect();
        if excesses.len() < LEAST {
            return Duration::ZERO;
        }
        excesses.sort_unstable();
        excesses[excesses.len() / 4]
    }

    /// Returns whether a request is to be turned away. Requests that may wait for a smaller
    /// `wait_share` of their time give way first. Those turned away are spread evenly over all.
    pub fn turns_away(&mut self, now: Instant, wait_share: f64) -> bool {
        let wait = self.wait(now).as_secs_f64();
        let begins = BEGINS_AT * wait_share;
        let full = FULL_AT * wait_share;
        let share = (wait - begins) / (full - begins);
        self.due += share.clamp(0.0, MOST);
        let turns_away = self.due >= 1.0;
        if turns_away {
            self.due -= 1.0;
        }
        turns_away
    }
}
