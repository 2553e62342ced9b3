//! The sequential rules of submission, for the linearizability checker.

use std::collections::BTreeMap;

use todc_utils::Specification;

use crate::control_history::Call;
use crate::control_history::Digest;
use crate::control_history::SubmitAnswer;

/// Holds the accepted contents by version; the highest version is in force.
pub type AcceptedContents = BTreeMap<u64, Digest>;

/// States the rules of submission.
#[derive(Debug)]
pub struct SubmissionSpec;

impl Specification for SubmissionSpec {
    type State = AcceptedContents;
    type Operation = Call;

    fn init() -> Self::State {
        AcceptedContents::new()
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Call::Show(shown) => {
                let shown = shown.as_ref().map(|shown| (&shown.version, &shown.digest));
                (shown == state.last_key_value(), state.clone())
            }
            Call::Submit {
                version,
                digest,
                answer,
            } => submit(*version, digest, answer, state),
        }
    }
}

fn submit(
    version: u64,
    digest: &Digest,
    answer: &SubmitAnswer,
    state: &AcceptedContents,
) -> (bool, AcceptedContents) {
    let known = state.get(&version);
    let current = state.last_key_value().map(|(&current, _)| current);
    let is_new = known.is_none() && current.is_none_or(|current| version > current);
    let mut next = state.clone();
    let valid = match answer {
        SubmitAnswer::Accepted { .. } => {
            next.entry(version).or_insert_with(|| digest.clone());
            is_new || known == Some(digest)
        }
        SubmitAnswer::Conflict { winner } => known == Some(winner) && winner != digest,
        SubmitAnswer::Stale { current: told } => {
            known.is_none() && current == Some(*told) && *told > version
        }
        SubmitAnswer::NotAccepted => true,
        // Its answer counts as arriving after all others, so a submission that never
        // took effect finds its place at the end, where nothing contradicts it.
        SubmitAnswer::Unknown => {
            if is_new {
                next.insert(version, digest.clone());
            }
            true
        }
    };
    (valid, next)
}
