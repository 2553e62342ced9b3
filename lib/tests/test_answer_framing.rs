//! Heads of answers: which can be acted on, and where their bodies end.

use heatherring_lib::answer_framing::AnswerFault;
use heatherring_lib::answer_framing::AnswerHead;
use heatherring_lib::answer_framing::Framing;
use proptest::prelude::*;

type Lines<'a> = &'a [Option<&'a str>];

/// A head of an ordinary answer without any field.
const PLAIN: Fields = Fields {
    status: 200,
    is_to_head: false,
    is_http_1_0: false,
    lengths: &[],
    encodings: &[],
    connection: &[],
};

#[derive(Clone, Copy, Debug)]
struct Fields<'a> {
    status: u16,
    is_to_head: bool,
    is_http_1_0: bool,
    lengths: Lines<'a>,
    encodings: Lines<'a>,
    connection: Lines<'a>,
}

impl Fields<'_> {
    fn framing(self) -> Result<Framing, AnswerFault> {
        let head = AnswerHead {
            status: self.status,
            is_to_head: self.is_to_head,
            is_http_1_0: self.is_http_1_0,
            lengths: self.lengths.iter().copied(),
            encodings: self.encodings.iter().copied(),
            connection: self.connection.iter().copied(),
        };
        head.framing()
    }
}

/// Names each head, and what it says.
macro_rules! heads {
    ($($(#[$doc:meta])* $name:ident: $head:expr => $framing:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!($head.framing(), $framing);
            }
        )*
    };
}

