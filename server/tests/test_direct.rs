//! Direct dispatch as a whole: control that forms itself, entry VMs, backend servers.

mod direct_support;

use std::fs;
use std::time::Duration;
use std::time::Instant;

use direct_support::Deployment;
use direct_support::Entry;
use direct_support::HOST;
use direct_support::Replica;
use direct_support::backend::Backend;
use direct_support::backend::Behaviour;
use direct_support::call;
use direct_support::request;
use direct_support::until_served;
use heatherring_lib::follow_lag::MAX_IN_FORCE_DELAY;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;

/// Waits until the entry VM knows all of `backends`. An announcement is confirmed before
/// entry VMs have learned of it; objects are spread over those that they know.
async fn until_known(entry: &Entry, backends: &[&Backend]) {
    let mut number = 0;
    wait_for("requests at each backend server", async || {
        number += 1;
        entry.call(Method::GET, &format!("/safe/{number}")).await?;
        let all = backends.iter().all(|backend| backend.runs() > 0);
        all.then_some(())
    })
    .await
    .unwrap();
}

/// Starts an entry VM and two backend servers that it knows.
async fn start_two(deployment: &mut Deployment) -> (Entry, [Backend; 2]) {
    let entry = deployment.start_entry("entry-1");
    let first = deployment.start_backend("backend-1").await;
    let second = deployment.start_backend("backend-2").await;
    deployment.submit_routes(1, 0).await;
    deployment.announce(&first, 1, "Ready").await;
    deployment.announce(&second, 1, "Ready").await;
    until_known(&entry, &[&first, &second]).await;
    (entry, [first, second])
}

#[tokio::test(flavor = "multi_thread")]
async fn test_direct_whole_path() {
    let mut deployment = Deployment::start(4);
    let entry = deployment.start_entry("entry-1");
    let backend = deployment.start_backend("backend-1").await;
    let before = wait_for("a refusal", async || {
        entry.call(Method::GET, "/safe/x").await
    });
    assert_eq!(
        before.await.unwrap().status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert!(!entry.is_ready().await);
    deployment.submit_routes(3, 0).await;
    deployment.announce(&backend, 1, "Ready").await;
    until_served(&entry).await;
    assert!(entry.is_ready().await);
    let unknown = entry.call(Method::GET, "/other/x").await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let look_up = format!("/v1/entries?host={HOST}&region=fukuoka");
    let named = wait_for("a look-up", async || {
        let listen = entry.settings.listen.look_ups.unwrap();
        let answer = call(listen, request(Method::GET, &look_up, "")).await?;
        (answer.status == StatusCode::OK).then_some(answer)
    });
    let text = String::from_utf8(named.await.unwrap().body.to_vec()).unwrap();
    assert!(
        text.contains(&entry.settings.listen.callers.to_string()),
        "{text}"
    );
    entry.stop().await;
}

/// Symptom: after a loss of all power callers are refused for a second for want of a view, come
/// back all together, and are refused for want of room. Sequence: an entry VM listens before
/// control has a leader; the view comes half a second later. Cause: requests were refused at
/// once although what they lacked was on its way.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_waits_a_little_for_the_first_view() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry("entry-1");
    let backend = deployment.start_backend("backend-1").await;
    deployment.announce(&backend, 1, "Ready").await;
    wait_for("a refusal", async || {
        entry.call(Method::GET, "/safe/x").await
    })
    .await
    .unwrap();
    let asking = entry.call(Method::GET, "/safe/y");
    let (answer, ()) = tokio::join!(asking, deployment.submit_routes(1, 0));
    assert_eq!(answer.unwrap().status, StatusCode::OK);
}

/// Symptom: a lookup that was answered in time at its backend server gets no answer. Sequence: it
/// stands behind another one on its connection, whose caller's time runs out; the answer that
/// says so is on its way when the caller closes the connection. Cause: what is told at a
/// caller's deadline comes after it. Backend servers are given less than the caller has, and
/// nothing that hasn't come by then is waited for.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_ends_before_the_callers_deadline() {
    let mut deployment = Deployment::start(3);
    let (entry, [first, second]) = start_two(&mut deployment).await;
    let mut req = request(Method::GET, "/safe/x", "");
    let headers = req.headers_mut();
    headers.insert("heatherring-request-id", "id-x".parse().unwrap());
    headers.insert("heatherring-deadline-ms", "2000".parse().unwrap());
    let answer = call(entry.settings.listen.callers, req).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let told = [first.last_deadline_ms(), second.last_deadline_ms()];
    assert!(
        told.iter().any(|told| (1..=1_960).contains(told)),
        "{told:?}"
    );
}

