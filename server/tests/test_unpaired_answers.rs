//! Answers that belong to another request, to none, or promise what they do not prove: what a
//! caller is told over an entry VM, and what ran.

mod direct_support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use direct_support::Deployment;
use direct_support::Entry;
use direct_support::call;
use direct_support::request;
use direct_support::scripted_backend::Act;
use direct_support::scripted_backend::Arrived;
use direct_support::scripted_backend::Ledger;
use direct_support::scripted_backend::ScriptedBackend;
use direct_support::scripted_backend::answer;
use heatherring_lib::answer_pairing::MAX_CARRIED_REQUESTS;
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use tokio::time::sleep;

/// Statuses that promise a caller that its action has not run and never will.
const PROMISES: [u16; 4] = [503, 429, 408, 421];

const NOT_RUN: &str = "heatherring-outcome: not_run";

/// The statement of a backend server that it leaves.
const LEAVING: &str = "heatherring-leaving: 1";

const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Size of a body that backend servers do not receive as a whole before they read it.
const LONG: usize = 1 << 20;

/// Actions of one test.
const ACTIONS: usize = 24;

/// Time in which a backend server still reads what was sent to it.
const SETTLE: Duration = Duration::from_millis(300);

/// What a caller was told of its request.
#[derive(Debug)]
struct Told {
    key: String,
    status: u16,
    body: String,
}

/// An entry VM and two backend servers that follow one script.
struct Scene {
    deployment: Deployment,
    entry: Entry,
    ledger: Arc<Ledger>,
    _backends: Vec<ScriptedBackend>,
}

impl Scene {
    async fn start(script: impl Fn(&Arrived) -> Vec<Act> + Clone + Send + Sync + 'static) -> Self {
        Self::start_with(healthy, script).await
    }

    /// Like [`Self::start`], with the answers to health checks.
    async fn start_with(
        health: fn(&Arrived) -> String,
        script: impl Fn(&Arrived) -> Vec<Act> + Clone + Send + Sync + 'static,
    ) -> Self {
        let script = move |arrived: &Arrived| {
            let usual = usual(arrived, health);
            usual.unwrap_or_else(|| script(arrived))
        };
        Self::start_plain(script).await
    }

    /// Like [`Self::start`], with a script for all requests.
    async fn start_plain(
        script: impl Fn(&Arrived) -> Vec<Act> + Clone + Send + Sync + 'static,
    ) -> Self {
        let mut deployment = Deployment::start(1);
        let entry = deployment.start_entry("entry-1");
        deployment.submit_routes(1, 0).await;
        let ledger = Arc::new(Ledger::default());
        let mut backends = Vec::new();
        for name in ["first", "second"] {
            let address = (deployment.block.next_vm(), SERVICE_PORT).into();
            let backend = ScriptedBackend::start(name, address, &ledger, script.clone());
            backends.push(backend.await);
            deployment.announce_address(name, address, 1).await;
        }
        let scene = Self {
            deployment,
            entry,
            ledger,
            _backends: backends,
        };
        scene.until_known().await;
        scene
    }

    /// Waits until the entry VM has sent further requests to both backend servers.
    async fn until_known(&self) {
        let earlier = self.ledger.arrived().len();
        let mut number = earlier;
        wait_for("a request at each backend server", async || {
            number += 1;
            let key = format!("warm-{number}");
            self.ask(Method::GET, "/safe/", &key).await;
            let arrived = self.ledger.arrived().split_off(earlier);
            let at = |name| arrived.iter().any(|arrived| arrived.backend == name);
            (at("first") && at("second")).then_some(())
        })
        .await
        .unwrap();
    }

    /// Waits for further health checks at both backend servers.
    async fn until_checked(&self) {
        let earlier = self.ledger.arrived().len();
        wait_for("health checks", async || {
            let arrived = self.ledger.arrived().split_off(earlier);
            let at = |name| arrived.iter().any(|at| at.is_health && at.backend == name);
            (at("first") && at("second")).then_some(())
        })
        .await
        .unwrap();
    }

    /// Sends a request that bears its key as its identifier.
    async fn ask(&self, method: Method, prefix: &str, key: &str) -> Told {
        self.send(method, prefix, key, Some(key), 4).await
    }

