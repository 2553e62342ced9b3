//! Pairing answers with requests on connections to faulty backend servers.

mod pairing_model;

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::answer_pairing::CarriedRequests;
use heatherring_lib::answer_pairing::ECHO_MEMORY;
use heatherring_lib::answer_pairing::EchoMatch;
use heatherring_lib::answer_pairing::EchoPolicy;
use heatherring_lib::answer_pairing::EchoRecord;
use heatherring_lib::answer_pairing::EchoedId;
use heatherring_lib::answer_pairing::IdHash;
use heatherring_lib::answer_pairing::MAX_CARRIED_REQUESTS;
use heatherring_lib::answer_pairing::MismatchRecord;
use heatherring_lib::answer_pairing::Pairing;
use heatherring_lib::answer_pairing::SINGLE_USE_TIME;
use heatherring_lib::answer_pairing::SentRequest;
use pairing_model::Breach;
use pairing_model::Fate;
use pairing_model::Form;
use pairing_model::Id;
use pairing_model::Step;
use pairing_model::Without;
use pairing_model::play;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

#[rstest]
#[case::none(&[], EchoedId::Absent)]
#[case::empty(&[Some("")], EchoedId::Absent)]
#[case::one(&[Some("a")], EchoedId::One("a"))]
#[case::twice(&[Some("a"), Some("a")], EchoedId::One("a"))]
#[case::beside_an_empty_one(&[Some(""), Some("a"), Some("")], EchoedId::One("a"))]
#[case::two(&[Some("a"), Some("b")], EchoedId::Ambiguous)]
#[case::two_and_one_again(&[Some("a"), Some("b"), Some("a")], EchoedId::Ambiguous)]
#[case::another_case(&[Some("a"), Some("A")], EchoedId::Ambiguous)]
#[case::not_text(&[None], EchoedId::Ambiguous)]
#[case::beside_no_text(&[None, Some("a")], EchoedId::Ambiguous)]
#[case::before_no_text(&[Some("a"), None], EchoedId::Ambiguous)]
fn test_echoed_id_is_read(#[case] values: &[Option<&str>], #[case] expected: EchoedId<'_>) {
    assert_eq!(EchoedId::read(values.iter().copied()), expected);
}

const NAMED: Option<Pairing> = Some(Pairing::Named);
const POSITIONAL: Option<Pairing> = Some(Pairing::Positional);

/// The pairings are those of the first request of a connection whose backend server always echoes
/// identifiers, of one where it may echo none, and of later requests.
#[rstest]
#[case::same(Some("a"), EchoedId::One("a"), EchoMatch::Same, [NAMED, NAMED, NAMED])]
#[case::other(Some("a"), EchoedId::One("b"), EchoMatch::Other, [None, None, None])]
#[case::other_case(Some("a"), EchoedId::One("A"), EchoMatch::Other, [None, None, None])]
#[case::longer(Some("a"), EchoedId::One("ab"), EchoMatch::Other, [None, None, None])]
#[case::absent(Some("a"), EchoedId::Absent, EchoMatch::Absent, [None, POSITIONAL, None])]
#[case::ambiguous(Some("a"), EchoedId::Ambiguous, EchoMatch::Ambiguous, [None, None, None])]
#[case::unasked(None, EchoedId::One("a"), EchoMatch::Other, [POSITIONAL, POSITIONAL, None])]
#[case::neither(None, EchoedId::Absent, EchoMatch::Absent, [POSITIONAL, POSITIONAL, None])]
#[case::unasked_ambiguous(None, EchoedId::Ambiguous, EchoMatch::Ambiguous, [POSITIONAL, POSITIONAL, None])]
fn test_echoed_id_is_compared(
    #[case] id: Option<&str>,
    #[case] echoed: EchoedId<'_>,
    #[case] echo: EchoMatch,
    #[case] expected: [Option<Pairing>; 3],
) {
    assert_eq!(echoed.compare(id), echo);
    let pairing = |echo_policy, is_first| {
        let sent = SentRequest {
            id,
            is_first,
            echo_policy,
        };
        sent.pairing(echoed)
    };
    assert_eq!(pairing(EchoPolicy::Always, true), expected[0]);
    assert_eq!(pairing(EchoPolicy::Optional, true), expected[1]);
    assert_eq!(pairing(EchoPolicy::Always, false), expected[2]);
    assert_eq!(pairing(EchoPolicy::Optional, false), expected[2]);
}

