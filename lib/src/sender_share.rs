//! One sender's share of a request rate that all senders of a backend server keep to together.
//!
//! A backend server that is cold, or that declares a limit, accepts a given rate from all senders
//! together. Senders do not share their counts; each keeps to a share such that the sum stays
//! within the rate, even while a sender is cut off from the others.

use std::time::Duration;
use std::time::Instant;

use crate::affinity::MemberHash;
use crate::affinity::ObjectHash;

/// Returns the minimum interval between two requests of this sender, or `None` if this sender must
/// not send, when `senders` divide `rate` requests per second.
///
/// When the shares would be below one request in a `turn`, all senders might spend theirs at the
/// same moment. So only as many senders as requests in a `turn` are allowed, each with one request
/// in that time; rendezvous hashing selects them. If the rate allows less than one request in a
/// `turn`, a single sender takes them all.
#[must_use]
pub fn interval(
    subject: ObjectHash,
    own: MemberHash,
    senders: impl Iterator<Item = MemberHash> + Clone,
    rate: f64,
    turn: Duration,
) -> Option<Duration> {
    let in_turn = rate * turn.as_secs_f64();
    if in_turn < 1.0 {
        let interval = Duration::try_from_secs_f64(1.0 / rate).ok()?;
        return is_selected(subject, own, senders, 1).then_some(interval);
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = in_turn as usize;
    let count = senders.clone().count().max(1);
    if count > allowed {
        return is_selected(subject, own, senders, allowed).then_some(turn);
    }
    #[expect(clippy::cast_precision_loss)]
    let interval = count as f64 / rate;
    Duration::try_from_secs_f64(interval).ok()
}

fn is_selected(
    subject: ObjectHash,
    own: MemberHash,
    senders: impl Iterator<Item = MemberHash>,
    allowed: usize,
) -> bool {
    let weight = subject.weight(own);
    let heavier = senders.filter(|sender| subject.weight(*sender) > weight);
    heavier.count() < allowed
}

/// Spaces one sender's requests to one backend server.
///
/// Requests sent while no rate applies count as well. Otherwise a backend server that becomes cold
/// or limited under traffic would receive one request from each sender at once, on top of those of
/// the last second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendGate {
    /// When the last request was sent, or would have been if each had been sent when it was due.
    last: Option<Instant>,
}

impl SendGate {
    /// Returns whether a request may be sent, given the minimum interval between two requests. One
    /// that follows a request sent late may be sent up to `tolerance` early.
    #[must_use]
    pub fn is_open(&self, now: Instant, interval: Duration, tolerance: Duration) -> bool {
        now >= self.opens_at(now, interval, tolerance)
    }

    /// Returns when the next request may be sent; `now` or earlier if one may be sent now.
    #[must_use]
    pub fn opens_at(&self, now: Instant, interval: Duration, tolerance: Duration) -> Instant {
        let due = self.last.and_then(|last| last.checked_add(interval));
        due.and_then(|due| due.checked_sub(tolerance))
            .unwrap_or(now)
    }

    /// Records that a request is sent, and the interval that applied; zero without one.
    pub fn note_sent(&mut self, now: Instant, interval: Duration) {
        let due = self.last.and_then(|last| last.checked_add(interval));
        self.last = Some(due.map_or(now, |due| due.max(now)));
    }

    /// Delays the next request so that it is not sent before `at`, given the interval.
    pub fn hold_until(&mut self, at: Instant, interval: Duration) {
        let last = at.checked_sub(interval);
        self.last = self.last.max(last);
    }
}