    async fn send(
        &self,
        method: Method,
        prefix: &str,
        key: &str,
        id: Option<&str>,
        bytes: usize,
    ) -> Told {
        let mut req = request(method, &format!("{prefix}{key}"), vec![b'x'; bytes]);
        let headers = req.headers_mut();
        headers.insert("heatherring-object", key.parse().unwrap());
        if let Some(id) = id {
            headers.insert("heatherring-request-id", id.parse().unwrap());
        }
        let answer = call(self.entry.settings.listen.callers, req).await;
        let answer = answer.expect("an answer");
        Told {
            key: key.to_owned(),
            status: answer.status.as_u16(),
            body: String::from_utf8(answer.body.to_vec()).unwrap(),
        }
    }

    /// Sends actions one after another, each with an identifier of its own.
    async fn act(&self, bytes: usize) -> Vec<Told> {
        let mut told = Vec::new();
        for number in 0..ACTIONS {
            let key = format!("act-{number}");
            let sending = self.send(Method::POST, "/once/", &key, Some(&key), bytes);
            told.push(sending.await);
        }
        told
    }

    /// Checks that the script wrote what belongs to other requests, and that nobody was deceived.
    async fn assert_honest(&self, told: &[Told]) {
        assert!(self.ledger.strays() > 0, "the script wrote nothing astray");
        self.assert_kept(told).await;
    }

    /// Checks that refusals by the first backend server were believed, and led to the second.
    async fn assert_believed(&self, told: &[Told]) {
        self.assert_kept(told).await;
        let unknown = told.iter().find(|told| ![200, 503].contains(&told.status));
        assert!(unknown.is_none(), "a refusal was not believed: {unknown:?}");
        let arrived = self.ledger.arrived();
        let was_refused = |told: &&Told| {
            let mut at_first = arrived.iter().filter(|at| at.backend == "first");
            at_first.any(|at| at.key == told.key)
        };
        let mut refused = told.iter().filter(was_refused);
        let led_on = refused.any(|told| told.status == 200);
        assert!(led_on, "no refusal led to the second backend server");
    }

    /// Checks that all callers were served.
    async fn assert_served(&self, told: &[Told]) {
        self.assert_kept(told).await;
        let unserved: Vec<&Told> = told.iter().filter(|told| told.status != 200).collect();
        assert!(
            unserved.is_empty(),
            "{} of {} were not served: {:?}",
            unserved.len(),
            told.len(),
            unserved[0]
        );
    }

    /// Checks that what callers were told of their actions is true.
    async fn assert_kept(&self, told: &[Told]) {
        sleep(SETTLE).await;
        let ran = self.ledger.ran();
        let runs = |told: &Told| ran.get(&told.key).copied().unwrap_or(0);
        let refused: Vec<&Told> = told
            .iter()
            .filter(|told| PROMISES.contains(&told.status) && runs(told) > 0)
            .collect();
        let twice: Vec<&Told> = told.iter().filter(|told| runs(told) > 1).collect();
        let foreign: Vec<&Told> = told.iter().filter(|told| is_foreign(told)).collect();
        assert!(
            refused.is_empty() && twice.is_empty() && foreign.is_empty(),
            "of {} actions, {} were refused and ran, {} ran twice, {} got a foreign body, \
             with {} stray answers; refused: {:?}",
            told.len(),
            refused.len(),
            twice.len(),
            foreign.len(),
            self.ledger.strays(),
            refused.first().or(twice.first()).or(foreign.first()),
        );
    }
}

/// Serves the requests that are sent until both backend servers are known, and health checks.
fn usual(arrived: &Arrived, health: fn(&Arrived) -> String) -> Option<Vec<Act>> {
    if arrived.is_health {
        return Some(vec![Act::Read, Act::Write(health(arrived))]);
    }
    let is_warming = arrived.key.starts_with("warm");
    is_warming.then(|| vec![Act::Run, Act::Write(served(arrived))])
}

fn healthy(arrived: &Arrived) -> String {
    let backend = format!("heatherring-backend: {}", arrived.backend);
    let headers = [backend.as_str(), "heatherring-cold-ms: 0"];
    answer(200, &headers, "health of the server")
}

fn unhealthy(_: &Arrived) -> String {
    answer(503, &[], "health of the server")
}

