//! Requests that end each backend server that begins to run them.

mod direct_support;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use direct_support::Answer;
use direct_support::Deployment;
use direct_support::Entry;
use direct_support::Replica;
use direct_support::backend::Behaviour;
use direct_support::call;
use direct_support::call_from;
use direct_support::crashing_backend::CrashRecord;
use direct_support::crashing_backend::CrashingBackend;
use direct_support::crashing_backend::POISON_PATH;
use direct_support::request;
use direct_support::until_served;
use heatherring_lib::settings::Security;
use heatherring_server::operator_client::OperatorClient;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::proto::LiftQuarantineRequest;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use tokio::task::JoinHandle;

/// Backend servers that may end under one request before it is known for what it is.
const ENDS: usize = 3;

/// Time within which all entry VMs must know.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);

/// Tries that may still reach a backend server later than that.
const LATE_TRIES: usize = 3;

/// Time for which the request comes again after that.
const COMES_AGAIN_FOR: Duration = Duration::from_secs(6);

/// Pause between two requests of one kind.
const PAUSE: Duration = Duration::from_millis(25);

fn lookup(path: &str, id: &str) -> Request<Full<Bytes>> {
    let mut req = request(Method::GET, path, "");
    let headers = req.headers_mut();
    headers.insert("heatherring-request-id", id.parse().unwrap());
    headers.insert("heatherring-object", path.parse().unwrap());
    req
}

async fn send(entry: SocketAddr, path: &str, id: String) -> Option<Answer> {
    call(entry, lookup(path, &id)).await
}

/// Sends a request as the caller at `source`.
async fn send_from(source: IpAddr, entry: SocketAddr, path: &str, id: String) -> Option<Answer> {
    call_from(Some(source), entry, lookup(path, &id)).await
}

fn addresses(entries: &[Entry]) -> Vec<SocketAddr> {
    let listens = entries.iter().map(|entry| &entry.settings.listen);
    listens.map(|listen| listen.callers).collect()
}

/// Sends the marked request again at once, at one entry VM after the other.
fn come_again(entries: Vec<SocketAddr>) -> JoinHandle<()> {
    come_again_from(vec![None], entries)
}

/// Does the same, from one address after the other.
fn come_again_from(sources: Vec<Option<IpAddr>>, entries: Vec<SocketAddr>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let sources = sources.iter().cycle();
        for (number, (entry, source)) in entries.iter().cycle().zip(sources).enumerate() {
            let req = lookup(POISON_PATH, &format!("marked-{number}"));
            // What it is told makes no difference to it.
            let _ = call_from(*source, *entry, req).await;
            tokio::time::sleep(PAUSE).await;
        }
    })
}

/// What callers of ordinary requests were told: when they sent them, and the answers.
#[derive(Default)]
struct Ordinary {
    told: Mutex<Vec<(Instant, Option<Answer>)>>,
}

impl Ordinary {
    fn send_on(self: &Arc<Self>, entries: Vec<SocketAddr>) -> JoinHandle<()> {
        let ordinary = Arc::clone(self);
        tokio::spawn(async move {
            for (number, entry) in entries.iter().cycle().enumerate() {
                tokio::spawn(Arc::clone(&ordinary).send_one(*entry, number));
                tokio::time::sleep(PAUSE).await;
            }
        })
    }

    async fn send_one(self: Arc<Self>, entry: SocketAddr, number: usize) {
        let at = Instant::now();
        let path = format!("/safe/{}", number % 40);
        let answer = send(entry, &path, format!("ordinary-{number}")).await;
        self.told.lock().unwrap().push((at, answer));
    }

    /// How many were sent later than `since`, and how many of them were answered.
    fn served_since(&self, since: Instant) -> (usize, usize) {
        let told = self.told.lock().unwrap();
        let late = told.iter().filter(|(at, _)| *at > since);
        let served = late
            .clone()
            .filter(|(_, answer)| is_served(answer.as_ref()));
        (late.count(), served.count())
    }

