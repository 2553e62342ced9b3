//! Direct dispatch end to end: control replicas that form a cluster, entry VMs, backend servers.

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
use heatherring_lib::follow_lag::DEFAULT_IN_FORCE_DELAY;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;

/// Waits until the entry VM has sent requests to all of `backends`. An announcement is confirmed
/// before entry VMs receive it; an entry VM spreads objects over the backend servers that it knows.
async fn until_known(entry: &Entry, backends: &[&Backend]) {
    let mut number = 0;
    wait_for("a request at each backend server", async || {
        number += 1;
        entry.call(Method::GET, &format!("/safe/{number}")).await?;
        let all = backends.iter().all(|backend| backend.runs() > 0);
        all.then_some(())
    })
    .await
    .unwrap();
}

/// Starts an entry VM and two backend servers, and waits until both receive requests.
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

/// Guards against refusals after a power loss of the whole deployment: an entry VM listens before
/// control has a leader, and receives its first view half a second later. If it refuses requests
/// at once, all callers retry together after a second and are refused for lack of capacity.
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
    let calling = entry.call(Method::GET, "/safe/y");
    let (answer, ()) = tokio::join!(calling, deployment.submit_routes(1, 0));
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

/// Guards against the loss of a lookup's answer that its backend server gave in time: the lookup
/// is pipelined behind a request that reaches its deadline, and the caller closes the connection
/// before the answer to that request arrives. An answer sent at the deadline arrives too late, so
/// backend servers are given less time than the caller has, and the entry VM waits no longer.
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
    let deadlines = [first.last_deadline_ms(), second.last_deadline_ms()];
    assert!(
        deadlines.iter().any(|ms| (1..=1_960).contains(ms)),
        "{deadlines:?}"
    );
}

/// Guards against the loss of an acknowledged manifest, and against two manifests in force: a
/// founding replica loses its disk and restarts at its address with an empty folder, then another
/// founder is stopped. The replica must neither found a second cluster nor count as the voter that
/// it was: it joins under a new identity, and votes only once it has the acknowledged entries.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_control_replica_with_a_lost_disk_rejoins_as_a_new_one() {
    let mut deployment = Deployment::start(3);
    deployment.submit_routes(1, 0).await;
    let lost = deployment.replicas.remove(0).stop().await;
    let identity = fs::read(lost.data_folder.join("identity")).unwrap();
    fs::remove_dir_all(&lost.data_folder).unwrap();
    let mut settings = deployment.control_settings(lost.listen);
    settings.formation.as_mut().unwrap().first_start = false;
    deployment.replicas.push(Replica::start(settings));
    let file = lost.data_folder.join("identity");
    let fresh = wait_for("a new identity", async || fs::read(&file).ok());
    assert_ne!(fresh.await.unwrap(), identity);
    deployment.submit_routes(2, 1).await;
    // With the new replica as a voter, the cluster tolerates the loss of another one.
    wait_for("an answer from the new replica", async || {
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

/// Guards against the loss of an acknowledged manifest: a founder that has lost its disk founds again
/// with the identity under which it acknowledged entries that it no longer has, because its settings
/// still describe the first start.
#[rstest]
#[case::all_others_run(3, 0)]
#[case::only_a_minority_runs(3, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_founder_with_a_lost_disk_never_founds_again(
    #[case] founders: usize,
    #[case] stopped: usize,
) {
    let mut deployment = Deployment::start(founders);
    deployment.submit_routes(1, 0).await;
    let lost = deployment.replicas.remove(0).stop().await;
    let file = lost.data_folder.join("identity");
    let identity = fs::read(&file).unwrap();
    fs::remove_dir_all(&lost.data_folder).unwrap();
    let mut away = Vec::new();
    for _ in 0..stopped {
        away.push(deployment.replicas.remove(0).stop().await);
    }
    deployment.replicas.push(Replica::start(lost));
    // Founding takes no longer than that.
    tokio::time::sleep(Duration::from_secs(2)).await;
    if stopped > 0 {
        assert!(!file.exists());
    }
    for settings in away {
        deployment.replicas.push(Replica::start(settings));
    }
    let fresh = wait_for("a new identity", async || fs::read(&file).ok());
    assert_ne!(fresh.await.unwrap(), identity);
    deployment.submit_routes(2, 1).await;
    assert_eq!(deployment.version().await, 2);
}

/// Guards against a booking that is made twice: a backend server runs a request and closes the
/// connection before it answers, or answers with another request's ID. Only an idempotent request
/// may be sent again; any other ends as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_resends_only_idempotent_requests() {
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

/// Checks that a request that all backend servers refused gets a `Retry-After`, and was not run.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_refuses_what_all_backend_servers_refuse() {
    let mut deployment = Deployment::start(3);
    let (entry, backend) = deployment.start_served().await;
    backend.behave(Behaviour::Shed);
    let before = backend.runs();
    let refused = entry.call(Method::POST, "/once/booking").await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after.is_some());
    assert_eq!(backend.runs(), before);
}

/// Guards against new requests to a draining backend server for seconds after its announcement
/// was confirmed, because the confirmation came before entry VMs could know. The confirmation waits
/// for the commit, and entry VMs apply it within a second.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_leaves_a_draining_backend_server_alone() {
    let mut deployment = Deployment::start(3);
    let (entry, [first, second]) = start_two(&mut deployment).await;
    deployment.announce(&first, 2, "Draining").await;
    let calling = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = first.runs();
        for number in 0..20 {
            let path = format!("/safe/{number}");
            let answer = entry.call(Method::GET, &path).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        }
        assert_eq!(first.runs(), before);
    };
    deployment.while_announced(&[&second], 2, calling).await;
}

/// Guards against backend servers that crash under the requests of an entry VM without contact to
/// control: the place is evacuated in the view of all others, its backend servers become cold, and
/// the entry VM continues at the same rate because it learns only from control which backend
/// servers are cold. All of 30 requests within a second were sent to one that can take 10.
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_limits_requests_to_a_cold_backend_server_without_control() {
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
    // At the second cold query the entry VM has the reply to the first.
    wait_for("two cold replies", async || {
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
    let allowed = 1.0 + 10.0 * begun.elapsed().as_secs_f64();
    assert!(
        runs > 0 && f64::from(runs) <= allowed,
        "{runs} requests were run, {allowed} are allowed"
    );
}

/// Guards against a 404 for a route that was added while the entry VM had no contact to control,
/// whatever the time within which it is to be in force.
#[rstest]
#[case::short_bound(Duration::from_millis(1_500))]
#[case::default_bound(DEFAULT_IN_FORCE_DELAY)]
#[tokio::test(flavor = "multi_thread")]
async fn test_direct_without_control_an_unknown_route_is_not_a_404(#[case] in_force: Duration) {
    let mut deployment = Deployment::start(1);
    deployment.in_force_within = in_force;
    let (entry, _backend) = deployment.start_served().await;
    let unknown = entry.call(Method::GET, "/added/x").await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    deployment.replicas.pop().unwrap().stop().await;
    tokio::time::sleep(in_force).await;
    let unknown = entry.call(Method::GET, "/added/x").await.unwrap();
    assert_eq!(unknown.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(unknown.retry_after.is_some());
    let known = entry.call(Method::GET, "/safe/x").await.unwrap();
    assert_eq!(
        known.status,
        StatusCode::OK,
        "known routes are still served"
    );
    entry.stop().await;
}
