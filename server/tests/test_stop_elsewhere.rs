//! Planned stops: requests that are accepted or dispatched but can't complete before the process
//! ends, in cases that `test_direct_stop` does not cover.

mod direct_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use direct_support::Deployment;
use direct_support::Replica;
use direct_support::backend::Behaviour;
use direct_support::call;
use direct_support::request;
use direct_support::stops::GRACE;
use direct_support::stops::LATE_START_DELAY;
use direct_support::stops::connect;
use direct_support::stops::get;
use direct_support::stops::long_timeout_routes;
use direct_support::stops::post;
use direct_support::stops::read_all;
use direct_support::stops::start;
use direct_support::stops::until_listener_closes;
use direct_support::stops::with_announcements;
use direct_support::until_served;
use heatherring_testutils::wait::wait_for;
use http::Method;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Duration of a streamed answer; longer than the time left after [`LATE_START_DELAY`].
const STREAMED: Duration = Duration::from_secs(2);

/// Time for which the leader is suspended; below the shortest election timeout.
const FROZEN: Duration = Duration::from_millis(400);

/// Guards against a request that a backend server runs and answers during a planned stop, but whose
/// caller gets no answer. A lookup that hangs is in flight when the stop begins; an idempotent
/// request is pipelined behind it, dispatched after the stop request and answered at once; its
/// answer waits for the earlier one and is lost when the process ends. Whether it can complete was
/// judged by its own expected time, not by whether its answer can be sent, and it was started ahead
/// of its turn even during a stop.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_dispatches_nothing_whose_answer_waits_behind_another() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = start(&mut deployment).await;
    let mut stream = connect(&entry).await;
    backend.behave(Behaviour::Hang);
    let ran = backend.runs();
    let requests = get("/safe/x") + &post("/safe/y", "body");
    let (begun, rest) = requests.split_at(requests.len() - 1);
    stream.write_all(begun.as_bytes()).await.unwrap();
    wait_for("the lookup at its backend server", async || {
        (backend.runs() > ran).then_some(())
    })
    .await
    .unwrap();
    backend.behave(Behaviour::Answer);
    entry.begin_stop();
    tokio::time::sleep(Duration::from_millis(200)).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    let answers = read_all(&mut stream).await;
    entry.ended().await;
    let run_behind = backend.runs() - ran - 1;
    let answered = answers.matches("HTTP/1.1 200").count();
    assert_eq!(
        answered, run_behind as usize,
        "requests were run but not answered: {answers:?}"
    );
}

/// Guards against a request that arrives after the entry VM has stopped accepting requests, but is
/// dispatched and cut off when the process ends. Before the stop, a connection is opened and
/// nothing or the beginning of a head is sent; the rest of its first request arrives shortly after
/// the time for requests, 3.0 to 3.2 s after the signal with 6 s of grace. The entry VM waits half
/// a second longer for the rest of a first head so that it can answer, but then dispatched the
/// request normally.
#[rstest]
#[case::nothing_sent_before(0)]
#[case::head_begun_before(10)]
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_dispatches_no_first_request_that_is_late(#[case] sent_before: usize) {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = start(&mut deployment).await;
    let mut stream = connect(&entry).await;
    backend.behave(Behaviour::Hang);
    let ran = backend.runs();
    let action = post("/once/y", "body");
    let (begun, rest) = action.split_at(sent_before);
    stream.write_all(begun.as_bytes()).await.unwrap();
    let running = async {
        entry.begin_stop();
        until_listener_closes(entry.settings.listen.callers).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        stream.write_all(rest.as_bytes()).await.unwrap();
        read_all(&mut stream).await
    };
    let answer = with_announcements(&deployment, &backend, running).await;
    entry.ended().await;
    assert_eq!(
        backend.runs(),
        ran,
        "the request was run; answer: {answer:?}"
    );
}

/// Guards against a request that is read completely before the stop and gets no answer: an entry VM
/// has no manifest yet, the request waits up to 0.8 s for it, and the entry VM stops sooner. Unlike
/// the wait for a body, the wait for the first view did not end with the stop.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_answers_requests_that_wait_for_the_first_view() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry_with_grace("entry-1", Duration::from_millis(600));
    let mut stream = wait_for("a connection", async || {
        TcpStream::connect(entry.settings.listen.callers).await.ok()
    })
    .await
    .unwrap();
    stream.write_all(get("/safe/x").as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    entry.begin_stop();
    let answer = read_all(&mut stream).await;
    entry.ended().await;
    assert!(answer.contains("HTTP/1.1 503"), "{answer:?}");
}

/// Runs a backend server that sends the head of an action's answer at once and streams its body for
/// [`STREAMED`]. Counts the actions.
async fn stream_answers(listener: TcpListener, actions: Arc<AtomicU32>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, Arc::clone(&actions)));
    }
}

