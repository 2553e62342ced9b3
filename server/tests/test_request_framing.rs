//! Framing of requests: where a request ends, and which malformed requests are refused.

mod pipelining_support;

use std::sync::Arc;
use std::sync::Mutex;

use heatherring_server::http_server::Admittance;
use heatherring_server::http_server::HttpVersions;
use heatherring_server::peer_security::PeerSecurity;
use pipelining_support::Server;
use pipelining_support::TEST_TIMEOUT;
use pipelining_support::get;
use pipelining_support::post;
use pipelining_support::read_all;
use pipelining_support::read_until;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Sends bytes between two valid requests. Each case has at most one fault, and names the status of
/// the last answer, if the connection closes there, and the requests that are handled.
#[rstest]
#[case::garbage("\u{1}\u{2}\r\n\r\n", Some("400"), &["/a"])]
#[case::space_before_colon("GET /b HTTP/1.1\r\nhost : a\r\n\r\n", Some("400"), &["/a"])]
#[case::space_in_length(&with_body("content-length: 1 1", "x"), Some("400"), &["/a"])]
#[case::signed_length(&with_body("content-length: +1", "x"), Some("400"), &["/a"])]
#[case::two_lengths(
    &with_body("content-length: 1\r\ncontent-length: 2", "xx"),
    Some("400"),
    &["/a"]
)]
#[case::chunked_and_not(&with_body("transfer-encoding: gzip", ""), Some("400"), &["/a"])]
#[case::folded_header("GET /b HTTP/1.1\r\nhost: a\r\nx: 1\r\n 2\r\n\r\n", Some("400"), &["/a"])]
#[case::large_head(&large_head(), Some("431"), &["/a"])]
#[case::chunked_and_a_length(
    &with_body("transfer-encoding: chunked\r\ncontent-length: 3", CHUNKS),
    Some("400"),
    &["/a"]
)]
#[case::a_length_and_chunked(
    &with_body("Content-Length: 3\r\nTransfer-Encoding: chunked", CHUNKS),
    Some("400"),
    &["/a"]
)]
#[case::a_length_between_chunked(
    &with_body("transfer-encoding: x\r\ncontent-length:3\r\ntransfer-encoding: chunked", CHUNKS),
    Some("400"),
    &["/a"]
)]
#[case::chunked_and_a_length_in_bare_lines(
    "POST /b HTTP/1.1\nhost: a\ncontent-length: 3\ntransfer-encoding: chunked\n\n1\r\nx\r\n0\r\n\r\n",
    Some("400"),
    &["/a"]
)]
#[case::chunked_and_a_length_behind_chunks(
    &(with_body("transfer-encoding: chunked", CHUNKS)
        + &with_body("transfer-encoding: chunked\r\ncontent-length: 3", CHUNKS)),
    Some("400"),
    &["/a", "/b"]
)]
#[case::chunked_and_a_length_behind_a_body(
    &(with_body("content-length: 3", "\r\nx")
        + &with_body("content-length: 3\r\ntransfer-encoding: chunked", CHUNKS)),
    Some("400"),
    &["/a", "/b"]
)]
#[case::bare_line_feeds("GET /b HTTP/1.1\nhost: a\n\n", None, &["/a", "/b", "/c"])]
#[case::chunks_that_look_like_a_head(
    &(with_body("transfer-encoding: chunked", "18\r\nx\r\n\r\ncontent-length: 1\r\n\r\n0\r\n\r\n")
        + &with_body("transfer-encoding: chunked", CHUNKS)),
    None,
    &["/a", "/b", "/b", "/c"]
)]
#[case::a_body_that_looks_like_a_head(
    &(with_body("content-length: 24", "x\r\n\r\ncontent-length: 1\r\n")
        + &with_body("transfer-encoding: chunked", CHUNKS)),
    None,
    &["/a", "/b", "/b", "/c"]
)]
#[case::empty_lines_before(
    &format!("\r\n\r\n{}", with_body("transfer-encoding: chunked", CHUNKS)),
    None,
    &["/a", "/b", "/c"]
)]
#[tokio::test]
async fn test_one_parser_decides_where_a_request_ends(
    #[case] behind: &str,
    #[case] last: Option<&str>,
    #[case] begun: &[&str],
) {
    check_bytes_between_requests(behind, last, begun).await;
}

