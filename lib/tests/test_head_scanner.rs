//! Tests of how request heads are scanned ahead of a connection's parser.

use heatherring_lib::head_scanner::HeadFraming;
use heatherring_lib::head_scanner::HeadScanner;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::select;
use rstest::rstest;

/// Passes `bytes` to the scanner in pieces, with reads that end at `cuts`, up to the end of the
/// first head. Returns the position of that end.
fn feed_until_head_end(watch: &mut HeadScanner, bytes: &[u8], cuts: &[usize]) -> usize {
    let mut at = 0;
    while at < bytes.len() {
        let read = cuts.iter().copied().find(|cut| *cut > at);
        let read = read.unwrap_or(bytes.len()).min(bytes.len());
        let taken = watch.next_piece(&bytes[at..read]);
        assert!(
            taken > 0,
            "an empty piece would signal the end of the connection"
        );
        at += taken;
        if bytes[..at].ends_with(b"\r\n\r\n") {
            break;
        }
    }
    at
}

/// Guards against forwarding a request with both a length and a transfer encoding: the HTTP library
/// keeps only one of the two, so the conflict is visible only in the bytes.
#[rstest]
#[case::neither("host: a\r\n", None, HeadFraming::Plain)]
#[case::a_length("Content-Length: 3\r\n", Some(3), HeadFraming::Plain)]
#[case::an_encoding("Transfer-Encoding: chunked\r\n", None, HeadFraming::Plain)]
#[case::both(
    "CONTENT-LENGTH:3\r\nx: 1\r\ntransfer-encoding:chunked\r\n",
    None,
    HeadFraming::LengthAndEncoding
)]
#[case::both_in_bare_lines(
    "transfer-encoding: chunked\ncontent-length: 3\n",
    None,
    HeadFraming::LengthAndEncoding
)]
#[case::longer_names(
    "x-content-length: 3\r\ntransfer-encoding: chunked\r\ncontent-lengths: 3\r\n",
    None,
    HeadFraming::Plain
)]
#[case::in_a_value(
    "x: content-length: 3\r\ntransfer-encoding: chunked\r\n",
    None,
    HeadFraming::Plain
)]
fn test_a_head_says_how_its_body_ends(
    #[case] fields: &str,
    #[case] body_length: Option<u64>,
    #[case] framing: HeadFraming,
) {
    let head = format!("POST / HTTP/1.1\r\n{fields}\r\n");
    let head = head.as_bytes();
    for cut in 0..head.len() {
        let mut watch = HeadScanner::default();
        let mut at = 0;
        while at < head.len() {
            let read = if at < cut { cut } else { head.len() };
            at += watch.next_piece(&head[at..read]);
        }
        assert_eq!(watch.finish_head(body_length), framing, "cut at {cut}");
    }
}

/// Guards against judging a head by the bytes of another one, which happens if the parser accepts a
/// head that does not end where a piece ends. Such a head is refused.
#[test]
fn test_a_head_that_ends_within_a_piece_is_unknown() {
    let mut watch = HeadScanner::default();
    assert_eq!(watch.next_piece(b"GET / HTTP/1.1\r\nhost: a\r\n"), 25);
    assert_eq!(watch.finish_head(None), HeadFraming::Unknown);
    assert_eq!(watch.next_piece(b"\r\nxyz"), 2);
    assert_eq!(watch.finish_head(Some(3)), HeadFraming::Plain);
    assert_eq!(watch.next_piece(b"xy"), 2);
    assert_eq!(watch.finish_head(None), HeadFraming::Unknown);
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Bare,
    Length,
    Chunks,
    Both,
}

/// Builds a request of the given kind whose body contains `content`, and its body length.
fn request(kind: Kind, content: &str) -> (String, Option<u64>) {
    let chunks = format!("{:x}\r\n{content}\r\n0\r\n\r\n", content.len());
    let length = content.len();
    let start = "POST / HTTP/1.1\r\n";
    match kind {
        Kind::Bare => (format!("{start}\r\n"), Some(0)),
        Kind::Length => {
            let bytes = format!("{start}content-length: {length}\r\n\r\n{content}");
            (bytes, Some(length as u64))
        }
        Kind::Chunks => (
            format!("{start}transfer-encoding: chunked\r\n\r\n{chunks}"),
            None,
        ),
        Kind::Both => {
            let fields = "content-length: 3\r\ntransfer-encoding: chunked";
            (format!("{start}{fields}\r\n\r\n{chunks}"), None)
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Each head is judged by its own bytes, for any sequence of requests and any division into
    /// reads, even if bodies look like heads.
    #[test]
    fn test_each_head_is_judged_by_its_own_bytes(
        kinds in vec(select(&[Kind::Bare, Kind::Length, Kind::Chunks, Kind::Both][..]), 1..8),
        pieces in vec(
            select(&["x", "\r\n", "\n", "content-length: 3", "transfer-encoding: x", "\r"][..]),
            1..12
        ),
        cuts in vec(any::<u16>(), 0..24),
    ) {
        let content = pieces.concat();
        let requests: Vec<_> = kinds.iter().map(|kind| request(*kind, &content)).collect();
        let bytes = requests.iter().map(|(bytes, _)| bytes.as_str()).collect::<String>();
        let mut cuts: Vec<_> = cuts.iter().map(|cut| usize::from(*cut) % bytes.len()).collect();
        cuts.sort_unstable();
        let mut watch = HeadScanner::default();
        let mut from = 0;
        for (kind, (request, body_length)) in kinds.iter().zip(&requests) {
            let head = request.find("\r\n\r\n").unwrap() + 4;
            let later: Vec<_> = cuts.iter().filter_map(|cut| cut.checked_sub(from)).collect();
            let end = feed_until_head_end(&mut watch, &bytes.as_bytes()[from..], &later);
            assert_eq!(end, head);
            let framing = match kind {
                Kind::Both => HeadFraming::LengthAndEncoding,
                _ => HeadFraming::Plain,
            };
            assert_eq!(watch.finish_head(*body_length), framing);
            let mut at = head;
            while at < request.len() {
                let left = &request.as_bytes()[at..];
                let read = later.iter().find(|cut| **cut > at).map_or(left.len(), |cut| cut - at);
                // Like the chunked parser, take at most the bytes up to the end of the body.
                at += watch.next_piece(&left[..read.min(left.len())]);
            }
            from += request.len();
        }
    }
}