/// A health check that is refused as requests are.
fn health_refused(_: &Arrived) -> String {
    answer(503, &[NOT_RUN], "health of the server")
}

/// Returns whether a body that names a request names another one.
fn is_foreign(told: &Told) -> bool {
    let of = told.body.split_once("of ");
    of.is_some_and(|(_, key)| key != told.key)
}

/// The header that names the request; empty if it has no identifier.
fn id_line(arrived: &Arrived) -> String {
    if arrived.id.is_empty() {
        return String::new();
    }
    format!("heatherring-request-id: {}", arrived.id)
}

/// The answer to a request that was run.
fn served(arrived: &Arrived) -> String {
    let body = format!("of {}", arrived.key);
    answer(200, &[&id_line(arrived)], &body)
}

/// A refusal by a backend server that did not run the request.
fn not_run(arrived: &Arrived) -> String {
    let body = format!("refusal of {}", arrived.key);
    answer(503, &[&id_line(arrived), NOT_RUN], &body)
}

/// A refusal by another backend server at the address.
fn misdirected(arrived: &Arrived) -> String {
    let body = format!("refusal of {}", arrived.key);
    answer(421, &[&id_line(arrived)], &body)
}

/// An answer that states nothing about whether the request was run.
fn failed(arrived: &Arrived) -> String {
    let body = format!("failure of {}", arrived.key);
    answer(503, &[&id_line(arrived)], &body)
}

fn is_even(arrived: &Arrived) -> bool {
    let number = arrived.key.rsplit('-').next();
    number.is_some_and(|number| number.parse::<usize>().unwrap() % 2 == 0)
}

/// Returns the latest earlier action on the connection.
fn action_before(arrived: &Arrived) -> Option<&Arrived> {
    arrived.earlier(|earlier| earlier.key.starts_with("act"))
}

/// When a backend server sends a refusal once more.
#[derive(Clone, Copy, Debug)]
enum Copied {
    /// At the next request, with the answer to that in another segment.
    Apart,
    /// At the next request, with the answer to that in the same segment.
    Ahead,
    /// At the next request, whose answer never follows.
    Instead,
    /// A moment after the refusal.
    Soon,
    /// In the same segment as the refusal.
    Joined,
    /// At the next request, where the refusal itself came before the body was read.
    Early,
    /// At the next request, after an interim answer to that.
    AfterInterim,
}

/// Refuses every other action, once more as `copied` tells, and runs the rest.
fn repeating(
    refusal: fn(&Arrived) -> String,
    copied: Copied,
) -> impl Fn(&Arrived) -> Vec<Act> + Clone {
    move |arrived| {
        if is_even(arrived) {
            return refused(refusal(arrived), copied);
        }
        let own = served(arrived);
        let before = action_before(arrived).filter(|before| is_even(before));
        match before.map(refusal) {
            Some(late) => run_late(late, own, copied),
            None => vec![Act::Run, Act::Write(own)],
        }
    }
}

fn refused(text: String, copied: Copied) -> Vec<Act> {
    match copied {
        Copied::Soon => {
            let copy = Act::Stray(text.clone());
            vec![Act::Read, Act::Write(text), Act::Pause, copy]
        }
        Copied::Joined => vec![Act::Read, Act::Stray(text.repeat(2))],
        Copied::Early => vec![Act::Write(text)],
        _ => vec![Act::Read, Act::Write(text)],
    }
}

fn run_late(late: String, own: String, copied: Copied) -> Vec<Act> {
    match copied {
        Copied::Apart | Copied::Early => {
            vec![Act::Run, Act::Stray(late), Act::Pause, Act::Write(own)]
        }
        Copied::AfterInterim => {
            let interim = Act::Write(CONTINUE.to_owned());
            vec![Act::Run, interim, Act::Stray(late), Act::Write(own)]
        }
        Copied::Ahead => vec![Act::Run, Act::Stray(late + &own)],
        Copied::Instead => vec![Act::Run, Act::Stray(late)],
        Copied::Soon | Copied::Joined => vec![Act::Run, Act::Write(own)],
    }
}

