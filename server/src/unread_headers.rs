//! Headers by which backend servers state something that nobody reads.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::PoisonError;

use heatherring_lib::id::BackendName;

use crate::metric;

/// Maximum number of names that are logged and counted.
const MAX_NAMES: usize = 32;

/// Logs each unread header once by its name.
#[derive(Debug, Default)]
pub(crate) struct UnreadHeaders {
    names: Mutex<BTreeSet<String>>,
}

impl UnreadHeaders {
    /// Records that an answer of `backend` has these unread headers.
    pub fn note(&self, backend: &BackendName, unread: Vec<&str>) {
        for name in unread {
            let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
            if names.contains(name) || names.len() >= MAX_NAMES {
                continue;
            }
            names.insert(name.to_owned());
            drop(names);
            metric::unread_header(name);
            log::warn!(event = "backend_header_unread", backend = backend.as_str(), header = name; "a backend server states something in a header that is not read");
        }
    }
}