#[test]
fn test_echo_match_names_differ() {
    let all = [
        EchoMatch::Same,
        EchoMatch::Absent,
        EchoMatch::Other,
        EchoMatch::Ambiguous,
    ];
    assert_eq!(
        all.map(EchoMatch::name),
        ["same", "absent", "other", "ambiguous"]
    );
}

fn hash(number: usize) -> IdHash {
    IdHash::of(&number.to_string())
}

/// Guards against a memory of requests that grows without bound, or forgets one.
#[test]
fn test_carried_requests_forget_none_until_full() {
    let mut carried = CarriedRequests::default();
    for number in 0..MAX_CARRIED_REQUESTS {
        assert!(!carried.is_full());
        assert!(!carried.contains(hash(number)));
        carried.note(hash(number));
        assert!((0..=number).all(|known| carried.contains(hash(known))));
    }
    assert!(carried.is_full());
}

const POLICIES: [EchoPolicy; 2] = [EchoPolicy::Always, EchoPolicy::Optional];

const fn send(id: Id, fate: Fate) -> Step {
    let server = 0;
    Step::Send { server, id, fate }
}

const fn read(form: Form) -> Step {
    let answer = Some(form);
    Step::Read { which: 0, answer }
}

const fn copy(back: usize, form: Form) -> Step {
    let which = 0;
    Step::Copy { which, back, form }
}

/// An answer, a late copy of it, and another request that runs.
const fn late(first: Id, fate: Fate, form: Form, second: Id) -> [Step; 5] {
    [
        send(first, fate),
        read(Form::Named),
        copy(0, form),
        send(second, Fate::Ran),
        read(Form::Named),
    ]
}

/// Two requests with answers that name none.
const UNNAMED: [Step; 4] = [
    send(Id::Fresh, Fate::Ran),
    read(Form::Unnamed),
    send(Id::Fresh, Fate::Ran),
    read(Form::Unnamed),
];

/// A request without an identifier after one that has one.
const NO_ID: [Step; 4] = [
    send(Id::Fresh, Fate::Ran),
    read(Form::Named),
    send(Id::Absent, Fate::Ran),
    read(Form::Named),
];

/// A refusal that is sent before the request that runs.
const fn spoken(form: Form) -> [Step; 3] {
    let (server, fate) = (0, Fate::Refused);
    [
        Step::SpeakFirst { server, form, fate },
        send(Id::Fresh, Fate::Ran),
        read(Form::Named),
    ]
}

/// Guards against a rule of the pool that is left out: each sequence breaks without one of them.
#[rstest]
#[case::named(Without::Comparison, &late(Id::Fresh, Fate::Refused, Form::Named, Id::Fresh), Breach::NotRunButRan)]
#[case::unnamed(Without::Comparison, &late(Id::Fresh, Fate::Refused, Form::Unnamed, Id::Fresh), Breach::NotRunButRan)]
#[case::first(Without::FirstOnly, &late(Id::Fresh, Fate::Ran, Form::Unnamed, Id::Fresh), Breach::Foreign)]
#[case::same_id(Without::OtherIds, &late(Id::Known(0), Fate::Refused, Form::Named, Id::Known(0)), Breach::NotRunButRan)]
#[case::unproved(Without::Proof, &spoken(Form::Unnamed), Breach::NotRunButRan)]
#[case::unproved_empty(Without::Proof, &spoken(Form::Empty), Breach::NotRunButRan)]
#[case::closing(Without::Closing, &UNNAMED, Breach::TruthLost)]
#[case::no_id(Without::NewWithoutId, &NO_ID, Breach::TruthLost)]
fn test_pairing_needs_its_rules(
    #[case] without: Without,
    #[case] steps: &[Step],
    #[case] breach: Breach,
) {
    for policy in POLICIES {
        assert_eq!(play(policy, Without::Nothing, steps).breach, None);
    }
    let world = play(EchoPolicy::Optional, without, steps);
    assert_eq!(world.breach, Some(breach));
}

