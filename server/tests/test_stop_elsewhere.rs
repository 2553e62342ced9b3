//! Planned stops: work that is begun or taken and can't end before the process does, in places
//! that `test_direct_stop` doesn't reach.

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

/// Time that a streamed answer takes, longer than what is left at [`LATE_START_DELAY`].
const STREAMED: Duration = Duration::from_secs(2);

/// Time for which the leader is frozen: less than the shortest silence that starts an election.
const FROZEN: Duration = Duration::from_millis(400);

/// Symptom: a request was run and answered by its backend server after its entry VM had been
/// asked to stop, and its caller got no answer. Sequence: a lookup that hangs is under way when
/// the stop begins; a request that may run twice comes behind it on the connection, is passed on
/// after the stop and answered at once; its answer waits for the one before it, and is lost with
/// the process. Cause: whether it can end is asked by the time of its own work, not by whether
/// its answer can leave; it begins before its turn also once the process stops.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_begins_nothing_whose_answer_waits_behind_another() {
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
        "run and not answered: {answers:?}"
    );
}

/// Symptom: a request that was sent after the end of taking requests was run by a backend server
/// and cut off with the process. Sequence: a connection is opened before the stop and nothing is
/// sent on it, or the beginning of a head; the rest of its first request comes a moment after the
/// time for requests is over, 3.0 to 3.2 s after the signal with 6 s of grace; it is passed on.
/// Cause: the rest of a first head is waited for half a second longer so that it gets an answer,
/// and the request is then run like any other.
#[rstest]
#[case::nothing_sent_before(0)]
#[case::head_begun_before(10)]
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_runs_no_first_request_after_the_time_for_it(#[case] sent_before: usize) {
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
    assert_eq!(backend.runs(), ran, "it was run: {answer:?}");
}

/// Symptom: a request that was read whole before the stop ended without any answer. Sequence: an
/// entry VM has no manifest yet; a request waits up to 0.8 s for it; the entry VM is asked to
/// stop and ends sooner than that. Cause: the wait for the first view doesn't look at the stop,
/// as the wait for a body does.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_answers_what_waits_for_the_first_view() {
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

/// Runs a backend server whose answers to actions are streamed for [`STREAMED`], with their heads
/// at once. Counts the actions.
async fn stream_answers(listener: TcpListener, actions: Arc<AtomicU32>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(stream_on(stream, Arc::clone(&actions)));
    }
}

async fn stream_on(mut stream: TcpStream, actions: Arc<AtomicU32>) -> std::io::Result<()> {
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

/// Symptom: an action's answer broke off in the middle with the end of its entry VM. Sequence:
/// answers of its route are streamed for 2 s; the end of its body comes 1.1 s before the process
/// ends; it is passed on. Cause: the time that a request is expected to take is learned up to
/// the head of an answer that isn't read whole.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_begins_no_answer_that_streams_beyond_it() {
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
        let learned = actions.load(Ordering::SeqCst);
        let mut stream = connect(&entry).await;
        let action = post("/once/y", "body");
        let (begun, rest) = action.split_at(action.len() - 1);
        stream.write_all(begun.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        entry.begin_stop();
        tokio::time::sleep(LATE_START_DELAY).await;
        stream.write_all(rest.as_bytes()).await.unwrap();
        let answer = read_all(&mut stream).await;
        (actions.load(Ordering::SeqCst) - learned, answer)
    };
    let (run, answer) = with_announcements(&deployment, &backend, running).await;
    entry.ended().await;
    serving.abort();
    let whole = answer.ends_with("0\r\n\r\n");
    assert!(run == 0 || whole, "cut off: {answer:?}");
}

/// Sends an order that changes nothing; returns its answer's status, nothing if there was none.
async fn operator_call(address: SocketAddr) -> Option<u16> {
    let req = request(Method::DELETE, "/v1/evacuations/fko-hakata", "");
    Some(call(address, req).await?.status.as_u16())
}

async fn until_in_order(replicas: &[Replica]) {
    for replica in replicas {
        wait_for("an order", async || {
            (operator_call(replica.api_address()).await == Some(204)).then_some(())
        })
        .await
        .unwrap();
    }
}

/// Returns which replica leads: while it is frozen, orders wait.
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

/// Symptom: an operator's order that had been read got no answer when the replica that took it
/// was asked to stop. Sequence: the order is passed on to the leader, which is slow for a moment;
/// the replica is asked to stop; it ends before the leader's answer is there. Cause: the stop
/// waits for the connections of other processes of the system, and for orders that this replica
/// has proposed itself, but not for the listener that takes orders.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_of_control_answers_orders_that_the_leader_decides() {
    let mut deployment = Deployment::start(3);
    deployment.submit_routes(1, 0).await;
    let mut replicas = std::mem::take(&mut deployment.replicas);
    let mut answers = Vec::new();
    for _ in 0..4 {
        until_in_order(&replicas).await;
        let leader = leader(&replicas).await;
        let index = (leader + 1) % replicas.len();
        replicas[leader].freeze(FROZEN);
        let follower = replicas.remove(index);
        tokio::time::sleep(Duration::from_millis(30)).await;
        let ordering = tokio::spawn(operator_call(follower.api_address()));
        tokio::time::sleep(Duration::from_millis(100)).await;
        follower.begin_stop();
        answers.push(ordering.await.unwrap());
        let settings = follower.ended().await;
        replicas.insert(index, Replica::start(settings));
    }
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

/// Symptom: a control replica that was asked to stop while it starts goes on until it is ended by
/// force. Sequence: it joins, and no replica answers; it is asked to stop. Cause: the request to
/// stop is looked at only once the replica has joined.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_of_control_ends_one_that_joins() {
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
    assert!(ended.is_ok(), "it goes on");
}