const fn lengths(lengths: Lines<'_>) -> Fields<'_> {
    Fields { lengths, ..PLAIN }
}

const fn encodings(encodings: Lines<'_>) -> Fields<'_> {
    Fields { encodings, ..PLAIN }
}

const fn closing(connection: Lines<'_>) -> Fields<'_> {
    Fields {
        connection,
        ..PLAIN
    }
}

const fn status(status: u16) -> Fields<'static> {
    Fields {
        status,
        lengths: &[Some("0")],
        ..PLAIN
    }
}

const CHUNKED: Lines<'static> = &[Some("chunked")];

heads! {
    test_answer_framing_by_length: lengths(&[Some("26")]) => Ok(Framing::Length(26));
    test_answer_framing_by_length_between_blanks:
        lengths(&[Some(" \t26 ")]) => Ok(Framing::Length(26));
    test_answer_framing_by_length_with_zeros:
        lengths(&[Some("0026")]) => Ok(Framing::Length(26));
    test_answer_framing_by_lengths_that_agree:
        lengths(&[Some("26, 26"), Some("026")]) => Ok(Framing::Length(26));
    test_answer_framing_by_the_longest_length:
        lengths(&[Some("18446744073709551615")]) => Ok(Framing::Length(u64::MAX));
    test_answer_framing_by_chunks: encodings(CHUNKED) => Ok(Framing::Chunked);
    test_answer_framing_by_chunks_in_capitals:
        encodings(&[Some(" Chunked\t")]) => Ok(Framing::Chunked);

    /// Guards against a length that is guessed from a part of its value.
    test_answer_framing_length_with_a_letter:
        lengths(&[Some("26x")]) => Err(AnswerFault::Length);
    test_answer_framing_length_with_a_sign:
        lengths(&[Some("+26")]) => Err(AnswerFault::Length);
    test_answer_framing_length_with_a_blank_inside:
        lengths(&[Some("2 6")]) => Err(AnswerFault::Length);
    test_answer_framing_length_without_digits: lengths(&[Some("")]) => Err(AnswerFault::Length);
    test_answer_framing_length_not_text: lengths(&[None]) => Err(AnswerFault::Length);
    test_answer_framing_length_too_large:
        lengths(&[Some("18446744073709551616")]) => Err(AnswerFault::Length);
    test_answer_framing_lengths_that_differ:
        lengths(&[Some("26"), Some("25")]) => Err(AnswerFault::Length);
    test_answer_framing_list_of_lengths_that_differ:
        lengths(&[Some("26, 25")]) => Err(AnswerFault::Length);
    test_answer_framing_list_of_lengths_with_an_empty_one:
        lengths(&[Some("26,")]) => Err(AnswerFault::Length);

    /// Guards against an encoding that is not understood and taken for none.
    test_answer_framing_encoding_misspelt:
        encodings(&[Some("chunkd")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_prefixed:
        encodings(&[Some("xchunked")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_empty: encodings(&[Some("")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_not_text: encodings(&[None]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_identity:
        encodings(&[Some("identity")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_preceded:
        encodings(&[Some("gzip, chunked")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_followed:
        encodings(&[Some("chunked, identity")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_twice:
        encodings(&[Some("chunked, chunked")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encodings_of_two_lines:
        encodings(&[Some("chunked"), Some("xx")]) => Err(AnswerFault::Encoding);
    test_answer_framing_encoding_on_two_lines:
        encodings(&[Some("chunked"), Some("chunked")]) => Err(AnswerFault::Encoding);
    /// Guards against a head of which the next reader takes the other field.
    test_answer_framing_length_beside_encoding:
        Fields { encodings: CHUNKED, ..lengths(&[Some("26")]) }
        => Err(AnswerFault::LengthAndEncoding);

    /// Guards against a misspelt field name, which looks like a body that the close ends.
    test_answer_framing_neither: PLAIN => Err(AnswerFault::NoEnd);
    test_answer_framing_neither_on_a_kept_connection:
        closing(&[Some("keep-alive")]) => Err(AnswerFault::NoEnd);
    test_answer_framing_by_close: closing(&[Some("close")]) => Ok(Framing::Close);
    test_answer_framing_by_close_in_a_list:
        closing(&[Some("keep-alive"), Some("x-note , Close")]) => Ok(Framing::Close);
    test_answer_framing_by_close_of_http_1_0:
        Fields { is_http_1_0: true, ..PLAIN } => Ok(Framing::Close);
    test_answer_framing_neither_on_a_kept_connection_of_http_1_0:
        Fields { is_http_1_0: true, ..closing(&[Some("Keep-Alive")]) } => Err(AnswerFault::NoEnd);

    /// Guards against an upgrade that nobody asked for.
    test_answer_framing_upgrade: status(101) => Err(AnswerFault::Status);
    test_answer_framing_interim: status(199) => Err(AnswerFault::Status);
    test_answer_framing_lowest_status: status(200) => Ok(Framing::Length(0));
    test_answer_framing_highest_status: status(599) => Ok(Framing::Length(0));
    /// Guards against a status of no class, which callers treat as they like.
    test_answer_framing_status_of_no_class: status(600) => Err(AnswerFault::Status);
    test_answer_framing_status_of_three_nines: status(999) => Err(AnswerFault::Status);

    test_answer_framing_no_content: Fields { status: 204, ..PLAIN } => Ok(Framing::NoBody);
    test_answer_framing_not_modified:
        Fields { status: 304, ..lengths(&[Some("26")]) } => Ok(Framing::NoBody);
    test_answer_framing_to_head:
        Fields { is_to_head: true, ..encodings(CHUNKED) } => Ok(Framing::NoBody);
    test_answer_framing_to_head_with_nothing:
        Fields { is_to_head: true, ..PLAIN } => Ok(Framing::NoBody);
    /// Guards against broken fields that are passed on where no body depends on them.
    test_answer_framing_not_modified_with_a_broken_length:
        Fields { status: 304, ..lengths(&[Some("26x")]) } => Err(AnswerFault::Length);
    test_answer_framing_to_head_with_a_broken_encoding:
        Fields { is_to_head: true, ..encodings(&[Some("xx")]) } => Err(AnswerFault::Encoding);
    test_answer_framing_to_head_with_both:
        Fields { is_to_head: true, encodings: CHUNKED, ..lengths(&[Some("26")]) }
        => Err(AnswerFault::LengthAndEncoding);

    /// Guards against content that callers take for the next answer.
    test_answer_framing_reset_content_with_length:
        Fields { status: 205, ..lengths(&[Some("26")]) } => Err(AnswerFault::Content);
    test_answer_framing_reset_content: status(205) => Ok(Framing::Length(0));
    test_answer_framing_reset_content_in_chunks:
        Fields { status: 205, ..encodings(CHUNKED) } => Ok(Framing::Chunked);
}

#[test]
fn test_answer_framing_faults_have_names_of_their_own() {
    let mut names: Vec<&str> = AnswerFault::ALL.iter().map(|fault| fault.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), AnswerFault::ALL.len());
}

proptest! {
    /// Guards against any value that is read as an encoding or a length without being one.
    #[test]
    fn test_answer_framing_takes_exact_values_only(value in "[ -~\\t]{0,12}") {
        let trimmed = value.trim_matches([' ', '\t']);
        let lines = [Some(value.as_str())];
        let is_chunked = encodings(&lines).framing() == Ok(Framing::Chunked);
        prop_assert_eq!(is_chunked, trimmed.eq_ignore_ascii_case("chunked"));
        if let Ok(Framing::Length(length)) = lengths(&lines).framing() {
            let items: Vec<_> = value.split(',').map(|item| item.trim().parse()).collect();
            prop_assert!(items.iter().all(|item| *item == Ok(length)), "{:?}", items);
            prop_assert!(!value.contains('+'));
        }
    }
}