    fn refused_as(&self, reason: &str) -> usize {
        let told = self.told.lock().unwrap();
        let answers = told.iter().filter_map(|(_, answer)| answer.as_ref());
        answers.filter(|answer| answer.body == reason).count()
    }
}

fn is_served(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.status == StatusCode::OK)
}

/// Entry VMs, and backend servers that end under marked requests.
async fn start(
    deployment: &mut Deployment,
    record: &Arc<CrashRecord>,
) -> (Vec<Entry>, Vec<CrashingBackend>) {
    let names = ["entry-1", "entry-2", "entry-3"];
    let entries: Vec<Entry> = names.map(|name| deployment.start_entry(name)).into();
    let names = (1..=8).map(|number| format!("backend-{number}"));
    let backends = names.map(|name| CrashingBackend::start(deployment, &name, record));
    let backends = backends.collect();
    deployment.submit_routes(1, 0).await;
    for entry in &entries {
        until_served(entry).await;
    }
    (entries, backends)
}

/// Stops and starts each control replica in turn, so that the leader is among them, and then
/// replaces all entry VMs.
async fn restart_all(deployment: &mut Deployment, entries: Vec<Entry>) -> Vec<Entry> {
    for _ in 0..deployment.replicas.len() {
        let settings = deployment.replicas.remove(0).stop().await;
        deployment.replicas.push(Replica::start(settings));
        deployment.version().await;
    }
    for entry in entries {
        entry.stop().await;
    }
    let names = ["entry-4", "entry-5", "entry-6"];
    let entries: Vec<Entry> = names.map(|name| deployment.start_entry(name)).into();
    for entry in &entries {
        until_served(entry).await;
    }
    entries
}

/// Waits until as many backend servers have ended as may; returns from when on all entry VMs must
/// know of the request.
async fn until_bound(record: &CrashRecord) -> Instant {
    let ended = wait_for("backend servers that ended", async || {
        record.crash_time(ENDS)
    })
    .await;
    ended.unwrap() + KNOWN_WITHIN
}

/// Has the marked request come until all entry VMs must know of it; returns since when.
async fn make_known(record: &CrashRecord, entries: &[Entry]) -> Instant {
    let coming = come_again(addresses(entries));
    let bound = until_bound(record).await;
    tokio::time::sleep_until(bound.into()).await;
    coming.abort();
    bound
}

/// Checks how many tries have reached a backend server later than `bound`.
fn check_late_tries(record: &CrashRecord, bound: Instant) {
    let (attempts, ends) = (record.attempts_since(bound), record.crash_count());
    println!("{attempts} tries later than the bound, {ends} backend servers ended");
    assert!(
        attempts <= LATE_TRIES,
        "{attempts} tries; {ends} ended in all"
    );
}

/// Symptom: one caller's request takes two services down; whoever stands on the backend servers
/// that end with it loses theirs too. Sequence: a backend server ends when it begins to run the
/// request, which is sent to a second one at once; that one ends, and the caller is told that the
/// connection was lost. It sends the same request again, at another entry VM. Cause: what was
/// known of the request ended with each try, at each entry VM for itself; no count of backend
/// servers that ended under it was kept anywhere. Evidence: 32 of 32 tries later than the bound
/// reached backend servers before there was a verdict that all entry VMs share, none since.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_ends_few_backend_servers() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    let ordinary = Arc::new(Ordinary::default());
    let sending = ordinary.send_on(addresses(&entries));
    let coming = come_again(addresses(&entries));
    let bound = until_bound(&record).await;
    tokio::time::sleep_until((bound + COMES_AGAIN_FOR).into()).await;
    coming.abort();
    sending.abort();
    check_late_tries(&record, bound);
    let (sent, served) = ordinary.served_since(bound);
    println!("{served} of {sent} ordinary requests served");
    assert!(served * 100 >= sent * 95, "{served} of {sent} served");
    assert_eq!(ordinary.refused_as("quarantined"), 0);
}

