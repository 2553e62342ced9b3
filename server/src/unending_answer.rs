//! Log line and counter of answers that do not end.

use std::time::Duration;

use heatherring_lib::duration_text::whole_ms;

use crate::metric;

/// An answer that was ended before it was complete, because of its bytes or its deadline.
#[derive(Debug)]
pub(crate) struct UnendingAnswer<'a> {
    /// The part that did not end, or `unread` if its receiver did not take what had arrived.
    pub(crate) part: &'static str,
    /// The identifier of the request; empty if it has none.
    pub(crate) request_id: &'a str,
    /// The address of the sender.
    pub(crate) sender: &'a str,
    /// Bytes that were read since the request was sent.
    pub(crate) bytes: u64,
    /// Time since then.
    pub(crate) took: Duration,
}

impl UnendingAnswer<'_> {
    /// Logs and counts the answer.
    pub(crate) fn log(&self) {
        metric::answer_unending(self.part);
        log::info!(
            event = "answer_unending",
            part = self.part,
            request_id = self.request_id,
            backend = self.sender,
            bytes = self.bytes,
            took_ms = whole_ms(self.took);
            "an answer does not end"
        );
    }
}