/// Guards against forwarded requests whose host is ambiguous or missing: the host was used only to
/// find a route, and only the first `Host` header was read.
#[rstest]
#[case::no_host("GET /b HTTP/1.1\r\nx: 1\r\n\r\n", Some("400"), &["/a"])]
#[case::no_host_beside_the_target("GET http://a/b HTTP/1.1\r\nx: 1\r\n\r\n", Some("400"), &["/a"])]
#[case::no_host_with_a_body(
    "POST /b HTTP/1.1\r\ncontent-length: 1\r\n\r\nx",
    Some("400"),
    &["/a"]
)]
#[case::two_hosts(&with_host("a\r\nhost: b"), Some("400"), &["/a"])]
#[case::the_same_host_twice(&with_host("a\r\nHost: a"), Some("400"), &["/a"])]
#[case::two_hosts_of_old("GET /b HTTP/1.0\r\nhost: a\r\nhost: b\r\n\r\n", Some("400"), &["/a"])]
#[case::empty(&with_host(""), Some("400"), &["/a"])]
#[case::a_list(&with_host("a, b"), Some("400"), &["/a"])]
#[case::a_path(&with_host("a/b"), Some("400"), &["/a"])]
#[case::a_user(&with_host("x@a"), Some("400"), &["/a"])]
#[case::a_word_as_port(&with_host("a:http"), Some("400"), &["/a"])]
#[case::an_open_bracket(&with_host("[::1"), Some("400"), &["/a"])]
#[case::bytes_above_ascii(&with_host("\u{e4}"), Some("400"), &["/a"])]
#[case::none_of_old("GET /b HTTP/1.0\r\n\r\n", Some("200"), &["/a", "/b"])]
#[case::a_port(&with_host("a:80"), None, &["/a", "/b", "/c"])]
#[case::brackets(&with_host("[::1]:80"), None, &["/a", "/b", "/c"])]
#[tokio::test]
async fn test_a_request_names_one_host(
    #[case] behind: &str,
    #[case] last: Option<&str>,
    #[case] begun: &[&str],
) {
    check_bytes_between_requests(behind, last, begun).await;
}

async fn check_bytes_between_requests(behind: &str, last: Option<&str>, begun: &[&str]) {
    for versions in [HttpVersions::Http1, HttpVersions::Both] {
        let server = Server::start_with(versions, TEST_TIMEOUT).await;
        check_answers(&server, behind, last, begun).await;
    }
}

async fn check_answers(server: &Server, behind: &str, last: Option<&str>, begun: &[&str]) {
    let mut stream = server.connect().await;
    let sent = get("/a") + behind + &get("/c");
    stream.write_all(sent.as_bytes()).await.unwrap();
    let Some(status) = last else {
        read_until(&mut stream, "</c >").await;
        assert_eq!(server.begun(), begun);
        return;
    };
    let answers = read_all(&mut stream).await;
    let answered = begun.len() + usize::from(status != "200");
    assert_eq!(answers.matches("HTTP/1.").count(), answered, "{answers}");
    let (earlier, rest) = answers.rsplit_once("HTTP/1.").unwrap();
    assert!(earlier.starts_with("HTTP/1.1 200 OK"), "{answers}");
    assert!(earlier.contains("</a >"), "{answers}");
    assert_eq!(rest.split(' ').nth(1), Some(status), "{answers}");
    assert!(rest.contains("connection: close"), "{answers}");
    assert_eq!(server.begun(), begun);
}

