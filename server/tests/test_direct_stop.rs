//! A planned stop of an entry VM that dispatches directly, through to its backend server.

mod direct_support;

use std::time::Duration;

use direct_support::Deployment;
use direct_support::backend::Behaviour;
use direct_support::stops::LATE_START_DELAY;
use direct_support::stops::connect;
use direct_support::stops::get;
use direct_support::stops::post;
use direct_support::stops::read_all;
use direct_support::stops::read_until;
use direct_support::stops::start;
use direct_support::stops::until_listener_closes;
use direct_support::stops::with_announcements;
use heatherring_testutils::wait::wait_for;
use tokio::io::AsyncWriteExt;

/// Time after the end of taking requests within which a connection that is idle must have been
/// closed: what comes later can't be answered before the process ends.
const CLOSED_WITHIN: Duration = Duration::from_secs(2);

/// A lookup whose caller waits for [`LATE_START_DELAY`].
fn short_get(path: &str) -> String {
    let patience = LATE_START_DELAY.as_millis();
    let marks = format!("heatherring-deadline-ms: {patience}\r\n\r\n");
    get(path).replace("\r\n\r\n", &format!("\r\n{marks}"))
}

/// Symptom: a request that was sent 3.7 to 5.2 s after an entry VM had been asked to stop, with
/// 6 s of grace, was run by a backend server and its connection was closed with no answer.
/// Sequence: a connection is idle when the stop begins; requests are to be taken for 2.7 s; a
/// caller sends on the connection after that; the request is taken, passed on, and cut off when
/// the process ends at 5.7 s. Cause: once it had been told that the process leaves, a connection
/// waited for one more request and never again looked whether the time for it was over.
/// Evidence: both requests of the record were cut 5.71 and 5.75 s after their signals, which is
/// the end of the grace time as the process itself counts it, so that neither the signal nor its
/// clock was late.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_stop_takes_nothing_on_a_connection_that_was_idle() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = start(&mut deployment).await;
    let mut stream = connect(&entry).await;
    stream.write_all(get("/safe/x").as_bytes()).await.unwrap();
    read_until(&mut stream, "whole").await;
    let ran = backend.runs();
    backend.behave(Behaviour::Hang);
    entry.begin_stop();
    until_listener_closes(entry.settings.listen.callers).await;
    let late_answer = async {
        let closed = tokio::time::timeout(CLOSED_WITHIN, read_all(&mut stream)).await;
        if closed.is_ok() {
            return None;
        }
        // It is still open: its caller sends the next request.
        stream.write_all(get("/safe/y").as_bytes()).await.unwrap();
        Some(read_all(&mut stream).await)
    };
    let late_answer = with_announcements(&deployment, &backend, late_answer).await;
    entry.ended().await;
    let ran_late = backend.runs() - ran;
    assert_eq!((late_answer, ran_late), (None, 0), "taken after the stop");
}

/// Symptom: an action was run by a backend server when its entry VM had next to no time left
/// before its end, and its caller got no answer and couldn't ask again. Sequence: the action is
/// read before the stop, behind a lookup that hangs; that is told after 6.5 s of 8 s of grace
/// that there is no answer; the action begins then, and is cut off 1.1 s later. Cause: whether
/// work can still end before the process does was asked when a request was read, not when it
/// was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_stop_begins_nothing_that_cannot_end_behind_a_slow_answer() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = start(&mut deployment).await;
    let mut stream = connect(&entry).await;
    backend.behave(Behaviour::Hang);
    let ran = backend.runs();
    let requests = short_get("/safe/x") + &post("/once/y", "body");
    stream.write_all(requests.as_bytes()).await.unwrap();
    wait_for("the lookup at its backend server", async || {
        (backend.runs() > ran).then_some(())
    })
    .await
    .unwrap();
    entry.begin_stop();
    let answers = with_announcements(&deployment, &backend, read_all(&mut stream)).await;
    entry.ended().await;
    assert_eq!(backend.runs(), ran + 1, "the action was run: {answers:?}");
    assert!(answers.contains("HTTP/1.1 504"), "{answers:?}");
    assert!(answers.contains("HTTP/1.1 503"), "{answers:?}");
    assert!(answers.ends_with("leaving"), "{answers:?}");
}

/// Symptom and cause are those of the test before. Sequence: an action's head comes before the
/// stop, the end of its body 6.5 s after it; the action is passed on and cut off.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_stop_begins_nothing_that_cannot_end_behind_a_slow_body() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = start(&mut deployment).await;
    let mut stream = connect(&entry).await;
    backend.behave(Behaviour::Hang);
    let ran = backend.runs();
    let request = post("/once/y", "body");
    let (begun, rest) = request.split_at(request.len() - 1);
    stream.write_all(begun.as_bytes()).await.unwrap();
    entry.begin_stop();
    let answering = async {
        tokio::time::sleep(LATE_START_DELAY).await;
        stream.write_all(rest.as_bytes()).await.unwrap();
        read_all(&mut stream).await
    };
    let answer = with_announcements(&deployment, &backend, answering).await;
    entry.ended().await;
    assert_eq!(backend.runs(), ran, "the action was run: {answer:?}");
    assert!(answer.contains("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.ends_with("leaving"), "{answer:?}");
}

/// A request that can't end is refused; one that most likely does isn't, however late it begins:
/// its caller would have to look up another entry VM and begin anew.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_stop_serves_what_can_end() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = start(&mut deployment).await;
    let mut stream = connect(&entry).await;
    let ran = backend.runs();
    let request = post("/once/y", "body");
    let (begun, rest) = request.split_at(request.len() - 1);
    stream.write_all(begun.as_bytes()).await.unwrap();
    entry.begin_stop();
    until_listener_closes(entry.settings.listen.callers).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    let answer = read_all(&mut stream).await;
    entry.ended().await;
    assert_eq!(backend.runs(), ran + 1, "{answer:?}");
    assert!(answer.contains("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer:?}");
}
