//! Bytes behind the end of an answer.

use heatherring_lib::answer_scanner::AnswerScanner;
use proptest::prelude::*;

/// Passes the bytes of an answer on in pieces of `piece` bytes.
fn has_excess(is_to_head: bool, answer: &str, piece: usize) -> bool {
    let mut scanner = AnswerScanner::new(is_to_head);
    for piece in answer.as_bytes().chunks(piece) {
        scanner.push(piece);
    }
    scanner.has_excess()
}

/// Names each answer, and whether bytes of no answer follow its end.
macro_rules! answers {
    ($($(#[$doc:meta])* $name:ident: $answer:expr => $has_excess:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                for piece in [1, 2, 7, 1_000] {
                    assert_eq!(has_excess(false, $answer, piece), $has_excess, "{piece}");
                }
            }
        )*
    };
}

answers! {
    test_answer_scanner_whole: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" => false;
    test_answer_scanner_unfinished: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok" => false;
    test_answer_scanner_unfinished_head: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n" => false;
    /// Guards against a body that is cut short by a length that is too small.
    test_answer_scanner_length_too_small:
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok then" => true;
    test_answer_scanner_length_one_too_small:
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nok" => true;
    test_answer_scanner_length_of_none: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nok" => true;
    test_answer_scanner_line_behind_the_end:
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok\r\n" => true;
    test_answer_scanner_bare_line_feeds: "HTTP/1.1 200 OK\ncontent-length: 1\n\nok" => true;
    test_answer_scanner_name_in_capitals:
        "HTTP/1.1 200 OK\r\nCONTENT-LENGTH:1\r\n\r\nok" => true;
    test_answer_scanner_lengths_that_agree:
        "HTTP/1.1 200 OK\r\ncontent-length: 1, 1\r\ncontent-length: 1\r\n\r\nok" => true;
    test_answer_scanner_lines_before_the_status:
        "\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nok" => true;
    /// Guards against the length of an interim answer that is taken for that of the answer.
    test_answer_scanner_behind_interim_answers:
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\ncontent-length: 1\r\n\r\n\
         HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" => false;
    test_answer_scanner_too_small_behind_interim_answers:
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nok" => true;
    /// Guards against a whole answer that is lost because another one follows it.
    test_answer_scanner_another_answer:
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n" => false;
    test_answer_scanner_begin_of_another_answer:
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHT" => false;
    test_answer_scanner_almost_another_answer:
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTML" => true;
    test_answer_scanner_chunks:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nmore" => false;
    test_answer_scanner_no_length: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok" => false;
    test_answer_scanner_no_content: "HTTP/1.1 204 No Content\r\ncontent-length: 1\r\n\r\nok" => false;
    test_answer_scanner_not_modified:
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 1\r\n\r\nok" => false;
    test_answer_scanner_no_http: "no answer at all\r\n\r\nok" => false;
}

/// Guards against an answer to `HEAD` that is taken for one with a body.
#[test]
fn test_answer_scanner_to_head_expects_no_body() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok";
    assert!(!has_excess(true, answer, 1_000));
}

proptest! {
    /// Guards against a result that depends on how the bytes arrive.
    #[test]
    fn test_answer_scanner_does_not_depend_on_pieces(
        head in "(x-a: b\r\n){0,3}",
        length in 0_usize..40,
        sent in 0_usize..40,
        piece in 1_usize..60,
    ) {
        let body = "x".repeat(sent);
        let answer = format!("HTTP/1.1 200 OK\r\n{head}content-length: {length}\r\n\r\n{body}");
        prop_assert_eq!(has_excess(false, &answer, piece), sent > length);
    }

    /// Guards against bytes that stop the scanner.
    #[test]
    fn test_answer_scanner_takes_any_bytes(bytes: Vec<u8>, piece in 1_usize..9) {
        let mut scanner = AnswerScanner::new(false);
        for piece in bytes.chunks(piece) {
            scanner.push(piece);
        }
        // Without a status line there is no end.
        prop_assert!(!scanner.has_excess() || bytes.contains(&b'\n'));
    }
}
