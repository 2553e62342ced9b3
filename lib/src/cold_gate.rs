//! One sender's share of the requests that a cold backend server bears.
//!
//! A backend server that has just started bears a few requests a second from all senders
//! together and crashes far above that. Senders don't count for each other; each keeps to
//! a share that adds up, also while it is out of touch with all others.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;

/// Part of the rate that is used. The rest covers a sender that others don't know of yet
/// and requests that bunch up on their way.
const USED_PART: f64 = 0.9;

/// Returns the time between two requests of one sender to a cold backend server, or
/// nothing if this sender isn't among those that may send to it.
///
/// With more senders than requests a second, a share is below one request a second, and
/// all senders together could spend theirs in the same moment. So only as many senders
/// as there are requests a second may send, one request a second each; rendezvous hashing
/// picks them.
#[must_use]
pub fn interval(
    backend: ObjectHash,
    own: MemberHash,
    senders: &[MemberHash],
    rate: f64,
) -> Option<Duration> {
    let usable = rate * USED_PART;
    if usable < 1.0 {
        // The rate allows a request every few seconds: one sender takes them all.
        let interval = Duration::try_from_secs_f64(1.0 / usable).ok()?;
        return is_selected(backend, own, senders, 1).then_some(interval);
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = usable as usize;
    let count = senders.len().max(1);
    if count > allowed {
        return is_selected(backend, own, senders, allowed).then_some(Duration::from_secs(1));
    }
    #[expect(clippy::cast_precision_loss)]
    let interval = count as f64 / usable;
    Duration::try_from_secs_f64(interval).ok()
}

fn is_selected(
    backend: ObjectHash,
    own: MemberHash,
    senders: &[MemberHash],
    allowed: usize,
) -> bool {
    let weight = backend.weight(own);
    let heavier = senders
        .iter()
        .filter(|sender| backend.weight(**sender) > weight);
    heavier.count() < allowed
}

/// Spaces one sender's requests to one backend server for as long as it is cold.
///
/// Requests from before it became cold count too: a backend server that becomes cold in the
/// middle of the traffic would otherwise get one from each sender at once, on top of those
/// of the last second.
#[derive(Clone, Copy, Debug)]
pub struct ColdGate {
    opens: Instant,
    last: Option<Instant>,
}

impl ColdGate {
    /// Opens at `opens`: a process that has just started doesn't know what its earlier
    /// life sent within the last second.
    #[must_use]
    pub const fn new(opens: Instant) -> Self {
        Self { opens, last: None }
    }

    /// Returns whether a request may be sent, with `interval` between two.
    #[must_use]
    pub fn is_open(&self, now: Instant, interval: Duration) -> bool {
        now >= self.opens && self.last.is_none_or(|last| now >= last + interval)
    }

    /// Notes that one is sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
