//! Poison requests: each crashes the backend server that runs it.

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

/// Crashes under one request after which it must be put in quarantine.
const CRASHES: usize = 3;

/// Time after the last allowed crash within which all entry VMs must know of the quarantine.
const MAX_QUARANTINE_DELAY: Duration = Duration::from_secs(4);

/// Attempts that may still reach a backend server after that time.
const MAX_LATE_ATTEMPTS: usize = 3;

/// Time for which the request is sent repeatedly after that.
const RESEND_TIME: Duration = Duration::from_secs(6);

/// Interval between two poison requests, and between two ordinary ones.
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

/// Sends the poison request repeatedly, to the entry VMs in turn.
fn send_poison(entries: Vec<SocketAddr>) -> JoinHandle<()> {
    send_poison_from(vec![None], entries)
}

/// Like [`send_poison`], from the given addresses in turn.
fn send_poison_from(sources: Vec<Option<IpAddr>>, entries: Vec<SocketAddr>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let sources = sources.iter().cycle();
        for (number, (entry, source)) in entries.iter().cycle().zip(sources).enumerate() {
            let req = lookup(POISON_PATH, &format!("marked-{number}"));
            // The caller retries whatever the answer is.
            let _ = call_from(*source, *entry, req).await;
            tokio::time::sleep(PAUSE).await;
        }
    })
}

/// Ordinary requests: the time at which each was sent, and its answer.
#[derive(Default)]
struct OrdinaryRequests {
    answers: Mutex<Vec<(Instant, Option<Answer>)>>,
}

impl OrdinaryRequests {
    /// Sends requests continuously, to the entry VMs in turn.
    fn send_continuously(self: &Arc<Self>, entries: Vec<SocketAddr>) -> JoinHandle<()> {
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
        self.answers.lock().unwrap().push((at, answer));
    }

    /// Returns how many were sent after `since`, and how many of these were answered with 200.
    fn served_since(&self, since: Instant) -> (usize, usize) {
        let answers = self.answers.lock().unwrap();
        let late = answers.iter().filter(|(at, _)| *at > since);
        let served = late
            .clone()
            .filter(|(_, answer)| is_served(answer.as_ref()));
        (late.count(), served.count())
    }

    fn refused_as(&self, reason: &str) -> usize {
        let answers = self.answers.lock().unwrap();
        let answers = answers.iter().filter_map(|(_, answer)| answer.as_ref());
        answers.filter(|answer| answer.body == reason).count()
    }
}

fn is_served(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.status == StatusCode::OK)
}

/// Starts entry VMs, and backend servers that crash under poison requests.
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

/// Restarts each control replica in turn, the leader included, and then replaces all entry VMs.
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

/// Waits for [`CRASHES`] crashes. Returns the time from which all entry VMs must know of the
/// quarantine.
async fn quarantine_deadline(record: &CrashRecord) -> Instant {
    let crashed = wait_for("crashes of backend servers", async || {
        record.crash_time(CRASHES)
    })
    .await;
    crashed.unwrap() + MAX_QUARANTINE_DELAY
}

/// Sends the poison request until all entry VMs must know of its quarantine. Returns that time.
async fn put_in_quarantine(record: &CrashRecord, entries: &[Entry]) -> Instant {
    let poison = send_poison(addresses(entries));
    let bound = quarantine_deadline(record).await;
    tokio::time::sleep_until(bound.into()).await;
    poison.abort();
    bound
}

/// Checks how many attempts have reached a backend server after `bound`.
fn check_late_attempts(record: &CrashRecord, bound: Instant) {
    let (attempts, crashes) = (record.attempts_since(bound), record.crash_count());
    println!("{attempts} attempts after the deadline, {crashes} backend servers crashed");
    assert!(
        attempts <= MAX_LATE_ATTEMPTS,
        "{attempts} attempts after the deadline, {crashes} backend servers crashed in all"
    );
}

