//! Order in which a replica carries out its effects while its disk writes.
//!
//! A write can take seconds. Meanwhile the replica has to answer heartbeats and to prove that it
//! leads, or its leader is replaced and the leases that it grants run out.
//!
//! This is the pipelining of Ongaro's dissertation (2014), section 10.2.1: entries may be sent
//! before they are durable here, since a replica counts itself only for those that are.

use crate::id::ReplicaId;
use crate::raft_effects::Effects;
use crate::raft_message::LogEntry;
use crate::raft_message::LogPosition;
use crate::raft_message::LogWrite;
use crate::raft_message::Message;

/// Largest number of messages of one kind that are held back. Older ones are dropped, as a network
/// may do; a leader repeats what still matters.
const MAX_HELD_MESSAGES: usize = 1_024;

/// Queues the records of a replica, and the effects that have to wait for them.
#[derive(Debug, Default)]
pub struct WriteQueue {
    records: Vec<LogWrite>,
    /// What waits for `records`.
    next: Held,
    /// What waits for the records that are being written.
    writing: Option<Held>,
}

/// What waits for some records.
#[derive(Debug, Default)]
struct Held {
    acks: Vec<(ReplicaId, Message)>,
    /// All effects since the first record that holds them back; `None` if there is no such record.
    effects: Option<Effects>,
    /// Last position of the log in the records.
    position: Option<LogPosition>,
}

/// Outcome of records that have become durable.
#[derive(Debug)]
#[must_use]
pub struct Completed {
    /// Effects that waited for them.
    pub effects: Effects,
    /// Last position of the log among them, for [`Input::Persisted`]; `None` if there was none.
    ///
    /// [`Input::Persisted`]: crate::raft_effects::Input::Persisted
    pub position: Option<LogPosition>,
}

impl WriteQueue {
    /// Adds the effects of a step, and returns those that can be carried out at once.
    ///
    /// Votes, terms, truncations and restored snapshots hold back all effects behind them.
    pub fn push(&mut self, mut fx: Effects) -> Effects {
        let records = std::mem::take(&mut fx.writes);
        let restores = fx.restored.is_some();
        let holds = |record: &LogWrite| match record {
            LogWrite::Append(_) => false,
            LogWrite::Snapshot(_) => restores,
            LogWrite::HardState(_) | LogWrite::Truncate(_) => true,
        };
        let holds = records.iter().any(holds);
        self.add_records(records);
        if holds || self.next.effects.is_some() {
            hold(self.next.effects.get_or_insert_default(), fx);
            return Effects::default();
        }
        self.next.acks.append(&mut fx.acks);
        drop_oldest(&mut self.next.acks);
        let writing = self.writing.as_mut();
        match writing.and_then(|held| held.effects.as_mut()) {
            Some(effects) => {
                hold(effects, fx);
                Effects::default()
            }
            None => fx,
        }
    }

    /// Queues records. A snapshot takes the place of the queued entries that it includes, so that
    /// the queue of a replica that cannot write does not outgrow its log.
    fn add_records(&mut self, records: Vec<LogWrite>) {
        let compacts = |record: &LogWrite| matches!(record, LogWrite::Snapshot(_));
        let compacted = records.iter().any(compacts);
        self.records.extend(records);
        if compacted && let Some(last) = self.records.iter().rposition(compacts) {
            let later = self.records.split_off(last + 1);
            self.records = compact(std::mem::take(&mut self.records));
            self.records.extend(later);
        }
    }

    /// Returns the records to write next, in order; `None` while others are being written, or if
    /// there are none.
    pub fn begin(&mut self) -> Option<Vec<LogWrite>> {
        if self.writing.is_some() || self.records.is_empty() {
            return None;
        }
        let records = std::mem::take(&mut self.records);
        let mut held = std::mem::take(&mut self.next);
        held.position = last_position(&records);
        self.writing = Some(held);
        Some(records)
    }

    /// Returns what may be done now that the records returned by [`Self::begin`] are durable.
    pub fn complete(&mut self) -> Completed {
        let held = self.writing.take().unwrap_or_default();
        let mut effects = Effects {
            sends: held.acks,
            ..Effects::default()
        };
        effects.append(held.effects.unwrap_or_default());
        effects.sends.append(&mut effects.acks);
        Completed {
            effects,
            position: held.position,
        }
    }

    /// Returns the records that are not being written yet, oldest first.
    #[must_use]
    pub fn queued(&self) -> &[LogWrite] {
        &self.records
    }
}

/// Adds the effects of a later step to those that are held back.
fn hold(held: &mut Effects, later: Effects) {
    held.append(later);
    drop_oldest(&mut held.sends);
    drop_oldest(&mut held.acks);
}

fn drop_oldest(messages: &mut Vec<(ReplicaId, Message)>) {
    let excess = messages.len().saturating_sub(MAX_HELD_MESSAGES);
    messages.drain(..excess);
}

/// Returns fewer records with the same result as `records`, whose last one is a snapshot.
///
/// The term and the vote come first, since no entry may have a later term than the hard state.
fn compact(records: Vec<LogWrite>) -> Vec<LogWrite> {
    let mut hard_state = None;
    let mut truncated = None;
    let mut snapshot = None;
    let mut entries: Vec<LogEntry> = Vec::new();
    for record in records {
        match record {
            LogWrite::HardState(state) => hard_state = Some(state),
            LogWrite::Truncate(from) => {
                truncated = Some(truncated.map_or(from, |earlier| from.min(earlier)));
                entries.retain(|entry| entry.index < from);
            }
            LogWrite::Append(entry) => entries.push(entry),
            LogWrite::Snapshot(latest) => {
                entries.retain(|entry| entry.index > latest.index);
                snapshot = Some(latest);
            }
        }
    }
    let first = [
        hard_state.map(LogWrite::HardState),
        truncated.map(LogWrite::Truncate),
        snapshot.map(LogWrite::Snapshot),
    ];
    let entries = entries.into_iter().map(LogWrite::Append);
    first.into_iter().flatten().chain(entries).collect()
}

/// Returns the end of the log after these records; `None` if they append nothing that remains.
fn last_position(records: &[LogWrite]) -> Option<LogPosition> {
    let mut positions: Vec<LogPosition> = Vec::new();
    for record in records {
        match record {
            LogWrite::HardState(_) => {}
            LogWrite::Append(entry) => positions.push(entry.position()),
            LogWrite::Truncate(from) => positions.retain(|position| position.index < *from),
            LogWrite::Snapshot(snapshot) => {
                let position = snapshot.position();
                let after = positions.partition_point(|other| other.index < position.index);
                positions.drain(..after);
                if positions.is_empty() {
                    positions.push(position);
                }
            }
        }
    }
    positions.last().copied()
}
