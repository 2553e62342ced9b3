//! A bounded log of the most recent decisions.

use std::collections::VecDeque;

use crate::decision_record::DecisionKind;
use crate::decision_record::DecisionRecord;
use crate::id::ServiceName;

/// Selects decisions. Each field that is `None` matches all decisions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DecisionFilter {
    /// Selects the decisions on one request.
    pub request_id: Option<String>,
    /// Selects the decisions on requests of one service.
    pub service: Option<ServiceName>,
    /// Selects the decisions of one kind.
    pub kind: Option<DecisionKind>,
}

impl DecisionFilter {
    fn matches(&self, record: &DecisionRecord) -> bool {
        let of_request = self
            .request_id
            .as_ref()
            .is_none_or(|id| *id == record.request_id);
        let of_service = self
            .service
            .as_ref()
            .is_none_or(|service| record.decision.service() == Some(service));
        let of_kind = self.kind.is_none_or(|kind| record.decision.kind() == kind);
        of_request && of_service && of_kind
    }
}

/// Keeps recent decisions in memory.
///
/// Look-ups are stored separately because they are frequent and rarely of interest: in a
/// common store they would evict the refusal that an operator asks about.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    capacity: usize,
    next_number: u64,
    look_ups: VecDeque<(u64, DecisionRecord)>,
    others: VecDeque<(u64, DecisionRecord)>,
}

impl DecisionLog {
    /// Creates a log that keeps `capacity` look-ups and as many other decisions.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next_number: 0,
            look_ups: VecDeque::new(),
            others: VecDeque::new(),
        }
    }

    /// Adds a decision, and evicts the oldest one of its store if that is full.
    pub fn push(&mut self, record: DecisionRecord) {
        let store = match record.decision.kind() {
            DecisionKind::LookUp => &mut self.look_ups,
            DecisionKind::Steering | DecisionKind::Refusal => &mut self.others,
        };
        if store.len() >= self.capacity {
            store.pop_front();
        }
        store.push_back((self.next_number, record));
        self.next_number += 1;
    }

    /// Returns at most `limit` matching decisions, newest first.
    #[must_use]
    pub fn recent(&self, filter: &DecisionFilter, limit: usize) -> Vec<&DecisionRecord> {
        let stores = self.look_ups.iter().chain(&self.others);
        let mut matching: Vec<_> = stores
            .filter(|(_, record)| filter.matches(record))
            .collect();
        matching.sort_unstable_by_key(|(number, _)| std::cmp::Reverse(*number));
        matching
            .into_iter()
            .take(limit)
            .map(|(_, record)| record)
            .collect()
    }
}
