//! Backend servers that must not be sent requests, checked before the first byte of a request that
//! was assigned to one earlier.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::direct_dispatch::Dispatcher;
use crate::id::BackendName;

/// How long a backend server must not be sent requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Until {
    /// Until its process ends: it is leaving.
    End,
    /// Until the time that it asked for has passed.
    Time(Instant),
}

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    /// The backend server is leaving.
    Leaving,
    /// The backend server asked for a time without requests.
    Paused,
}

/// Backend servers that must not be sent requests, with the start of their processes.
#[derive(Clone, Debug, Default)]
pub struct SendHolds {
    holds: BTreeMap<BackendName, (u64, Until)>,
}

impl SendHolds {
    /// Returns why the process of `backend` that started at `born` must not be sent a request;
    /// `None` if it may be.
    #[must_use]
    pub fn hold(&self, now: Instant, backend: &BackendName, born: u64) -> Option<Hold> {
        let (held, until) = self.holds.get(backend)?;
        if *held != born {
            return None;
        }
        match *until {
            Until::End => Some(Hold::Leaving),
            Until::Time(until) => (now < until).then_some(Hold::Paused),
        }
    }
}

impl Dispatcher {
    /// Returns the backend servers that must not be sent requests, if these have changed since the
    /// last call.
    pub fn take_send_holds(&mut self) -> Option<SendHolds> {
        if !std::mem::take(&mut self.holds_changed) {
            return None;
        }
        let held = self.backends.values().filter_map(|backend| {
            let until = if backend.leaving.is_some() {
                Until::End
            } else {
                Until::Time(backend.pushback.until()?)
            };
            Some((backend.name.clone(), (backend.record.born, until)))
        });
        Some(SendHolds {
            holds: held.collect(),
        })
    }
}
