//! The sequential rules of submission, for the linearizability checker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use todc_utils::Specification;

use crate::control_history::Call;
use crate::control_history::Digest;
use crate::control_history::Operation;
use crate::control_history::Shown;
use crate::control_history::SubmitAnswer;

/// Holds the accepted contents by version; the highest version is in force.
pub type AcceptedContents = BTreeMap<u64, Digest>;

/// Holds one step of the sequential order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpecOperation {
    /// A content takes force as a new version.
    Accept(u64, Digest),
    /// A content is known to hold a version, whatever came later.
    Holds(u64, Digest),
    /// A version that isn't known is refused since this one is in force.
    Stale(u64, u64),
    /// This is in force.
    Show(Option<(u64, Digest)>),
}

/// Holds a step and the time within which it must have happened.
#[derive(Clone, Debug)]
pub struct SpecSpan {
    /// Its earliest time, in microseconds.
    pub from_us: u64,
    /// Its latest time, in microseconds.
    pub until_us: u64,
    /// The step.
    pub operation: SpecOperation,
}

/// States the rules of submission.
#[derive(Debug)]
pub struct SubmissionSpec;

impl Specification for SubmissionSpec {
    type State = AcceptedContents;
    type Operation = SpecOperation;

    fn init() -> Self::State {
        AcceptedContents::new()
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        let current = state.last_key_value();
        let valid = match operation {
            SpecOperation::Accept(version, _) => current.is_none_or(|(last, _)| version > last),
            SpecOperation::Holds(version, digest) => state.get(version) == Some(digest),
            SpecOperation::Stale(version, told) => {
                let is_current = current.is_some_and(|(last, _)| last == told);
                is_current && told > version && !state.contains_key(version)
            }
            SpecOperation::Show(shown) => {
                current == shown.as_ref().map(|(version, digest)| (version, digest))
            }
        };
        let mut next = state.clone();
        if let SpecOperation::Accept(version, digest) = operation {
            next.insert(*version, digest.clone());
        }
        (valid, next)
    }
}

/// Returns the steps that the operations amount to, or `None` if a content was accepted
/// that nobody can have submitted with effect.
///
/// The copies of one submission, lost answers among them, take effect once. That is one
/// step of its own: not before the first copy was sent, and not after the first copy was
/// answered as accepted. What each copy was told is a further step. Submissions of
/// unknown outcome whose content nobody met, and that isn't in `records` of what was
/// accepted, leave no trace and make no step. Without this each unknown outcome would
/// double the search.
#[must_use]
pub fn checked_spans<'a>(
    operations: &'a [Operation],
    records: impl Iterator<Item = &'a Shown>,
) -> Option<Vec<SpecSpan>> {
    let steps = operations.iter().filter_map(step_of);
    let mut spans: Vec<_> = steps.collect();
    let mut met: BTreeSet<_> = operations.iter().filter_map(content_met).collect();
    met.extend(records.map(|record| (record.version, &record.digest)));
    let accepts = accepting_spans(operations);
    for content in met {
        spans.push(accepts.get(&content)?.clone());
    }
    Some(spans)
}

fn step_of(operation: &Operation) -> Option<SpecSpan> {
    let step = match &operation.call {
        Call::Show(None) => SpecOperation::Show(None),
        Call::Show(Some(shown)) => SpecOperation::Show(Some((shown.version, shown.digest.clone()))),
        Call::Submit {
            version, answer, ..
        } => match answer {
            SubmitAnswer::Accepted { .. } | SubmitAnswer::Conflict { .. } => {
                let (version, digest) = content_met(operation)?;
                SpecOperation::Holds(version, digest.clone())
            }
            SubmitAnswer::Stale { current } => SpecOperation::Stale(*version, *current),
            SubmitAnswer::NotAccepted | SubmitAnswer::Unknown => return None,
        },
    };
    Some(SpecSpan {
        from_us: operation.sent_us,
        until_us: operation.answered_us.unwrap_or(u64::MAX),
        operation: step,
    })
}

/// Returns the content that an answer shows to have been accepted.
fn content_met(operation: &Operation) -> Option<(u64, &Digest)> {
    match &operation.call {
        Call::Show(shown) => shown.as_ref().map(|shown| (shown.version, &shown.digest)),
        Call::Submit {
            version,
            digest,
            answer,
        } => match answer {
            SubmitAnswer::Accepted { .. } => Some((*version, digest)),
            SubmitAnswer::Conflict { winner } => Some((*version, winner)),
            SubmitAnswer::Stale { .. } | SubmitAnswer::NotAccepted | SubmitAnswer::Unknown => None,
        },
    }
}

/// Returns, for each content, when it can have been accepted. Copies that were refused
/// for certain can't have had that effect.
fn accepting_spans(operations: &[Operation]) -> BTreeMap<(u64, &Digest), SpecSpan> {
    let mut spans: BTreeMap<(u64, &Digest), SpecSpan> = BTreeMap::new();
    for operation in operations {
        let Call::Submit {
            version,
            digest,
            answer: SubmitAnswer::Accepted { .. } | SubmitAnswer::Unknown,
        } = &operation.call
        else {
            continue;
        };
        let until_us = operation.answered_us.unwrap_or(u64::MAX);
        let span = spans.entry((*version, digest)).or_insert_with(|| SpecSpan {
            from_us: operation.sent_us,
            until_us,
            operation: SpecOperation::Accept(*version, digest.clone()),
        });
        span.from_us = span.from_us.min(operation.sent_us);
        span.until_us = span.until_us.min(until_us);
    }
    spans
}
