//! What an answer proves about its request.

use heatherring_lib::answer_claim::AnswerMeaning;
use heatherring_lib::answer_claim::Claim;
use heatherring_lib::answer_claim::RefusedBy;
use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::answer_pairing::SentRequest;
use heatherring_lib::outcome::Attempt;
use rstest::rstest;

/// A claim without its attempt.
#[derive(Debug, Eq, PartialEq)]
enum Kind {
    Answer,
    Refused(RefusedBy),
    Unproved,
    Foreign,
}

const BY_CHOSEN: Kind = Kind::Refused(RefusedBy::Chosen);
const BY_OTHER: Kind = Kind::Refused(RefusedBy::Other);

fn claim(id: Option<&str>, echoed: EchoedId<'_>, meaning: AnswerMeaning, status: u16) -> Claim {
    let sent = SentRequest {
        id,
        is_first: true,
        echo_policy: EchoPolicy::Optional,
    };
    let paired = Attempt::new().sending().pair(sent, echoed).unwrap();
    Claim::new(paired, meaning, status)
}

fn kind(claim: &Claim) -> Kind {
    match claim {
        Claim::Answer(_) => Kind::Answer,
        Claim::Refused(_, by) => Kind::Refused(*by),
        Claim::Unproved(_) => Kind::Unproved,
        Claim::Foreign(_) => Kind::Foreign,
    }
}

/// Guards against a refusal that counts as proof although it does not name its request.
#[rstest]
#[case::answer(AnswerMeaning::Answer, 200, [Kind::Answer, Kind::Answer])]
#[case::promise_without_statement(AnswerMeaning::Answer, 503, [Kind::Answer, Kind::Answer])]
#[case::refusal(AnswerMeaning::NotRun, 503, [BY_CHOSEN, Kind::Unproved])]
#[case::limit(AnswerMeaning::NotRun, 429, [BY_CHOSEN, Kind::Unproved])]
#[case::misdirected(AnswerMeaning::OtherBackend, 421, [BY_OTHER, Kind::Unproved])]
#[case::malformed(AnswerMeaning::NotRun, 400, [BY_CHOSEN, Kind::Answer])]
#[case::foreign(AnswerMeaning::Foreign, 200, [Kind::Foreign, Kind::Foreign])]
fn test_answer_claim_needs_the_name(
    #[case] meaning: AnswerMeaning,
    #[case] status: u16,
    #[case] expected_named_and_not: [Kind; 2],
) {
    let [named, positional] = expected_named_and_not;
    let by_name = claim(Some("a"), EchoedId::One("a"), meaning, status);
    assert_eq!(kind(&by_name), named);
    for (id, echoed) in [
        (Some("a"), EchoedId::Absent),
        (None, EchoedId::Absent),
        (None, EchoedId::One("a")),
        (None, EchoedId::Ambiguous),
    ] {
        let by_position = claim(id, echoed, meaning, status);
        assert_eq!(kind(&by_position), positional, "{id:?} {echoed:?}");
    }
}

/// Guards against statements about the chosen backend server that come with somebody else's answer.
#[rstest]
#[case::answer(Some("a"), EchoedId::Absent, AnswerMeaning::Answer, true)]
#[case::refusal(Some("a"), EchoedId::One("a"), AnswerMeaning::NotRun, true)]
#[case::unproved(Some("a"), EchoedId::Absent, AnswerMeaning::NotRun, false)]
#[case::other(Some("a"), EchoedId::One("a"), AnswerMeaning::OtherBackend, false)]
#[case::foreign(Some("a"), EchoedId::One("a"), AnswerMeaning::Foreign, false)]
fn test_answer_claim_is_from_the_chosen(
    #[case] id: Option<&str>,
    #[case] echoed: EchoedId<'_>,
    #[case] meaning: AnswerMeaning,
    #[case] expected: bool,
) {
    assert_eq!(claim(id, echoed, meaning, 503).is_from_chosen(), expected);
}
