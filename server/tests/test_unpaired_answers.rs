//! Answers that belong to another request, to none, or promise what they do not prove: what a
//! caller is told over an entry VM, and what ran.

mod direct_support;

use std::sync::Arc;
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
use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::wait::wait_for;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use tokio::time::sleep;

/// Statuses that promise a caller that its action has not run and never will.
const PROMISES: [u16; 4] = [503, 429, 408, 421];

const NOT_RUN: &str = "heatherring-outcome: not_run";

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
    _deployment: Deployment,
    entry: Entry,
    ledger: Arc<Ledger>,
    _backends: Vec<ScriptedBackend>,
}

impl Scene {
    async fn start(script: impl Fn(&Arrived) -> Vec<Act> + Clone + Send + Sync + 'static) -> Self {
        let mut deployment = Deployment::start(1);
        let entry = deployment.start_entry("entry-1");
        deployment.submit_routes(1, 0).await;
        let ledger = Arc::new(Ledger::default());
        let mut backends = Vec::new();
        for name in ["first", "second"] {
            let address = (deployment.block.next_vm(), SERVICE_PORT).into();
            let script = script.clone();
            let script =
                move |arrived: &Arrived| warmed(arrived).unwrap_or_else(|| script(arrived));
            backends.push(ScriptedBackend::start(name, address, &ledger, script).await);
            deployment.announce_address(name, address, 1).await;
        }
        let scene = Self {
            _deployment: deployment,
            entry,
            ledger,
            _backends: backends,
        };
        scene.until_known().await;
        scene
    }

    /// Waits until the entry VM has sent requests to both backend servers.
    async fn until_known(&self) {
        let mut number = 0;
        wait_for("a request at each backend server", async || {
            number += 1;
            let key = format!("warm-{number}");
            self.ask(Method::GET, "/safe/", &key).await;
            let arrived = self.ledger.arrived();
            let second = arrived.iter().any(|arrived| arrived.backend == "second");
            (second && arrived.iter().any(|arrived| arrived.backend == "first")).then_some(())
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
fn warmed(arrived: &Arrived) -> Option<Vec<Act>> {
    if arrived.is_health {
        return Some(vec![Act::Read, Act::Write(health(arrived))]);
    }
    let is_warming = arrived.key.starts_with("warm");
    is_warming.then(|| vec![Act::Run, Act::Write(served(arrived))])
}

fn health(arrived: &Arrived) -> String {
    let backend = format!("heatherring-backend: {}", arrived.backend);
    answer(200, &[&backend, "heatherring-cold-ms: 0"], "healthy")
}

/// Returns whether a body that names a request names another one.
fn is_foreign(told: &Told) -> bool {
    let of = told.body.split_once("of ");
    of.is_some_and(|(_, key)| key != told.key)
}

fn id_line(arrived: &Arrived) -> String {
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

fn is_even(arrived: &Arrived) -> bool {
    let number = arrived.key.rsplit('-').next();
    number.is_some_and(|number| number.parse::<usize>().unwrap() % 2 == 0)
}

/// Returns the action before on the connection, if there is one.
fn action_before(arrived: &Arrived) -> Option<&Arrived> {
    let before = arrived.before.as_deref();
    before.filter(|before| before.key.starts_with("act"))
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
}

/// Refuses every other action, once more as `copied` tells, and runs the rest.
fn repeating(
    refusal: fn(&Arrived) -> String,
    copied: Copied,
) -> impl Fn(&Arrived) -> Vec<Act> + Clone {
    move |arrived| {
        if is_even(arrived) {
            let text = refusal(arrived);
            return match copied {
                Copied::Soon => vec![
                    Act::Read,
                    Act::Write(text.clone()),
                    Act::Pause,
                    Act::Stray(text),
                ],
                Copied::Joined => vec![Act::Read, Act::Stray(text.repeat(2))],
                Copied::Apart | Copied::Ahead | Copied::Instead => {
                    vec![Act::Read, Act::Write(text)]
                }
            };
        }
        let own = served(arrived);
        let before = action_before(arrived).filter(|before| is_even(before));
        let Some(late) = before.map(refusal) else {
            return vec![Act::Run, Act::Write(own)];
        };
        match copied {
            Copied::Apart => vec![Act::Run, Act::Stray(late), Act::Pause, Act::Write(own)],
            Copied::Ahead => vec![Act::Run, Act::Stray(late + &own)],
            Copied::Instead => vec![Act::Run, Act::Stray(late)],
            Copied::Soon | Copied::Joined => vec![Act::Run, Act::Write(own)],
        }
    }
}

/// Guards against actions that run although the refusal of an earlier request counts as theirs.
#[rstest]
#[case::copied_apart(not_run, Copied::Apart)]
#[case::copied_ahead(not_run, Copied::Ahead)]
#[case::copied_instead(not_run, Copied::Instead)]
#[case::copied_soon(not_run, Copied::Soon)]
#[case::copied_joined(not_run, Copied::Joined)]
#[tokio::test(flavor = "multi_thread")]
async fn test_unpaired_refusal_of_an_earlier_request(
    #[case] refusal: fn(&Arrived) -> String,
    #[case] copied: Copied,
) {
    let scene = Scene::start(repeating(refusal, copied)).await;
    let told = scene.act(4).await;
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
