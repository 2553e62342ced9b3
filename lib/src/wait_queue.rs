//! Requests that wait for a slot.
//!
//! The queue is first in, first out. A request that cannot be answered in time is refused
//! on arrival, so queued requests are expected to be served. Ordering by deadline or last
//! in, first out would gain little, and both refuse requests after a wait, which is late
//! for their callers. Figures are in docs/design/admission.md.

use std::collections::VecDeque;

use crate::admission_event::Offer;
use crate::admission_event::RequestToken;

/// Queue of the requests waiting in one group.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: VecDeque<Offer>,
}

impl WaitQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Appends a request.
    pub fn push(&mut self, offer: Offer) {
        self.waiting.push_back(offer);
    }

    /// Removes a request whose caller is gone.
    pub fn remove(&mut self, token: RequestToken) -> Option<Offer> {
        let position = self.waiting.iter().position(|offer| offer.token == token)?;
        self.waiting.remove(position)
    }

    /// Removes and returns the first request for which `fits` holds.
    pub fn take_first(&mut self, fits: impl FnMut(&Offer) -> bool) -> Option<Offer> {
        let position = self.waiting.iter().position(fits)?;
        self.waiting.remove(position)
    }

    /// Removes and returns all requests for which `keep` does not hold.
    pub fn take_unless(&mut self, mut keep: impl FnMut(&Offer) -> bool) -> Vec<Offer> {
        let (kept, taken): (VecDeque<_>, Vec<_>) = {
            let mut kept = VecDeque::with_capacity(self.waiting.len());
            let mut taken = Vec::new();
            for offer in self.waiting.drain(..) {
                if keep(&offer) {
                    kept.push_back(offer);
                } else {
                    taken.push(offer);
                }
            }
            (kept, taken)
        };
        self.waiting = kept;
        taken
    }
}
