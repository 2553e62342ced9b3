//! Records of the registered backend servers, with indexes by address and by last change.
//!
//! Copies share their contents, and a change takes time that is logarithmic in the number of
//! backend servers: every replica applies each announcement, and publishes a copy after it.

use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::OrdSet;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet_record::BackendRecord;
use crate::fleet_record::BackendState;
use crate::id::BackendName;
use crate::id::Revision;
use crate::id::VersionName;
use crate::stamped::Stamped;

type Records = OrdMap<BackendName, Stamped<Arc<BackendRecord>>>;

/// Registered backend servers, superseded ones included.
///
/// At most one of those with the same address is not superseded.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Records", into = "Records")]
pub(crate) struct BackendTable {
    records: Records,
    /// Those that are not superseded, by address.
    holders: OrdMap<SocketAddr, BackendName>,
    by_revision: OrdSet<(Revision, BackendName)>,
}

impl PartialEq for BackendTable {
    fn eq(&self, other: &Self) -> bool {
        self.records == other.records
    }
}

impl From<Records> for BackendTable {
    fn from(records: Records) -> Self {
        let mut table = Self::default();
        for (name, stamped) in &records {
            table.index(name, stamped);
        }
        table.records = records;
        table
    }
}

impl From<BackendTable> for Records {
    fn from(table: BackendTable) -> Self {
        table.records
    }
}

impl BackendTable {
    /// Returns the record of a backend server; `None` if it is not registered.
    pub(crate) fn get(&self, name: &BackendName) -> Option<&Arc<BackendRecord>> {
        self.records.get(name).map(|stamped| &stamped.value)
    }

    /// Iterates over the backend servers by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BackendName, &Arc<BackendRecord>)> {
        self.records
            .iter()
            .map(|(name, stamped)| (name, &stamped.value))
    }

    /// Returns the backend server at an address that is not superseded.
    pub(crate) fn holder(&self, address: SocketAddr) -> Option<(&BackendName, &BackendRecord)> {
        let name = self.holders.get(&address)?;
        Some((name, self.get(name)?))
    }

    /// Adds a record, or replaces the one of the same name. Unless it is superseded itself, any other
    /// holder of its address becomes superseded.
    pub(crate) fn insert(&mut self, revision: Revision, name: &BackendName, record: BackendRecord) {
        self.remove(name);
        if record.state != BackendState::Superseded {
            self.supersede_holder(revision, record.address);
        }
        let value = Arc::new(record);
        let stamped = Stamped { revision, value };
        self.index(name, &stamped);
        self.records.insert(name.clone(), stamped);
    }

    fn supersede_holder(&mut self, revision: Revision, address: SocketAddr) {
        if let Some((name, record)) = self.holder(address) {
            let (name, mut record) = (name.clone(), record.clone());
            record.state = BackendState::Superseded;
            self.insert(revision, &name, record);
        }
    }

    /// Removes a record. Returns whether it was there.
    pub(crate) fn remove(&mut self, name: &BackendName) -> bool {
        let Some(stamped) = self.records.remove(name) else {
            return false;
        };
        self.by_revision.remove(&(stamped.revision, name.clone()));
        let address = &stamped.value.address;
        if self.holders.get(address) == Some(name) {
            self.holders.remove(address);
        }
        true
    }

    /// Sets the version of a backend server, which counts as no change.
    pub(crate) fn restore_version(&mut self, name: &BackendName, version: VersionName) {
        if let Some(stamped) = self.records.get_mut(name) {
            Arc::make_mut(&mut stamped.value).version = version;
        }
    }

    /// Returns the records that changed after a revision, by name.
    pub(crate) fn changed_since(
        &self,
        since: Revision,
    ) -> Vec<(&BackendName, &Arc<BackendRecord>)> {
        if since == Revision::default() {
            return self.iter().collect();
        }
        let first = (Revision(since.0.saturating_add(1)), BackendName::new(""));
        let changed = self.by_revision.range(first..);
        let changed = changed.filter_map(|(_, name)| Some((name, self.get(name)?)));
        let mut changed: Vec<_> = changed.collect();
        changed.sort_unstable_by_key(|(name, _)| *name);
        changed
    }

    fn index(&mut self, name: &BackendName, stamped: &Stamped<Arc<BackendRecord>>) {
        self.by_revision.insert((stamped.revision, name.clone()));
        if stamped.value.state != BackendState::Superseded {
            self.holders.insert(stamped.value.address, name.clone());
        }
    }
}
