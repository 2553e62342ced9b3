//! Bounds on what is read of an answer.

use heatherring_lib::answer_bound::AnswerBound;
use heatherring_lib::answer_bound::AnswerPart;
use proptest::prelude::*;

const MAX: u64 = 1_000;

#[test]
fn test_answer_bound_counts_from_the_request() {
    let mut bound = AnswerBound::new(MAX);
    bound.note_read(MAX);
    assert_eq!(bound.allowed(), 0);
    bound.begin();
    assert_eq!(bound.allowed(), MAX);
    assert_eq!(bound.read(), 0);
    assert_eq!(bound.part(), AnswerPart::Head);
}

/// Guards against interim answers that permit more bytes.
#[test]
fn test_answer_bound_is_used_up_without_a_part_taken() {
    let mut bound = AnswerBound::new(MAX);
    for _ in 0..MAX {
        assert!(bound.allowed() > 0);
        bound.note_read(1);
    }
    assert_eq!(bound.allowed(), 0);
    assert_eq!(bound.part(), AnswerPart::Head);
}

/// Guards against a long answer that is ended although its parts are taken.
#[test]
fn test_answer_bound_permits_more_for_each_part_taken() {
    let mut bound = AnswerBound::new(MAX);
    for _ in 0..100 {
        bound.note_read(MAX);
        assert_eq!(bound.allowed(), 0);
        bound.note_taken();
        assert_eq!(bound.allowed(), MAX);
    }
    assert_eq!(bound.read(), 100 * MAX);
    assert_eq!(bound.part(), AnswerPart::Body);
}

proptest! {
    /// Guards against more bytes between two parts than are allowed.
    #[test]
    fn test_answer_bound_holds_between_any_parts(reads in prop::collection::vec(0_u64..3_000, 0..50)) {
        let mut bound = AnswerBound::new(MAX);
        let mut between = 0;
        for wanted in reads {
            let bytes = wanted.min(bound.allowed());
            bound.note_read(bytes);
            between += bytes;
            prop_assert!(between <= MAX);
            prop_assert_eq!(bound.allowed(), MAX - between);
            if wanted % 7 == 0 {
                bound.note_taken();
                between = 0;
            }
        }
    }
}
