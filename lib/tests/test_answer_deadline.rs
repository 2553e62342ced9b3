//! Until when answers are passed on.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::answer_deadline::AnswerDeadline;
use rstest::rstest;

const DUE_MS: u64 = 10_000;

/// Guards against an end that bytes put off without bound.
#[rstest]
#[case::idle_before(DUE_MS - 5_000, DUE_MS)]
#[case::active_at_the_deadline(DUE_MS, DUE_MS + 1_000)]
#[case::active_past_it(DUE_MS + 1_500, DUE_MS + 2_500)]
#[case::active_for_long(DUE_MS + 4_900, DUE_MS + 5_000)]
#[case::active_for_ever(DUE_MS + 60_000, DUE_MS + 5_000)]
fn test_answer_deadline_with_overtime_is_bounded(#[case] active: u64, #[case] ends: u64) {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let deadline = AnswerDeadline::with_overtime(at(DUE_MS));
    assert_eq!(deadline.ends_at(at(active)), at(ends));
}

#[rstest]
#[case::idle_before(DUE_MS - 5_000)]
#[case::active_at_the_deadline(DUE_MS)]
#[case::active_past_it(DUE_MS + 1_500)]
fn test_answer_deadline_is_strict_without_overtime(#[case] active: u64) {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let deadline = AnswerDeadline::strict(at(DUE_MS));
    assert_eq!(deadline.ends_at(at(active)), at(DUE_MS));
}
