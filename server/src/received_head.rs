//! Record of the head of an answer, to trace which request it belonged to.

use std::fmt;
use std::time::Duration;

use heatherring_lib::answer_pairing::EchoMatch;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::duration_text::whole_ms;
use http::StatusCode;

use crate::metric;

/// What is recorded about the head of an answer on a connection to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedHead {
    /// Status of the answer.
    pub status: StatusCode,
    /// Whether the answer names the request that waited for it.
    pub echo: EchoMatch,
    /// Which request of its connection was waiting, from 1.
    pub position: u32,
    /// How long the connection had been idle before that request.
    pub idle: Duration,
}

impl ReceivedHead {
    /// Logs and counts an answer that does not belong to the request `request_id`. `backend` is the
    /// name of the backend server, or its address where that is all that is known.
    pub(crate) fn log_mismatch(&self, request_id: &str, backend: &str, echoed: EchoedId<'_>) {
        metric::answer_mismatch(self.echo);
        let echoed = match echoed {
            EchoedId::One(id) => id,
            EchoedId::Absent | EchoedId::Ambiguous => "",
        };
        log::info!(
            event = "answer_mismatched",
            request_id,
            backend,
            echo = self.echo.name(),
            echoed,
            status = self.status.as_u16(),
            position = self.position,
            idle_ms = whole_ms(self.idle);
            "a backend server's answer does not name the request that waits for it"
        );
    }

    /// Logs and counts a refusal that may not be meant for the request `request_id`.
    pub(crate) fn log_unproved(&self, request_id: &str, backend: &str) {
        metric::refusal_unproved();
        log::info!(
            event = "refusal_unproved",
            request_id,
            backend,
            echo = self.echo.name(),
            status = self.status.as_u16(),
            position = self.position;
            "a backend server's refusal does not name the request that waits for an answer"
        );
    }
}

impl fmt::Display for ReceivedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = match self.echo {
            EchoMatch::Same => "the request",
            EchoMatch::Absent => "no request",
            EchoMatch::Other => "another request",
            EchoMatch::Ambiguous => "several requests",
        };
        write!(
            f,
            "an answer {} that names {named}, to request {} of a connection that had been idle for {} ms",
            self.status.as_u16(),
            self.position,
            self.idle.as_millis()
        )
    }
}
