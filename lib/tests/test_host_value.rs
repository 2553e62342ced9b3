//! Tests of the validation of `Host` header values.

use heatherring_lib::host_value;
use rstest::rstest;

#[rstest]
#[case::name("ficu95.example", true)]
#[case::one_label("a", true)]
#[case::upper_case("A.Example", true)]
#[case::address("127.0.0.1", true)]
#[case::port("a:8080", true)]
#[case::empty_port("a:", true)]
#[case::address_in_brackets("[::1]", true)]
#[case::address_in_brackets_and_port("[2001:db8::1]:80", true)]
#[case::encoded("a%2Db", true)]
#[case::empty("", false)]
#[case::port_alone(":80", false)]
#[case::service_name_as_port("a:http", false)]
#[case::signed_port("a:+80", false)]
#[case::port_out_of_range("a:65536", false)]
#[case::two_ports("a:80:80", false)]
#[case::address_without_brackets("::1", false)]
#[case::open_bracket("[::1", false)]
#[case::name_in_brackets("[a]", false)]
#[case::text_after_brackets("[::1]a", false)]
#[case::user_info("x@a", false)]
#[case::path("a/b", false)]
#[case::query("a?b", false)]
#[case::fragment("a#b", false)]
#[case::url("http://a", false)]
#[case::space("a b", false)]
#[case::list_with_a_space("a, b", false)]
#[case::truncated_percent_encoding("a%2", false)]
#[case::invalid_percent_encoding("a%zz", false)]
#[case::non_ascii("\u{e4}", false)]
#[case::quote("\"a\"", false)]
#[case::nul("a\0", false)]
fn test_host_value(#[case] value: &str, #[case] valid: bool) {
    assert_eq!(host_value::is_valid(value.as_bytes()), valid);
}

#[test]
fn test_host_value_invalid_utf8() {
    assert!(!host_value::is_valid(&[b'a', 0xff]));
}