async fn serve_connection(mut stream: TcpStream, actions: Arc<AtomicU32>) -> std::io::Result<()> {
    loop {
        let mut bytes = Vec::new();
        while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        }
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let id = text
            .lines()
            .find(|line| line.starts_with("heatherring-request-id"));
        let id = id.unwrap_or("x-none: none").to_owned();
        if !text.starts_with("post") {
            let answer = format!("HTTP/1.1 200 OK\r\n{id}\r\ncontent-length: 5\r\n\r\nwhole");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        actions.fetch_add(1, Ordering::SeqCst);
        while !bytes.ends_with(b"body") {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        }
        let head = format!("HTTP/1.1 200 OK\r\n{id}\r\ntransfer-encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        let until = Instant::now() + STREAMED;
        while Instant::now() < until {
            stream.write_all(b"4\r\npart\r\n").await?;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        stream.write_all(b"3\r\nend\r\n0\r\n\r\n").await?;
    }
}

/// Guards against an action's answer that is cut off in the middle when its entry VM stops: answers
/// on its route are streamed for 2 s, and the end of the action's request body arrives 1.1 s before
/// the process ends. For an answer that is not read completely, the expected time of a request was learned only up to
/// the head.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_dispatches_nothing_whose_answer_streams_too_long() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry_with_grace("entry-1", GRACE);
    let mut backend = deployment.start_backend("backend-1").await;
    backend.address.set_port(backend.address.port() + 1);
    let actions = Arc::new(AtomicU32::new(0));
    let listener = TcpListener::bind(backend.address).await.unwrap();
    let serving = tokio::spawn(stream_answers(listener, Arc::clone(&actions)));
    deployment.submit(&long_timeout_routes()).await;
    deployment.announce(&backend, 1, "Ready").await;
    until_served(&entry).await;
    let running = async {
        for _ in 0..3 {
            let mut stream = connect(&entry).await;
            let close = "\r\nconnection: close\r\n\r\n";
            let action = post("/once/y", "body").replacen("\r\n\r\n", close, 1);
            stream.write_all(action.as_bytes()).await.unwrap();
            let answer = read_all(&mut stream).await;
            assert!(answer.contains("end\r\n0\r\n\r\n"), "{answer:?}");
        }
        let actions_before = actions.load(Ordering::SeqCst);
        let mut stream = connect(&entry).await;
        let action = post("/once/y", "body");
        let (begun, rest) = action.split_at(action.len() - 1);
        stream.write_all(begun.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        entry.begin_stop();
        tokio::time::sleep(LATE_START_DELAY).await;
        stream.write_all(rest.as_bytes()).await.unwrap();
        let answer = read_all(&mut stream).await;
        (actions.load(Ordering::SeqCst) - actions_before, answer)
    };
    let (run, answer) = with_announcements(&deployment, &backend, running).await;
    entry.ended().await;
    serving.abort();
    let whole = answer.ends_with("0\r\n\r\n");
    assert!(run == 0 || whole, "the answer was cut off: {answer:?}");
}

/// Sends an operator's call that changes nothing. Returns the status, or `None` without an answer.
async fn operator_call(address: SocketAddr) -> Option<u16> {
    let req = request(Method::DELETE, "/v1/evacuations/fko-hakata", "");
    Some(call(address, req).await?.status.as_u16())
}

async fn until_calls_succeed(replicas: &[Replica]) {
    for replica in replicas {
        wait_for("a successful operator's call", async || {
            (operator_call(replica.api_address()).await == Some(204)).then_some(())
        })
        .await
        .unwrap();
    }
}

/// Returns the index of the leader: operator's calls to other replicas wait while it is suspended.
async fn leader(replicas: &[Replica]) -> usize {
    wait_for("a leader", async || {
        for (index, replica) in replicas.iter().enumerate() {
            let other = &replicas[(index + 1) % replicas.len()];
            replica.freeze(FROZEN);
            tokio::time::sleep(Duration::from_millis(30)).await;
            let begun = Instant::now();
            let status = operator_call(other.api_address()).await;
            let waited = begun.elapsed() > FROZEN / 2;
            tokio::time::sleep(FROZEN).await;
            if waited && status == Some(204) {
                return Some(index);
            }
        }
        None
    })
    .await
    .unwrap()
}

/// Guards against an operator's call that gets no answer when the replica that accepted it is
/// stopped: the call is relayed to the leader, which is slow for a moment, and the replica ends
/// before the leader answers. The stop waited for connections of other processes of the deployment
/// and for calls that this replica had proposed itself, but not for the operators' listener.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_of_control_answers_calls_relayed_to_the_leader() {
    let mut deployment = Deployment::start(3);
    deployment.submit_routes(1, 0).await;
    let mut replicas = std::mem::take(&mut deployment.replicas);
    let mut answers = Vec::new();
    for _ in 0..4 {
        until_calls_succeed(&replicas).await;
        let leader = leader(&replicas).await;
        let index = (leader + 1) % replicas.len();
        replicas[leader].freeze(FROZEN);
        let follower = replicas.remove(index);
        tokio::time::sleep(Duration::from_millis(30)).await;
        let calling = tokio::spawn(operator_call(follower.api_address()));
        tokio::time::sleep(Duration::from_millis(100)).await;
        follower.begin_stop();
        answers.push(calling.await.unwrap());
        let settings = follower.ended().await;
        replicas.insert(index, Replica::start(settings));
    }
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

/// Guards against a control replica that does not stop while it joins: no other replica answers, a
/// stop is requested, and the request is checked only once the replica has joined, so that the
/// replica runs until it is killed.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_of_control_ends_a_joining_replica() {
    let mut deployment = Deployment::start(3);
    let seeds = std::mem::take(&mut deployment.replicas);
    let free = deployment.block.next_vm();
    let port = seeds[0].settings.listen.port();
    let mut settings = deployment.control_settings(SocketAddr::new(free, port));
    for seed in seeds {
        seed.stop().await;
    }
    if let Some(formation) = &mut settings.formation {
        formation.first_start = false;
    }
    let replica = Replica::start(settings);
    tokio::time::sleep(Duration::from_millis(500)).await;
    replica.begin_stop();
    let ended = tokio::time::timeout(Duration::from_secs(5), replica.ended()).await;
    assert!(ended.is_ok(), "the replica did not stop");
}