/// Refuses at the first backend server before the body is read, and serves at the second.
fn early(after: &'static [Act]) -> impl Fn(&Arrived) -> Vec<Act> + Clone {
    move |arrived| {
        if arrived.backend == "second" {
            return vec![Act::Run, Act::Write(served(arrived))];
        }
        let refusal = vec![Act::Write(not_run(arrived))];
        [refusal, after.to_vec()].concat()
    }
}

/// Guards against actions that run although the refusal of an earlier request counts as theirs.
#[rstest]
#[case::copied_apart(not_run, Copied::Apart)]
#[case::copied_ahead(not_run, Copied::Ahead)]
#[case::copied_instead(not_run, Copied::Instead)]
#[case::copied_soon(not_run, Copied::Soon)]
#[case::copied_joined(not_run, Copied::Joined)]
#[case::copied_early(not_run, Copied::Early)]
#[case::copied_after_interim(not_run, Copied::AfterInterim)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusal_of_an_earlier_request(
    #[case] refusal: fn(&Arrived) -> String,
    #[case] copied: Copied,
) {
    let scene = Scene::start(repeating(refusal, copied)).await;
    let bytes = if matches!(copied, Copied::Early) {
        LONG
    } else {
        4
    };
    let told = scene.act(bytes).await;
    scene.assert_honest(&told).await;
}

/// Guards against actions that run although a late 421 of an earlier request counts as theirs.
#[rstest]
#[case::misdirected_apart(Copied::Apart)]
#[case::misdirected_ahead(Copied::Ahead)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_misdirection_of_an_earlier_request(#[case] copied: Copied) {
    let scene = Scene::start(repeating(misdirected, copied)).await;
    let mut told = Vec::new();
    for number in 0..8 {
        // A backend server that misdirects is left alone until the view changes.
        scene.deployment.submit_routes(number + 2, number + 1).await;
        scene.until_known().await;
        let key = format!("act-{number}");
        told.push(scene.ask(Method::POST, "/once/", &key).await);
    }
    scene.assert_honest(&told).await;
}

