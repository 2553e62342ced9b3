//! How rate limits are read from answers, and kept by control.

mod dispatch_model;
mod limit_model;

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::rate_limit::LimitNotice;
use heatherring_lib::rate_limit::RequestRate;
use limit_model::board;
use limit_model::rate;
use limit_model::statement;

macro_rules! notice_cases {
    ($($name:ident: $values:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let values: &[&str] = &$values;
                let notice = LimitNotice::read(values.iter().copied().map(Some));
                assert_eq!(notice, $expected);
            }
        )*
    };
}

notice_cases! {
    test_limit_notice_none: [] => LimitNotice::Absent;
    test_limit_notice_decimal: ["5.8"] => LimitNotice::Limited(rate(5.8));
    test_limit_notice_padded: [" 3 "] => LimitNotice::Limited(rate(3.0));
    test_limit_notice_zero: ["0"] => LimitNotice::Limited(rate(0.0));
    test_limit_notice_huge: ["99999999999999"] => LimitNotice::Limited(rate(1e6));
    test_limit_notice_smallest_of_two: ["7", "2.5"] => LimitNotice::Limited(rate(2.5));
    test_limit_notice_valid_beside_invalid: ["x", "2.5"] => LimitNotice::Limited(rate(2.5));
    test_limit_notice_negative: ["-1"] => LimitNotice::Unreadable;
    test_limit_notice_not_a_number: ["NaN"] => LimitNotice::Unreadable;
    test_limit_notice_infinite: ["inf"] => LimitNotice::Unreadable;
    test_limit_notice_exponent: ["1e3"] => LimitNotice::Unreadable;
    test_limit_notice_empty: [""] => LimitNotice::Unreadable;
}

macro_rules! board_cases {
    ($($(#[$doc:meta])* $name:ident: $first:expr, $second:expr => $expected:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let now = Instant::now() + Duration::from_mins(1);
                let mut board = board();
                board.apply_limits(now, vec![$first]);
                let changed = board.apply_limits(now, vec![$second]);
                let rates: Vec<Option<f64>> = board
                    .limits(now)
                    .iter()
                    .map(|statement| statement.rate.map(RequestRate::per_second))
                    .collect();
                assert_eq!((rates, changed.len()), $expected);
            }
        )*
    };
}

board_cases! {
    test_statement_board_newer_limit: statement(Some(3.0), 900, 1), statement(Some(2.0), 100, 1)
        => (vec![Some(2.0)], 1);
    /// Guards against a late report that brings an outdated limit back.
    test_statement_board_late_report: statement(Some(3.0), 100, 1), statement(Some(2.0), 900, 1)
        => (vec![Some(3.0)], 0);
    test_statement_board_repeated_report: statement(Some(3.0), 900, 1), statement(Some(3.0), 100, 1)
        => (vec![Some(3.0)], 0);
    test_statement_board_ended: statement(Some(3.0), 900, 1), statement(None, 100, 1)
        => (vec![None], 1);
    test_statement_board_end_of_an_unknown_limit: statement(None, 100, 1), statement(None, 50, 1)
        => (vec![], 0);
    test_statement_board_next_incarnation: statement(Some(3.0), 100, 1), statement(Some(2.0), 900, 2)
        => (vec![Some(2.0)], 1);
    test_statement_board_previous_incarnation: statement(Some(3.0), 900, 2), statement(Some(2.0), 100, 1)
        => (vec![Some(3.0)], 0);
}

/// Guards against a report from before the end of a limit that brings the limit back.
#[test]
fn test_statement_board_late_report_after_the_end() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut board = board();
    board.apply_limits(now, vec![statement(Some(3.0), 900, 1)]);
    board.apply_limits(now, vec![statement(None, 100, 1)]);
    let changed = board.apply_limits(now, vec![statement(Some(3.0), 500, 1)]);
    assert!(changed.is_empty());
    assert_eq!(board.limits(now)[0].rate, None);
}

/// Guards against a board that keeps limits of backend servers that are gone.
#[test]
fn test_statement_board_forgets() {
    let now = Instant::now();
    let mut board = board();
    board.apply_limits(now, vec![statement(Some(3.0), 0, 1)]);
    let number = board.number();
    board.forget(now, |_, born| born == 1);
    assert!(!board.is_empty());
    board.forget(now, |_, born| born == 2);
    assert!(board.is_empty());
    assert_eq!(board.number(), number);
}