/// Symptom: a request goes on ending backend servers though each of them is known to have ended
/// under it. Sequence: it comes again from another address each time, in whichever region.
/// Cause: what was known of it was known of one address alone. Evidence: 24 tries later than the
/// bound before requests were told apart by content, none since; ends from several addresses
/// quarantine it for all.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_is_known_from_any_address() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    let sources = (0..16).map(|_| Some(deployment.block.next_vm())).collect();
    let coming = come_again_from(sources, addresses(&entries));
    let bound = until_bound(&record).await;
    tokio::time::sleep_until((bound + COMES_AGAIN_FOR).into()).await;
    coming.abort();
    check_late_tries(&record, bound);
}

/// Symptom: a request that was refused for what it does ends backend servers again. Sequence:
/// control replicas and entry VMs are restarted in turn, and it comes again. Cause: what is known
/// of it would live in processes alone. The verdict is replicated, and comes with the first view
/// of an entry VM.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_is_known_after_restarts() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    let bound = make_known(&record, &entries).await;
    let entries = restart_all(&mut deployment, entries).await;
    let coming = come_again(addresses(&entries));
    tokio::time::sleep(COMES_AGAIN_FOR).await;
    coming.abort();
    check_late_tries(&record, bound);
}

/// Connections that break are no evidence while the backend server lives: answers are garbled,
/// connections reset.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_is_none_that_breaks_connections_alone() {
    let mut deployment = Deployment::start(3);
    let entry = deployment.start_entry("entry-1");
    let mut backends = Vec::new();
    for number in 1..=4 {
        let backend = deployment.start_backend(&format!("backend-{number}")).await;
        deployment.announce(&backend, 1, "Ready").await;
        backends.push(backend);
    }
    deployment.submit_routes(1, 0).await;
    until_served(&entry).await;
    for backend in &backends {
        backend.behave(Behaviour::Break);
    }
    let mut told = Vec::new();
    for number in 0..20 {
        let entry = entry.settings.listen.callers;
        let answer = send(entry, POISON_PATH, format!("marked-{number}")).await;
        told.push(answer.unwrap().body);
    }
    assert!(
        told.iter().any(|body| body == "connection_lost"),
        "{told:?}"
    );
    assert!(told.iter().all(|body| body != "quarantined"), "{told:?}");
}

/// An operator sees which request is in quarantine and for which backend servers, and lets it go.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_is_shown_and_lifted() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    make_known(&record, &entries).await;
    let replicas = deployment.replicas.iter().map(|r| r.settings.listen);
    let security = PeerSecurity::from_settings(&Security::OpenLoopback).unwrap();
    let operator = OperatorClient::new(replicas.collect(), security, KNOWN_WITHIN);
    let suspects = operator.quarantine().await.unwrap().suspects;
    let quarantined = suspects
        .iter()
        .find(|one| one.verdict == "quarantined_from");
    let quarantined = quarantined.unwrap();
    assert!(quarantined.ended.len() >= ENDS, "{:?}", quarantined.ended);
    let lift = LiftQuarantineRequest {
        request: quarantined.request.clone(),
    };
    assert!(operator.lift_quarantine(&lift).await.unwrap().known);
    wait_for("the request to be let through", async || {
        let told = send(addresses(&entries)[0], POISON_PATH, "lifted".to_owned()).await?;
        (told.body != "quarantined").then_some(())
    })
    .await
    .unwrap();
}

/// A caller whose request has the path and body of one that ends backend servers isn't refused
/// for it: only the caller that sent that one is.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_of_one_caller_refuses_no_other() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    make_known(&record, &entries).await;
    let entry = addresses(&entries)[0];
    let refused = send(entry, POISON_PATH, "same-caller".to_owned())
        .await
        .unwrap();
    assert_eq!(refused.body, "quarantined");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let other = deployment.block.next_vm();
    let told = send_from(other, entry, POISON_PATH, "other-caller".to_owned()).await;
    assert!(told.is_some_and(|answer| answer.body != "quarantined"));
}