/// Guards against actions that run although an answer that names no request counts as theirs.
#[rstest]
#[case::nameless_not_run(503, &[NOT_RUN])]
#[case::nameless_misdirected(421, &[])]
#[case::nameless_503(503, &[])]
#[case::nameless_429(429, &[])]
#[case::nameless_408(408, &[])]
#[case::nameless_200(200, &[])]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_that_names_no_request(
    #[case] status: u16,
    #[case] headers: &'static [&'static str],
) {
    let scene = Scene::start(move |arrived| {
        let own = Act::Write(served(arrived));
        let nameless = answer(status, headers, "of nobody");
        match action_before(arrived) {
            Some(_) => vec![Act::Run, Act::Stray(nameless), Act::Pause, own],
            None => vec![Act::Run, own],
        }
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Guards against a status that promises "not run", without proof, for an action that ran.
#[rstest]
#[case::unproved_503(503)]
#[case::unproved_429(429)]
#[case::unproved_408(408)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_promise_for_what_ran(#[case] status: u16) {
    let scene = Scene::start(move |arrived| {
        let text = answer(status, &[&id_line(arrived)], "failed");
        vec![Act::Run, Act::Write(text)]
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_kept(&told).await;
    for told in told {
        assert_eq!(told.status, StatusCode::BAD_GATEWAY, "{told:?}");
        assert_eq!(told.body, "refusal_unproved");
    }
}

/// Guards against promises, or bodies of others, to callers that give no identifier.
#[rstest]
#[case::without_id_not_run(not_run)]
#[case::without_id_503(failed)]
#[case::without_id_200(served)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_to_a_caller_without_an_identifier(
    #[case] text: fn(&Arrived) -> String,
) {
    let scene = Scene::start(move |arrived| {
        let own = Act::Write(served(arrived));
        match action_before(arrived) {
            Some(before) => vec![Act::Run, Act::Stray(text(before)), Act::Pause, own],
            None => vec![Act::Run, own],
        }
    })
    .await;
    let mut told = Vec::new();
    for number in 0..ACTIONS {
        let key = format!("act-{number}");
        let sending = scene.send(Method::POST, "/once/", &key, None, 4);
        told.push(sending.await);
    }
    scene.assert_kept(&told).await;
    assert!(told.iter().any(|told| told.status == 200));
}

/// Guards against actions that run although the repeated answer to a health check counts as theirs.
#[rstest]
#[case::health_200(healthy, true)]
#[case::health_503(unhealthy, true)]
#[case::health_not_run(health_refused, true)]
#[case::health_without_id_200(healthy, false)]
#[case::health_without_id_503(unhealthy, false)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_to_a_health_check(
    #[case] health: fn(&Arrived) -> String,
    #[case] has_id: bool,
) {
    let mut scene = Scene::start_with(health, move |arrived| {
        let own = Act::Write(served(arrived));
        match arrived.before.as_deref() {
            Some(before) if before.is_health => {
                vec![Act::Run, Act::Stray(health(before)), Act::Pause, own]
            }
            _ => vec![Act::Run, own],
        }
    })
    .await;
    // Without control, entry VMs ask the backend servers themselves.
    for replica in std::mem::take(&mut scene.deployment.replicas) {
        replica.stop().await;
    }
    let mut told = Vec::new();
    for number in 0..8 {
        scene.until_checked().await;
        let key = format!("act-{number}");
        let id = has_id.then_some(key.as_str());
        let sending = scene.send(Method::POST, "/once/", &key, id, 4);
        told.push(sending.await);
    }
    scene.assert_kept(&told).await;
}

/// Checks that an answer that fails without proof reaches the caller of a safe request as it is.
#[rstest]
#[case::safe_503(503, 2)]
#[case::safe_429(429, 1)]
#[case::safe_408(408, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unproved_promise_for_a_safe_request(#[case] status: u16, #[case] runs: usize) {
    let scene = Scene::start(move |arrived| {
        let text = answer(status, &[&id_line(arrived)], "failed");
        vec![Act::Run, Act::Write(text)]
    })
    .await;
    let told = scene.ask(Method::GET, "/safe/", "act-0").await;
    assert_eq!((told.status, told.body.as_str()), (status, "failed"));
    assert_eq!(scene.ledger.ran()["act-0"], runs);
}

/// Guards against a second attempt that runs although the refusal of the first counts as its own.
#[rstest]
#[case::again_at_once(false)]
#[case::again_after_another(true)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusal_of_an_earlier_attempt(#[case] another: bool) {
    let seen = Arc::new(Mutex::new(BTreeSet::new()));
    let scene = Scene::start(move |arrived| {
        let place = (arrived.backend.clone(), arrived.key.clone());
        let is_first = seen.lock().unwrap().insert(place);
        if is_first && is_even(arrived) {
            return vec![Act::Read, Act::Write(not_run(arrived))];
        }
        let own = Act::Write(served(arrived));
        match arrived.earlier(|earlier| earlier.key == arrived.key) {
            Some(first) => vec![Act::Run, Act::Stray(not_run(first)), Act::Pause, own],
            None => vec![Act::Run, own],
        }
    })
    .await;
    let mut told = Vec::new();
    for number in (0..ACTIONS).step_by(2) {
        let key = format!("act-{number}");
        scene.ask(Method::POST, "/once/", &key).await;
        if another {
            let other = format!("act-{}", number + 1);
            told.push(scene.ask(Method::POST, "/once/", &other).await);
        }
        told.push(scene.ask(Method::POST, "/once/", &key).await);
    }
    scene.assert_kept(&told).await;
    assert!(scene.ledger.ran().contains_key("act-0"));
}

