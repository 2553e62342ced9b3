//! The query of `/explain`: parsing inverts writing, and errors name the allowed values.

use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_record::DecisionKind;
use heatherring_lib::id::ServiceName;
use heatherring_server::explain_query::parse;
use heatherring_server::explain_query::write;
use rstest::rstest;

#[rstest]
#[case(None, None, None, "")]
#[case(Some("1f-2"), None, None, "request=1f-2")]
#[case(
    None,
    Some("registry"),
    Some(DecisionKind::Refusal),
    "service=registry&kind=refusal"
)]
fn test_explain_query_round_trip(
    #[case] request: Option<&str>,
    #[case] service: Option<&str>,
    #[case] kind: Option<DecisionKind>,
    #[case] query: &str,
) {
    let filter = DecisionFilter {
        request_id: request.map(str::to_owned),
        service: service.map(ServiceName::new),
        kind,
    };
    assert_eq!(write(&filter), query);
    assert_eq!(parse(query).unwrap(), filter);
}

#[rstest]
#[case(
    "kind=drain",
    "kind \"drain\" isn't known; allowed are look_up, steering and refusal"
)]
#[case("who=me", "\"who\" isn't known; allowed are request, service and kind")]
#[case(
    "kind",
    "\"kind\" has no value; allowed are request=, service= and kind="
)]
fn test_explain_query_refused(#[case] query: &str, #[case] expected: &str) {
    assert_eq!(parse(query).unwrap_err().to_string(), expected);
}
