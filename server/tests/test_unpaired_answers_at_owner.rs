//! Answers that belong to other requests, at the entry VM that owns the backend servers.

mod entry_support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherring_testutils::loopback::SERVICE_PORT;
use http::HeaderValue;
use rstest::rstest;

use crate::entry_support::PLACE;
use crate::entry_support::SERVICE;
use crate::entry_support::caller::Reply;
use crate::entry_support::caller::collect;
use crate::entry_support::caller::connect;
use crate::entry_support::caller::request;
use crate::entry_support::caller::send;
use crate::entry_support::caller::wait_until;
use crate::entry_support::repeating_backend::Echo;
use crate::entry_support::repeating_backend::Habits;
use crate::entry_support::repeating_backend::RepeatingBackend;
use crate::entry_support::repeating_backend::Runs;
use crate::entry_support::rig::Rig;

const LEASE: Duration = Duration::from_secs(10);

/// Number of requests sent after the first ones.
const REQUESTS: usize = 6;

const HONEST: Habits = Habits {
    echo: Echo::Own,
    refused: 0,
    repeats: false,
    opening: None,
};

/// Entry VMs with backend servers that repeat answers.
struct Owners {
    rig: Rig,
    runs: Runs,
    sent: usize,
}

impl Owners {
    async fn start(entries: usize) -> Self {
        Self {
            rig: Rig::start(&vec![PLACE; entries], LEASE).await,
            runs: Runs::default(),
            sent: 0,
        }
    }

    async fn add(&mut self, habits: Habits) -> RepeatingBackend {
        let address = SocketAddr::new(self.rig.block.next_vm(), SERVICE_PORT);
        let backend = RepeatingBackend::start(address, habits, &self.runs).await;
        self.rig.announce(address).await;
        backend
    }

    /// Returns the entry VM that callers ask: with two, the one that does not own the backend
    /// servers.
    fn asked(&self) -> usize {
        match self.rig.entries.len() {
            1 => 0,
            _ => 1 - self.rig.owner(),
        }
    }

    fn next_path(&mut self) -> String {
        self.sent += 1;
        format!("/{}", self.sent)
    }

    /// Sends a request with a path of its own; returns the path and the answer.
    async fn get(&mut self) -> (String, Reply) {
        let path = self.next_path();
        let reply = self.rig.get(self.asked(), &path).await;
        (path, reply)
    }

    /// Sends an action with a path of its own; returns the path and the answer.
    async fn act(&mut self) -> (String, Reply) {
        let path = self.next_path();
        let address = self.rig.callers(self.asked());
        let found = send(address, "GET", &format!("/lookup/{SERVICE}"), "").await;
        let found = found.expect("the entry VM answers").json();
        let ticket = found["ticket"].as_str().expect("a ticket");
        let key = format!("{ticket}.{}", self.sent);
        let mut req = request("POST", address, &format!("/svc/{SERVICE}{path}"), "");
        let key = HeaderValue::from_str(&key).expect("a header value");
        req.headers_mut().insert("idempotency-key", key);
        let mut sender = connect(address).await.expect("a connection");
        let response = sender.send_request(req).await.expect("an answer");
        let (head, body) = response.into_parts();
        let body = collect(body).await;
        let reply = Reply {
            status: head.status,
            headers: head.headers,
            body,
        };
        (path, reply)
    }
}

fn outcome(reply: &Reply) -> &str {
    reply.header("heatherring-outcome")
}

fn check_not_run(runs: &Runs, path: &str, reply: &Reply) {
    let ran = runs.of(path);
    assert!(
        outcome(reply) != "not_run" || ran == 0,
        "{path} was answered as not run and ran {ran} times"
    );
}

/// Guards against a caller that is told "not run" of a request that ran.
#[rstest]
#[case::at_owner(1, Echo::Own)]
#[case::forwarded(2, Echo::Own)]
#[case::unnamed(1, Echo::Nothing)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_late_refusal_proves_nothing(
    #[case] entries: usize,
    #[case] echo: Echo,
) {
    let mut owners = Owners::start(entries).await;
    owners
        .add(Habits {
            echo,
            refused: 1,
            repeats: true,
            ..HONEST
        })
        .await;
    wait_until(async || {
        let (path, reply) = owners.get().await;
        check_not_run(&owners.runs, &path, &reply);
        owners.runs.total() > REQUESTS
    })
    .await;
}

/// Sends actions until enough of them ran, and checks that none ran twice or was refused and ran.
async fn check_actions(owners: &mut Owners) {
    wait_until(async || {
        let (path, reply) = owners.act().await;
        let ran = owners.runs.of(&path);
        assert!(ran <= 1, "{path} ran {ran} times");
        check_not_run(&owners.runs, &path, &reply);
        owners.runs.total() > REQUESTS
    })
    .await;
}

/// Guards against an action that runs at a second backend server after a late refusal by the first.
#[rstest]
#[case::named(Echo::Own)]
#[case::unnamed(Echo::Nothing)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_late_refusal_runs_nothing_twice(#[case] echo: Echo) {
    let mut owners = Owners::start(2).await;
    for _ in 0..2 {
        let habits = Habits {
            echo,
            refused: 1,
            repeats: true,
            ..HONEST
        };
        owners.add(habits).await;
    }
    check_actions(&mut owners).await;
}