/// Guards against a connection that stays one answer behind while refusals follow each other.
#[rstest]
#[case::behind_row_of_2(2)]
#[case::behind_row_of_5(5)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusals_in_a_row(#[case] row: usize) {
    let scene = Scene::start(move |arrived| {
        let runs = |at: &Arrived| at.position.is_multiple_of(row);
        let answered = |at: &Arrived| if runs(at) { served(at) } else { not_run(at) };
        let act = if runs(arrived) { Act::Run } else { Act::Read };
        match action_before(arrived) {
            Some(before) => vec![act, Act::Stray(answered(before))],
            None => vec![act, Act::Write(answered(arrived))],
        }
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Checks that a refusal that comes before a long body was read is believed.
#[tokio::test(flavor = "multi_thread")]
async fn test_early_refusal_leads_to_the_next() {
    let scene = Scene::start(early(&[])).await;
    let told = scene.act(LONG).await;
    scene.assert_believed(&told).await;
}

/// Guards against a promise for what ran where a connection fails after an early refusal.
#[rstest]
#[case::early_then_stalled(&[Act::Stall])]
#[case::early_then_closed(&[Act::Close])]
#[tokio::test(flavor = "multi_thread")]
async fn test_early_refusal_before_a_failure(#[case] failure: &'static [Act]) {
    let scene = Scene::start(early(failure)).await;
    let told = scene.act(LONG).await;
    scene.assert_kept(&told).await;
    assert!(told.iter().any(|told| told.status == 200));
}

/// Guards against an interim answer that counts as the answer.
#[rstest]
#[case::interim_100(CONTINUE)]
#[case::interim_103("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")]
#[case::interim_refusal("HTTP/1.1 103 Early Hints\r\nheatherring-outcome: not_run\r\n\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn test_interim_answer_is_none(#[case] interim: &'static str) {
    let scene = Scene::start(move |arrived| {
        let interim = Act::Write(interim.to_owned());
        let own = Act::Write(served(arrived));
        vec![Act::Run, interim.clone(), Act::Pause, interim, own]
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_served(&told).await;
}

/// Checks that refusals and answers that name their request in any valid form are believed.
#[rstest]
#[case::named_plainly("heatherring-request-id: {}")]
#[case::named_in_capitals("HEATHERRING-Request-ID: {}")]
#[case::named_in_spaces("heatherring-request-id: \t  {} \t ")]
#[case::named_twice("heatherring-request-id: {}\r\nHeatherring-Request-Id: {}")]
#[tokio::test(flavor = "multi_thread")]
async fn test_own_answer_is_believed(#[case] form: &'static str) {
    let scene = Scene::start(move |arrived| {
        let named = form.replace("{}", &arrived.id);
        if arrived.backend == "first" {
            let refusal = answer(503, &[&named, NOT_RUN], "");
            return vec![Act::Read, Act::Write(refusal)];
        }
        vec![Act::Run, Act::Write(answer(200, &[&named], ""))]
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_believed(&told).await;
}

/// Guards against a refusal that counts although it does not clearly name the request that ran.
#[rstest]
#[case::unclear_own_and_other("heatherring-request-id: {}\r\nheatherring-request-id: other")]
#[case::unclear_other_and_own("heatherring-request-id: other\r\nheatherring-request-id: {}")]
#[case::unclear_list("heatherring-request-id: other, {}")]
#[case::unclear_empty("heatherring-request-id:")]
#[case::unclear_bytes("heatherring-request-id: \u{e9}")]
#[case::unclear_letters("heatherring-request-id: A{}")]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusal_of_an_unclear_request(#[case] form: &'static str) {
    let scene = Scene::start(move |arrived| {
        let refusal = answer(503, &[&form.replace("{}", &arrived.id), NOT_RUN], "");
        let own = Act::Write(served(arrived));
        match action_before(arrived) {
            Some(_) => vec![Act::Run, Act::Stray(refusal), Act::Pause, own],
            None => vec![Act::Run, own],
        }
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
}

/// Checks that what all backend servers refuse is refused, and does not run.
#[tokio::test(flavor = "multi_thread")]
async fn test_own_refusals_are_passed_on() {
    let scene = Scene::start(|arrived| vec![Act::Read, Act::Write(not_run(arrived))]).await;
    let told = scene.act(4).await;
    scene.assert_kept(&told).await;
    let refused = told.iter().filter(|told| told.status == 503);
    assert_eq!(refused.count(), told.len());
}

/// An answer to a request that was run, which names none.
fn nameless(arrived: &Arrived) -> String {
    answer(200, &[], &format!("of {}", arrived.key))
}

/// Checks that backend servers that name no request in any answer still serve.
#[tokio::test(flavor = "multi_thread")]
async fn test_nameless_answers_still_serve() {
    let script = |arrived: &Arrived| vec![Act::Run, Act::Write(nameless(arrived))];
    let scene = Scene::start_plain(script).await;
    let told = scene.act(4).await;
    scene.assert_served(&told).await;
}

/// Guards against bodies of others where no answer names its request.
#[tokio::test(flavor = "multi_thread")]
async fn test_nameless_answers_come_late() {
    let script = |arrived: &Arrived| {
        let own = Act::Write(nameless(arrived));
        match arrived.earlier(|_| true).map(nameless) {
            Some(late) => vec![Act::Run, Act::Stray(late), Act::Pause, own],
            None => vec![Act::Run, own],
        }
    };
    let scene = Scene::start_plain(script).await;
    let told = scene.act(4).await;
    scene.assert_kept(&told).await;
}

/// Sends an action with these identifiers to backend servers that echo them as they are.
async fn echo_as_given(ids: &[&str]) -> Vec<Told> {
    let named = ids.iter().map(|id| format!("heatherring-request-id: {id}"));
    let lines = named.collect::<Vec<_>>().join("\r\n");
    let scene = Scene::start(move |arrived| {
        vec![
            Act::Run,
            Act::Write(answer(200, &[&lines], &format!("of {}", arrived.key))),
        ]
    })
    .await;
    let mut told = Vec::new();
    for number in 0..4 {
        let key = format!("act-{number}");
        let mut req = request(Method::POST, &format!("/once/{key}"), vec![b'x'; 4]);
        for id in ids {
            let value = http::HeaderValue::from_bytes(id.as_bytes()).unwrap();
            req.headers_mut().append("heatherring-request-id", value);
        }
        let answer = call(scene.entry.settings.listen.callers, req).await;
        let answer = answer.expect("an answer");
        told.push(Told {
            key,
            status: answer.status.as_u16(),
            body: String::from_utf8(answer.body.to_vec()).unwrap(),
        });
    }
    scene.assert_kept(&told).await;
    told
}

/// Guards against an action that ends as unknown although its answer echoes what the caller gave.
#[rstest]
#[case::other_bytes(&["\u{e9}1"])]
#[case::two(&["a", "b"])]
#[tokio::test(flavor = "multi_thread")]
async fn test_answer_that_echoes_what_was_given_is_believed(#[case] ids: &'static [&'static str]) {
    let told = echo_as_given(ids).await;
    assert!(told.iter().all(|told| told.status == 200), "{told:?}");
}

/// Checks that callers with and without an identifier are served side by side.
#[tokio::test(flavor = "multi_thread")]
async fn test_callers_without_an_identifier_are_served_beside_others() {
    let script = |arrived: &Arrived| vec![Act::Run, Act::Write(served(arrived))];
    let scene = Scene::start(script).await;
    let mut told = Vec::new();
    for number in 0..ACTIONS {
        let key = format!("act-{number}");
        let id = is_even_number(number).then_some(key.as_str());
        told.push(scene.send(Method::POST, "/once/", &key, id, 4).await);
    }
    scene.assert_served(&told).await;
}

const fn is_even_number(number: usize) -> bool {
    number.is_multiple_of(2)
}

/// Guards against a connection that carries more requests than the pool remembers.
#[tokio::test(flavor = "multi_thread")]
async fn test_connections_carry_no_more_than_is_remembered() {
    let script = |arrived: &Arrived| vec![Act::Run, Act::Write(served(arrived))];
    let scene = Scene::start(script).await;
    let mut told = Vec::new();
    for number in 0..3 * MAX_CARRIED_REQUESTS {
        let key = format!("act-{number}");
        told.push(scene.ask(Method::GET, "/safe/", &key).await);
    }
    let longest = scene.ledger.arrived().iter().map(|at| at.position).max();
    assert_eq!(longest, Some(MAX_CARRIED_REQUESTS));
    scene.assert_served(&told).await;
}

/// Guards against a backend server that nothing more is sent to because of what the answer to
/// another request states.
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_answer_states_nothing() {
    let scene = Scene::start(|arrived| {
        let own = Act::Write(served(arrived));
        match action_before(arrived) {
            Some(before) => {
                let stray = answer(503, &[&id_line(before), NOT_RUN, LEAVING], "");
                vec![Act::Run, Act::Stray(stray), Act::Pause, own]
            }
            None => vec![Act::Run, own],
        }
    })
    .await;
    let told = scene.act(4).await;
    scene.assert_honest(&told).await;
    // Fails if either backend server counts as leaving.
    scene.until_known().await;
}