/// Guards against one caller's request that takes two services down, with all requests in flight on
/// the crashed backend servers. A backend server crashes when it runs the request; the request is
/// sent to a second one at once, which crashes too; the caller is told that the connection was lost
/// and sends it again through another entry VM. Each entry VM forgot the request after each
/// attempt, and nothing counted the crashes. Before entry VMs shared a verdict, 32 of 32 attempts
/// after the deadline reached backend servers; none since.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_crashes_few_backend_servers() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    let ordinary = Arc::new(OrdinaryRequests::default());
    let sending = ordinary.send_continuously(addresses(&entries));
    let poison = send_poison(addresses(&entries));
    let bound = quarantine_deadline(&record).await;
    tokio::time::sleep_until((bound + RESEND_TIME).into()).await;
    poison.abort();
    sending.abort();
    check_late_attempts(&record, bound);
    let (sent, served) = ordinary.served_since(bound);
    println!("{served} of {sent} ordinary requests served");
    assert!(served * 100 >= sent * 95, "{served} of {sent} served");
    assert_eq!(ordinary.refused_as("quarantined"), 0);
}

/// Guards against a request that continues to crash backend servers because it is sent from another
/// address each time, in any region, and crashes were counted per address. Before requests were
/// identified by content, 24 attempts after the deadline reached backend servers; none since.
/// Crashes under requests from several addresses put the request in quarantine for all callers.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_is_known_from_any_address() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    let sources = (0..16).map(|_| Some(deployment.block.next_vm())).collect();
    let poison = send_poison_from(sources, addresses(&entries));
    let bound = quarantine_deadline(&record).await;
    tokio::time::sleep_until((bound + RESEND_TIME).into()).await;
    poison.abort();
    check_late_attempts(&record, bound);
}

/// Guards against a quarantined request that crashes backend servers again after control replicas
/// and entry VMs were restarted in turn, because its verdict was only in memory. The verdict is
/// replicated, and part of an entry VM's first view.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_is_known_after_restarts() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    let bound = put_in_quarantine(&record, &entries).await;
    let entries = restart_all(&mut deployment, entries).await;
    let poison = send_poison(addresses(&entries));
    tokio::time::sleep(RESEND_TIME).await;
    poison.abort();
    check_late_attempts(&record, bound);
}

/// Guards against a quarantine for broken connections alone, as from invalid answers or resets,
/// while the backend servers keep running.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_ignores_broken_connections_alone() {
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
    let mut reasons = Vec::new();
    for number in 0..20 {
        let entry = entry.settings.listen.callers;
        let answer = send(entry, POISON_PATH, format!("marked-{number}")).await;
        reasons.push(answer.unwrap().body);
    }
    assert!(
        reasons.iter().any(|body| body == "connection_lost"),
        "{reasons:?}"
    );
    assert!(
        reasons.iter().all(|body| body != "quarantined"),
        "{reasons:?}"
    );
}

/// Checks that an operator sees which request is in quarantine and which backend servers crashed
/// under it, and can lift the quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_is_shown_and_lifted() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    put_in_quarantine(&record, &entries).await;
    let replicas = deployment.replicas.iter().map(|r| r.settings.listen);
    let security = PeerSecurity::from_settings(&Security::OpenLoopback).unwrap();
    let operator = OperatorClient::new(replicas.collect(), security, MAX_QUARANTINE_DELAY);
    let suspects = operator.quarantine().await.unwrap().suspects;
    let quarantined = suspects
        .iter()
        .find(|one| one.verdict == "quarantined_from");
    let quarantined = quarantined.unwrap();
    assert!(
        quarantined.ended.len() >= CRASHES,
        "{:?}",
        quarantined.ended
    );
    let lift = LiftQuarantineRequest {
        request: quarantined.request.clone(),
    };
    assert!(operator.lift_quarantine(&lift).await.unwrap().known);
    wait_for("the quarantine to be lifted", async || {
        let answer = send(addresses(&entries)[0], POISON_PATH, "lifted".to_owned()).await?;
        (answer.body != "quarantined").then_some(())
    })
    .await
    .unwrap();
}

/// Guards against the refusal of another caller whose request has the path and body of a poison
/// request: crashes under requests of one caller put only that caller's request in quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn test_poison_request_of_one_caller_refuses_no_other() {
    let record = Arc::new(CrashRecord::default());
    let mut deployment = Deployment::start(3);
    let (entries, _backends) = start(&mut deployment, &record).await;
    put_in_quarantine(&record, &entries).await;
    let entry = addresses(&entries)[0];
    let refused = send(entry, POISON_PATH, "same-caller".to_owned())
        .await
        .unwrap();
    assert_eq!(refused.body, "quarantined");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let other = deployment.block.next_vm();
    let answer = send_from(other, entry, POISON_PATH, "other-caller".to_owned()).await;
    assert!(answer.is_some_and(|answer| answer.body != "quarantined"));
}