/// Guards against a caller that gets the answer to an earlier request on the same connection.
#[rstest]
#[case::at_owner(1, Echo::Own)]
#[case::forwarded(2, Echo::Own)]
#[case::unnamed(1, Echo::Nothing)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_late_answer_reaches_nobody_else(
    #[case] entries: usize,
    #[case] echo: Echo,
) {
    let mut owners = Owners::start(entries).await;
    let habits = Habits {
        echo,
        repeats: true,
        ..HONEST
    };
    owners.add(habits).await;
    for _ in 0..REQUESTS {
        let (path, reply) = owners.get().await;
        if outcome(&reply) == "answer" {
            assert_eq!(reply.text(), format!("answer to {path}"));
        }
    }
}

/// Guards against a refusal that does not name the request and is taken for proof.
#[rstest]
#[case::other(Echo::Other)]
#[case::both(Echo::Both)]
#[case::nobody_at_owner(Echo::Nothing)]
#[case::empty_at_owner(Echo::Empty)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_refusal_of_another_request_is_unknown(#[case] echo: Echo) {
    let mut owners = Owners::start(1).await;
    let habits = Habits {
        echo,
        refused: usize::MAX,
        ..HONEST
    };
    owners.add(habits).await;
    let (_, reply) = owners.get().await;
    assert_eq!(outcome(&reply), "unknown");
}

/// Guards against a true refusal that is no longer believed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_true_refusal_is_believed() {
    let mut owners = Owners::start(1).await;
    let habits = Habits {
        refused: 1,
        ..HONEST
    };
    owners.add(habits).await;
    let (_, reply) = owners.get().await;
    assert_eq!(outcome(&reply), "not_run");
    assert_eq!(owners.runs.total(), 0);
}

/// Guards against an answer that was written before the request was read and counts for it, with
/// what it states.
#[rstest]
#[case::opening_unnamed_at_owner(
    "HTTP/1.1 503 Scripted\r\nheatherring-outcome: not_run\r\ncontent-length: 0\r\n\r\n"
)]
#[case::opening_empty_at_owner(
    "HTTP/1.1 503 Scripted\r\nheatherring-request-id:\r\nheatherring-outcome: not_run\r\n\
     content-length: 0\r\n\r\n"
)]
#[case::opening_other_at_owner(
    "HTTP/1.1 503 Scripted\r\nheatherring-request-id: other\r\nheatherring-outcome: not_run\r\n\
     content-length: 0\r\n\r\n"
)]
#[case::opening_pause_at_owner(
    "HTTP/1.1 503 Scripted\r\nheatherring-outcome: not_run\r\nretry-after: 300\r\n\
     content-length: 0\r\n\r\n"
)]
#[case::opening_leaving_at_owner(
    "HTTP/1.1 503 Scripted\r\nheatherring-outcome: not_run\r\nheatherring-leaving: 1\r\n\
     content-length: 0\r\n\r\n"
)]
#[case::opening_misdirected_at_owner("HTTP/1.1 421 Scripted\r\ncontent-length: 0\r\n\r\n")]
#[case::opening_503_at_owner("HTTP/1.1 503 Scripted\r\ncontent-length: 0\r\n\r\n")]
#[case::opening_429_at_owner("HTTP/1.1 429 Scripted\r\ncontent-length: 0\r\n\r\n")]
#[case::opening_408_at_owner("HTTP/1.1 408 Scripted\r\ncontent-length: 0\r\n\r\n")]
#[case::opening_200_at_owner("HTTP/1.1 200 Scripted\r\ncontent-length: 0\r\n\r\n")]
#[case::cut_header_at_owner("HTTP/1.1 503 Scripted\r\nheatherring-outcome: not_run\r\nx-more: ")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_opening(#[case] opening: &'static str) {
    let mut owners = Owners::start(2).await;
    for _ in 0..2 {
        let habits = Habits {
            opening: Some(opening),
            ..HONEST
        };
        owners.add(habits).await;
    }
    check_actions(&mut owners).await;
}

/// Guards against connections that are closed although each answer names its request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_connection_with_named_answers_is_kept() {
    let mut owners = Owners::start(1).await;
    let habits = Habits {
        refused: 1,
        ..HONEST
    };
    let backend = owners.add(habits).await;
    wait_until(async || {
        owners.get().await;
        owners.runs.total() > REQUESTS
    })
    .await;
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

/// Guards against an answer without a name that is read on a connection used before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unpaired_at_owner_unnamed_answers_get_new_connections() {
    let mut owners = Owners::start(1).await;
    let habits = Habits {
        echo: Echo::Nothing,
        ..HONEST
    };
    let backend = owners.add(habits).await;
    for _ in 0..REQUESTS {
        let (path, reply) = owners.get().await;
        assert_eq!(reply.text(), format!("answer to {path}"));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), REQUESTS);
}
