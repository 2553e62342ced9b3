//! A simulated replica: its process, its disk and its replicated state.

use std::time::Duration;

use heatherring_lib::id::Revision;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::LogPayload;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Snapshot;
use heatherring_lib::raft_write_queue::WriteQueue;

/// The replicated state of one replica: the tokens of the applied commands, in order.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    pub applied: Revision,
    pub tokens: Vec<u64>,
}

impl StateMachine {
    pub fn from_snapshot(snapshot: Option<&Snapshot>) -> Self {
        snapshot.map_or_else(Self::default, |snapshot| Self {
            applied: snapshot.index,
            tokens: postcard::from_bytes(&snapshot.data).unwrap(),
        })
    }

    pub fn apply(&mut self, entry: &LogEntry) {
        assert_eq!(entry.index, self.applied.next(), "applied out of order");
        self.applied = entry.index;
        if let LogPayload::Command(command) = &entry.payload {
            self.tokens.push(token_of_command(command));
        }
    }
}

/// A simulated replica with its disk and the memory of its process.
#[derive(Debug)]
pub struct Node {
    pub raft: Option<Raft>,
    /// Durable state, as of the last sync.
    pub disk: DurableState,
    /// State of the disk once all writes so far are synced.
    pub written: DurableState,
    pub state_machine: StateMachine,
    pub(super) queue: WriteQueue,
    /// Records that are being written, until `sync_at`.
    pub(super) writing: Vec<LogWrite>,
    pub(super) sync_at: Option<Duration>,
    /// No sync ends before this time.
    pub(super) stalled_until: Duration,
    /// Whether the disk refuses records.
    pub(super) disk_full: bool,
    pub(super) frozen_until: Duration,
    /// Set once the data folder is lost; the replica never restarts.
    pub disk_lost: bool,
}

pub fn token_of_command(command: &[u8]) -> u64 {
    let (token, _padding) = postcard::take_from_bytes(command).unwrap();
    token
}
