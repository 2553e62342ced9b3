//! Requests that wait for a slot.
//!
//! The order is first in, first out. What could not be answered in time is refused when
//! it arrives, so what waits is expected to be served; that leaves little for an order by
//! deadline or last in, first out to gain, and a refusal after a wait, which both bring,
//! comes late for its caller. Figures are in docs/design/admission.md.

use std::collections::VecDeque;

use crate::admission_event::Offer;
use crate::admission_event::RequestToken;

/// Holds the requests that wait at one group.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: VecDeque<Offer>,
}

impl WaitQueue {
    /// Returns how many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Puts a request at the end.
    pub fn push(&mut self, offer: Offer) {
        self.waiting.push_back(offer);
    }

    /// Takes a request out whose caller is gone.
    pub fn remove(&mut self, token: RequestToken) -> Option<Offer> {
        let position = self.waiting.iter().position(|offer| offer.token == token)?;
        self.waiting.remove(position)
    }

    /// Takes out the first request that `fits`.
    pub fn take_first(&mut self, fits: impl FnMut(&Offer) -> bool) -> Option<Offer> {
        let position = self.waiting.iter().position(fits)?;
        self.waiting.remove(position)
    }

    /// Takes out all requests for which `keep` doesn't hold.
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
