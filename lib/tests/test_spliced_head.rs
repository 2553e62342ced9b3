//! Heads of answers that hold the beginning of another head.

use heatherring_lib::spliced_head::holds_status_line;
use rstest::rstest;

/// Guards against a stray head that broke off and takes on the identifier of the next one.
#[rstest]
#[case::reason(b"HTTP/1.1 200 OK", true)]
#[case::behind_a_value(b"a valueHTTP/1.1 503 Service Unavailable", true)]
#[case::older_version(b"x HTTP/1.0 200", true)]
#[case::version_alone(b"HTTP/1.1", false)]
#[case::via(b"1.1 proxy, HTTP/1.1 other", false)]
#[case::request_line(b"GET / HTTP/1.1", false)]
#[case::plain(b"Service Unavailable", false)]
#[case::empty(b"", false)]
fn test_spliced_head_is_told(#[case] text: &[u8], #[case] expected: bool) {
    assert_eq!(holds_status_line(text), expected);
}
