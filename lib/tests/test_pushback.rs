//! Reading the time for which a backend server wants no requests.

use std::time::Duration;

use heatherring_lib::pushback::PushbackNotice;

const DATE: &str = "Sun, 06 Nov 1994 08:49:37 GMT";

macro_rules! notice_cases {
    ($($name:ident: $values:expr, date: $date:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let values: &[Option<&str>] = &$values;
                let notice = PushbackNotice::read(values.iter().copied(), $date);
                assert_eq!(notice, $expected);
            }
        )*
    };
}

const fn ms(ms: u64) -> PushbackNotice {
    PushbackNotice::For(Duration::from_millis(ms))
}

const MAX: PushbackNotice = ms(300_000);

notice_cases! {
    test_pushback_absent: [], date: None => PushbackNotice::Absent;
    test_pushback_seconds: [Some("3")], date: None => ms(3_000);
    test_pushback_fraction: [Some(" 0.25 ")], date: None => ms(250);
    test_pushback_zero: [Some("0")], date: None => ms(0);
    test_pushback_longest_of_several: [Some("1"), Some("x"), Some("4"), Some("2")], date: None => ms(4_000);
    test_pushback_negative: [Some("-1")], date: None => PushbackNotice::Unreadable;
    test_pushback_exponent: [Some("1e9")], date: None => PushbackNotice::Unreadable;
    test_pushback_infinite: [Some("inf")], date: None => PushbackNotice::Unreadable;
    test_pushback_empty: [Some("")], date: None => PushbackNotice::Unreadable;
    test_pushback_not_text: [None], date: None => PushbackNotice::Unreadable;
    test_pushback_huge: [Some("99999999999999999999999999")], date: None => MAX;
    test_pushback_date: [Some("Sun, 06 Nov 1994 08:49:40 GMT")], date: Some(DATE) => ms(3_000);
    test_pushback_date_that_has_passed: [Some("Sun, 06 Nov 1994 08:49:30 GMT")], date: Some(DATE) => ms(0);
    test_pushback_date_far_ahead: [Some("Sat, 06 Nov 2094 08:49:30 GMT")], date: Some(DATE) => MAX;
    test_pushback_date_without_the_time_of_the_answer: [Some(DATE)], date: None => PushbackNotice::Unreadable;
}

#[test]
fn test_pushback_of_more_digits_than_a_number_holds() {
    let digits = "9".repeat(500);
    let notice = PushbackNotice::read([Some(digits.as_str())].into_iter(), None);
    assert_eq!(notice, MAX);
}