/// Symptom: a manifest that was acknowledged is gone, or two are in force.
///
/// Sequence: a founder loses its disk and comes back at its address with an empty folder;
/// then another founder is stopped.
///
/// Cause: it would found the cluster anew, or count as its former self. It joins under a
/// fresh identity and holds what was acknowledged before it counts.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_control_takes_a_lost_disk_back_as_a_new_replica() {
    let mut deployment = Deployment::start(3);
    deployment.submit_routes(1, 0).await;
    let lost = deployment.replicas.remove(0).stop().await;
    let identity = fs::read(lost.data_folder.join("identity")).unwrap();
    fs::remove_dir_all(&lost.data_folder).unwrap();
    let mut settings = deployment.control_settings(lost.listen);
    settings.formation.as_mut().unwrap().first_start = false;
    deployment.replicas.push(Replica::start(settings));
    let file = lost.data_folder.join("identity");
    let fresh = wait_for("a fresh identity", async || fs::read(&file).ok());
    assert_ne!(fresh.await.unwrap(), identity);
    deployment.submit_routes(2, 1).await;
    // With the new replica as a voter, the loss of another one is borne.
    wait_for("an answer of the new replica", async || {
        let replica = deployment.replicas.last()?;
        let answer = call(
            replica.api_address(),
            request(Method::GET, "/v1/routes", ""),
        )
        .await?;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await
    .unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.replicas.remove(0).stop().await;
    assert_eq!(deployment.version().await, 2);
}

/// Symptom: a booking lands twice.
///
/// Sequence: a backend server runs a request and breaks the connection before it answers.
///
/// Cause: the request is sent again. Only an idempotent one is; any other ends as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_sends_again_only_what_is_idempotent() {
    let mut deployment = Deployment::start(3);
    let (entry, [first, second]) = start_two(&mut deployment).await;
    for behaviour in [Behaviour::Break, Behaviour::Foreign] {
        first.behave(behaviour);
        second.behave(behaviour);
        let before = first.runs() + second.runs();
        let once = entry.call(Method::POST, "/once/booking").await.unwrap();
        assert_eq!(once.status, StatusCode::BAD_GATEWAY);
        assert_eq!(first.runs() + second.runs(), before + 1);
        let twice = entry.call(Method::GET, "/safe/search").await.unwrap();
        assert_eq!(twice.status, StatusCode::BAD_GATEWAY);
        assert_eq!(first.runs() + second.runs(), before + 3);
    }
}

/// A refusal says when to come back, and is true: nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_refuses_what_all_turned_away() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = deployment.start_served().await;
    backend.behave(Behaviour::Shed);
    let before = backend.runs();
    let refused = entry.call(Method::POST, "/once/booking").await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after.is_some());
    assert_eq!(backend.runs(), before);
}

/// Symptom: a backend server that leaves gets new requests for seconds.
///
/// Sequence: it says that it leaves, and is told that this is known.
///
/// Cause: it is told before entry VMs can know. The confirmation waits for the commit, and
/// entry VMs follow within a second.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_leaves_a_draining_backend_server_alone() {
    let mut deployment = Deployment::start(3);
    let (entry, [first, _second]) = start_two(&mut deployment).await;
    deployment.announce(&first, 2, "Draining").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = first.runs();
    for number in 0..20 {
        let path = format!("/safe/{number}");
        let answer = entry.call(Method::GET, &path).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(first.runs(), before);
}

/// Symptom: backend servers crash under requests of entry VMs that control has left.
///
/// Sequence: control goes; the place is evacuated as far as others know, and its backend
/// servers become cold; the entry VM goes on as before.
///
/// Cause: only control told it which backend servers are cold. All of 30 requests within a
/// second were sent to one that bears 10.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_spares_a_cold_backend_server_without_control() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry("entry-1");
    let backend = deployment.start_backend("backend-1").await;
    deployment.submit_routes(1, 0).await;
    deployment.announce(&backend, 1, "Ready").await;
    until_known(&entry, &[&backend]).await;
    for replica in std::mem::take(&mut deployment.replicas) {
        replica.stop().await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    wait_for("an answer without control", async || {
        let answer = entry.call(Method::GET, "/safe/warm").await?;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await
    .unwrap();
    backend.become_cold(60_000);
    // The second time that it is asked, its first answer is known.
    wait_for("the question whether it is cold", async || {
        (backend.cold_replies() >= 2).then_some(())
    })
    .await
    .unwrap();
    let before = backend.runs();
    let begun = Instant::now();
    for number in 0..30 {
        let path = format!("/safe/{number}");
        assert!(entry.call(Method::GET, &path).await.is_some());
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let runs = backend.runs() - before;
    let borne = 1.0 + 10.0 * begun.elapsed().as_secs_f64();
    assert!(runs > 0 && f64::from(runs) <= borne, "{runs} of {borne}");
}

/// Guards against a 404 for a route that was added while the entry VM heard nothing of control.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_out_of_touch_no_route_is_unknown_for_certain() {
    let mut deployment = Deployment::start(1);
    let (entry, _backend) = deployment.start_served().await;
    let unknown = entry.call(Method::GET, "/added/x").await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    deployment.replicas.pop().unwrap().stop().await;
    tokio::time::sleep(MAX_IN_FORCE_DELAY).await;
    wait_for("the entry VM isn't sure any more", async || {
        let unknown = entry.call(Method::GET, "/added/x").await?;
        (unknown.status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await
    .unwrap();
    let unknown = entry.call(Method::GET, "/added/x").await.unwrap();
    assert!(unknown.retry_after.is_some());
    let known = entry.call(Method::GET, "/safe/x").await.unwrap();
    assert_eq!(known.status, StatusCode::OK, "what is known is served on");
    entry.stop().await;
}
