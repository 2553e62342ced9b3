//! Rate limit of one sender's requests to a cold backend server.
//!
//! A backend server that has just started can handle only a few requests a second from all
//! senders together, and crashes far above that rate. Senders do not share their counts; each
//! keeps to a share of the rate such that the sum stays within the limit, even while a sender
//! is cut off from the others.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;

/// Share of the rate that is used. The rest covers senders that the others do not know yet, and
/// requests that arrive bunched together after network delays.
const USED_PART: f64 = 0.9;

/// Returns the minimum interval between two requests of this sender to a cold backend server,
/// or `None` if this sender must not send to it.
///
/// When there are more senders than requests a second, each share is below one request a
/// second, and all senders might spend theirs at the same moment. So only as many senders as
/// requests a second are allowed, each with one request a second; rendezvous hashing selects
/// them.
#[must_use]
pub fn interval(
    backend: ObjectHash,
    own: MemberHash,
    senders: &[MemberHash],
    rate: f64,
) -> Option<Duration> {
    let usable = rate * USED_PART;
    if usable < 1.0 {
        // The rate allows one request every few seconds: a single sender takes them all.
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

/// Spaces one sender's requests to one backend server while it is cold.
///
/// Requests sent before the server became cold count as well. Otherwise a backend server that
/// becomes cold under traffic would receive one request from each sender at once, on top of the
/// requests of the last second.
#[derive(Clone, Copy, Debug)]
pub struct ColdGate {
    opens: Instant,
    last: Option<Instant>,
}

impl ColdGate {
    /// Creates a gate that stays closed until `opens`: a process that has just started does not
    /// know what its predecessor sent within the last second.
    #[must_use]
    pub const fn new(opens: Instant) -> Self {
        Self { opens, last: None }
    }

    /// Returns whether a request may be sent, given the minimum interval between two requests.
    #[must_use]
    pub fn is_open(&self, now: Instant, interval: Duration) -> bool {
        now >= self.opens && self.last.is_none_or(|last| now >= last + interval)
    }

    /// Records that a request is sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
