//! Writing half of a caller's connection, for answers that only its end ends.
//!
//! A caller that speaks HTTP/1.0 gets a body of unknown length without chunks. An ordinary close
//! tells it that the body is complete, a reset that it was cut off.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

/// How a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Closing {
    /// After all bytes that were written.
    Ordinary,
    /// At once.
    Reset,
}

/// Closes its connection when it is dropped, by a reset in the middle of an answer that the close
/// would end.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    /// Present until the stream is dropped.
    half: Option<OwnedWriteHalf>,
    /// Whether an answer is being written that the close ends.
    is_unmarked: AtomicBool,
}

impl AnswerStream {
    pub(crate) const fn new(half: OwnedWriteHalf) -> Self {
        Self {
            half: Some(half),
            is_unmarked: AtomicBool::new(false),
        }
    }

    /// Returns the connection, until it is dropped.
    pub(crate) fn half(&self) -> Option<&OwnedWriteHalf> {
        self.half.as_ref()
    }

    /// Notes that an answer begins that the close of the connection ends.
    pub(crate) fn begin_unmarked(&self) {
        self.is_unmarked.store(true, Ordering::Relaxed);
        // Set now, it holds if the process is killed as well.
        self.set_linger(Some(Duration::ZERO));
    }

    /// Notes that all answers so far were written to their ends.
    pub(crate) fn note_written(&self) {
        if self.is_unmarked.swap(false, Ordering::Relaxed) {
            self.set_linger(None);
        }
    }

    /// Returns how the connection would be closed now.
    pub(crate) fn closing(&self) -> Closing {
        if self.is_unmarked.load(Ordering::Relaxed) {
            Closing::Reset
        } else {
            Closing::Ordinary
        }
    }

    fn set_linger(&self, linger: Option<Duration>) {
        if let Some(half) = &self.half {
            set_linger(half.as_ref(), linger);
        }
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if let Some(half) = self.half.take()
            && *self.is_unmarked.get_mut()
        {
            // Dropping it would close its direction in the ordinary way, before the reset.
            half.forget();
        }
    }
}

/// Sets how a connection is closed; a time of zero means a reset.
pub(crate) fn set_linger(stream: &TcpStream, linger: Option<Duration>) {
    if let Err(error) = sockopt::set_socket_linger(stream, linger) {
        log::debug!(event = "linger_refused", error:% = error; "cannot set how a connection is closed");
    }
}