/// Guards against a laxer check on listeners for processes of the deployment. They read a request
/// only once the previous answer is sent, see fewer of its bytes, and refuse all chunked bodies.
#[rstest]
#[case::no_host("GET /b HTTP/1.1\r\nx: 1\r\n\r\n", Some("400"), &["/a"])]
#[case::two_hosts(&with_host("a\r\nhost: b"), Some("400"), &["/a"])]
#[case::invalid_host(&with_host("a/b"), Some("400"), &["/a"])]
#[case::chunked_and_a_length(
    &with_body("transfer-encoding: chunked\r\ncontent-length: 3", CHUNKS),
    Some("400"),
    &["/a"]
)]
#[case::a_length_and_chunked(
    &with_body("content-length: 3\r\ntransfer-encoding: chunked", CHUNKS),
    Some("400"),
    &["/a"]
)]
#[case::chunks(&with_body("transfer-encoding: chunked", CHUNKS), Some("400"), &["/a"])]
#[case::a_length(&with_body("content-length: 1", "x"), None, &["/a", "/b", "/c"])]
#[tokio::test]
async fn test_connections_of_the_deployment_are_checked_as_strictly(
    #[case] behind: &str,
    #[case] last: Option<&str>,
    #[case] begun: &[&str],
) {
    let admittance = Admittance::Deployment(PeerSecurity::open_loopback());
    let server = Server::start_for(admittance, HttpVersions::Both, TEST_TIMEOUT).await;
    check_answers(&server, behind, last, begun).await;
}

/// The body `x` in chunks.
const CHUNKS: &str = "1\r\nx\r\n0\r\n\r\n";

fn with_body(headers: &str, body: &str) -> String {
    format!("POST /b HTTP/1.1\r\nhost: a\r\n{headers}\r\n\r\n{body}")
}

fn with_host(host: &str) -> String {
    format!("GET /b HTTP/1.1\r\nhost: {host}\r\n\r\n")
}

fn large_head() -> String {
    format!(
        "GET /b HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "y".repeat(20_000)
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Checks that the same complete requests are parsed however their bytes are split.
    #[test]
    fn test_split_of_bytes_makes_no_difference(
        bodies in proptest::collection::vec(proptest::option::of("[a-z]{0,40}"), 1..12),
        chunked in proptest::bool::ANY,
        cuts in proptest::collection::vec(0_usize..2_000, 0..12),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(check_pieces(&bodies, chunked, &cuts));
    }
}

async fn check_pieces(bodies: &[Option<String>], chunked: bool, cuts: &[usize]) {
    let server = Server::start().await;
    let requests = bodies.iter().enumerate().map(|(n, body)| match body {
        None => get(&format!("/{n}")),
        Some(body) if chunked && !body.is_empty() => format!(
            "PUT /{n} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        ),
        Some(body) => post(&format!("/{n}"), body),
    });
    let bytes: String = requests.collect();
    let expected: Vec<(String, String)> = bodies
        .iter()
        .enumerate()
        .map(|(n, body)| (format!("/{n}"), body.clone().unwrap_or_default()))
        .collect();
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % bytes.len()).collect();
    cuts.push(bytes.len());
    cuts.sort_unstable();
    let stream = server.connect().await;
    stream.set_nodelay(true).unwrap();
    let (mut read_half, mut write_half) = stream.into_split();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let collected = Arc::clone(&answers);
    let reading = tokio::spawn(async move {
        let mut bytes = Vec::new();
        let _ = read_half.read_to_end(&mut bytes).await;
        *collected.lock().unwrap() = bytes;
    });
    let mut from = 0;
    for cut in cuts {
        write_half
            .write_all(&bytes.as_bytes()[from..cut])
            .await
            .unwrap();
        tokio::task::yield_now().await;
        from = cut;
    }
    let seen = server
        .until(|seen| seen.begun.len() == expected.len())
        .await;
    let mut begun = seen.begun;
    begun.sort_by_key(|(path, _)| path[1..].parse::<usize>().unwrap());
    assert_eq!(begun, expected);
    server.stops.stop.cancel();
    tokio::time::timeout(TEST_TIMEOUT, reading)
        .await
        .unwrap()
        .unwrap();
    let answers = String::from_utf8_lossy(&answers.lock().unwrap()).into_owned();
    let expected_answers = expected
        .iter()
        .map(|(path, body)| format!("<{path} {body}>"));
    let mut after = 0;
    for answer in expected_answers {
        let found = answers[after..].find(&answer);
        after += found.unwrap_or_else(|| panic!("{answer} is not in order in {answers}"));
    }
}