/// Searches drawn sequences for one that ends in `breach` and returns the shortest that it finds.
fn find(without: Without, breach: Breach) -> Option<Vec<Step>> {
    let config = ProptestConfig {
        cases: 300,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let plays = prop::collection::vec(pairing_model::step(), 1..60);
    let result = TestRunner::new_with_rng(config, rng).run(&plays, |steps| {
        let world = play(EchoPolicy::Optional, without, &steps);
        prop_assert_ne!(world.breach, Some(breach));
        Ok(())
    });
    match result {
        Ok(()) => None,
        Err(TestError::Fail(_, steps)) => Some(steps),
        Err(error @ TestError::Abort(_)) => panic!("{error}"),
    }
}

/// Guards against a model in which no sequence could break a rule.
#[rstest]
#[case::comparison(Without::Comparison, [true, true, true])]
#[case::proof(Without::Proof, [true, true, false])]
#[case::first_only(Without::FirstOnly, [false, true, false])]
#[case::other_ids(Without::OtherIds, [true, true, false])]
#[case::closing(Without::Closing, [false, false, true])]
#[case::new_without_id(Without::NewWithoutId, [false, false, true])]
#[case::nothing(Without::Nothing, [false, false, false])]
fn test_pairing_search_finds_what_breaks(#[case] without: Without, #[case] expected: [bool; 3]) {
    let breaches = [Breach::NotRunButRan, Breach::Foreign, Breach::TruthLost];
    for (breach, is_expected) in breaches.into_iter().zip(expected) {
        let found = find(without, breach);
        assert_eq!(found.is_some(), is_expected, "{breach:?} {found:?}");
    }
}

/// Guards against rules that cost a new connection for each request of sound backend servers.
#[rstest]
#[case::one(MAX_CARRIED_REQUESTS, 1)]
#[case::three(3 * MAX_CARRIED_REQUESTS, 3)]
fn test_pairing_keeps_a_connection(#[case] count: usize, #[case] opened: usize) {
    let steps = [Step::Fill { server: 0, count }];
    for policy in POLICIES {
        let world = play(policy, Without::Nothing, &steps);
        assert_eq!((world.breach, world.opened), (None, opened));
    }
}

/// Guards against an identifier that is used again once its connection has forgotten it.
#[rstest]
fn test_pairing_holds_when_an_id_returns(#[values(0, 1, 126, 127, 128, 300)] between: usize) {
    let [refused, read, _, ran, _] = late(Id::Known(0), Fate::Refused, Form::Named, Id::Known(0));
    let fill = Step::Fill {
        server: 0,
        count: between,
    };
    let copy = copy(between, Form::Named);
    for policy in POLICIES {
        let world = play(
            policy,
            Without::Nothing,
            &[refused, read, fill, copy, ran, read],
        );
        assert_eq!(world.breach, None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    /// Guards against any order of late, early, doubled and missing answers in which a request that
    /// ran counts as not run, gets the answer to another, or loses its own.
    #[test]
    fn test_pairing_holds_in_any_order(steps in prop::collection::vec(pairing_model::step(), 1..120)) {
        for policy in POLICIES {
            prop_assert_eq!(play(policy, Without::Nothing, &steps).breach, None);
        }
    }

    /// Guards against the same on connections that carry many requests.
    #[test]
    fn test_pairing_holds_on_long_connections(steps in prop::collection::vec(pairing_model::long_step(), 1..60)) {
        for policy in POLICIES {
            prop_assert_eq!(play(policy, Without::Nothing, &steps).breach, None);
        }
    }
}

/// Guards against connections that are kept to a backend server that goes on sending answers to
/// other requests.
#[test]
fn test_mismatch_record_is_over_after_its_time() {
    let now = Instant::now();
    let record = MismatchRecord::new(now);
    assert!(!record.is_over(now));
    assert!(!record.is_over(now + SINGLE_USE_TIME.saturating_sub(Duration::from_millis(1))));
    assert!(record.is_over(now + SINGLE_USE_TIME));
}

/// Guards against an address whose new user, which echoes nothing, is never served.
#[test]
fn test_echo_record_is_over_after_its_time() {
    let now = Instant::now();
    let record = EchoRecord::new(now);
    assert!(!record.is_over(now));
    assert!(!record.is_over(now + ECHO_MEMORY.saturating_sub(Duration::from_millis(1))));
    assert!(record.is_over(now + ECHO_MEMORY));
}
