//! An entry VM before two scripted backend servers, and checks of what callers were told.

use std::sync::Arc;
use std::time::Duration;

use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::wait::wait_for;
use http::HeaderValue;
use http::Method;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::scripts::healthy;
use super::scripts::run_after;
use super::scripts::served;
use crate::direct_support::Deployment;
use crate::direct_support::Entry;
use crate::direct_support::call;
use crate::direct_support::request;
use crate::direct_support::scripted_backend::Act;
use crate::direct_support::scripted_backend::Arrived;
use crate::direct_support::scripted_backend::Ledger;
use crate::direct_support::scripted_backend::Opening;
use crate::direct_support::scripted_backend::OpeningTime;
use crate::direct_support::scripted_backend::ScriptedBackend;

/// Statuses that promise a caller that its action has not run and never will.
const PROMISES: [u16; 4] = [503, 429, 408, 421];

/// Actions of one test.
pub const ACTIONS: usize = 24;

/// Time in which a backend server still reads what was sent to it.
const SETTLE: Duration = Duration::from_millis(300);

/// What a caller was told of its request.
#[derive(Debug)]
pub struct Told {
    pub key: String,
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: String,
}

/// An entry VM and two backend servers that follow one script.
pub struct Scene {
    pub deployment: Deployment,
    entry: Entry,
    pub ledger: Arc<Ledger>,
    _backends: Vec<ScriptedBackend>,
}

impl Scene {
    pub async fn start(
        script: impl Fn(&Arrived) -> Vec<Act> + Clone + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(healthy, script).await
    }

    /// Like [`Self::start`], with the answers to health checks.
    pub async fn start_with(
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
    pub async fn start_plain(
        script: impl Fn(&Arrived) -> Vec<Act> + Clone + Send + Sync + 'static,
    ) -> Self {
        let mut deployment = Deployment::start(1);
        let entry = deployment.start_entry("entry-1");
        deployment.submit_routes(1, 0).await;
        // The entry VM starts on a thread of its own.
        let callers = entry.settings.listen.callers;
        wait_for("the entry VM's listener", async || {
            TcpStream::connect(callers).await.ok()
        })
        .await
        .unwrap();
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
    pub async fn until_known(&self) {
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

    /// Makes both backend servers write `text` on each new connection before they read from it.
    pub fn open_with(&self, time: OpeningTime, text: String) {
        self.ledger.open_with(Some(Opening { time, text }));
    }

    /// Waits for further health checks at both backend servers.
    pub async fn until_checked(&self) {
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
    pub async fn ask(&self, method: Method, prefix: &str, key: &str) -> Told {
        self.send(method, prefix, key, &[key], 4).await
    }

    pub async fn send(
        &self,
        method: Method,
        prefix: &str,
        key: &str,
        ids: &[&str],
        bytes: usize,
    ) -> Told {
        let mut req = request(method, &format!("{prefix}{key}"), vec![b'x'; bytes]);
        let headers = req.headers_mut();
        headers.insert("heatherring-object", key.parse().unwrap());
        for id in ids {
            let id = HeaderValue::from_bytes(id.as_bytes()).unwrap();
            headers.append("heatherring-request-id", id);
        }
        let answer = call(self.entry.settings.listen.callers, req).await;
        let answer = answer.expect("an answer");
        Told {
            key: key.to_owned(),
            status: answer.status.as_u16(),
            retry_after: answer.retry_after,
            body: String::from_utf8(answer.body.to_vec()).unwrap(),
        }
    }

    /// Sends actions one after another, each with an identifier of its own.
    pub async fn act(&self, bytes: usize) -> Vec<Told> {
        self.act_as(bytes, |_| true).await
    }

    /// Like [`Self::act`], without identifiers where `has_id` says so.
    pub async fn act_as(&self, bytes: usize, has_id: impl Fn(usize) -> bool) -> Vec<Told> {
        let mut told = Vec::new();
        for number in 0..ACTIONS {
            let key = format!("act-{number}");
            let id = has_id(number).then_some(key.as_str());
            let sending = self.send(Method::POST, "/once/", &key, id.as_slice(), bytes);
            told.push(sending.await);
        }
        told
    }

    /// Checks that the script wrote what belongs to other requests, and that nobody was deceived.
    pub async fn assert_honest(&self, told: &[Told]) {
        assert!(self.ledger.strays() > 0, "the script wrote nothing astray");
        self.assert_kept(told).await;
    }

    /// Checks that refusals by the first backend server were believed, and led to the second.
    pub async fn assert_believed(&self, told: &[Told]) {
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

    /// Checks that what arrived at a backend server ended as unknown because of its answer.
    pub async fn assert_unproved(&self, told: &[Told]) {
        self.assert_kept(told).await;
        let arrived = self.ledger.arrived();
        let mut unproved = 0;
        for told in told {
            if arrived.iter().any(|at| at.key == told.key) {
                let ended = (told.status, told.body.as_str());
                assert_eq!(ended, (502, "refusal_unproved"), "{told:?}");
                unproved += 1;
            }
        }
        assert!(unproved > 0, "nothing arrived");
    }

    /// Checks that all callers were served.
    pub async fn assert_served(&self, told: &[Told]) {
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
    pub async fn assert_kept(&self, told: &[Told]) {
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
    is_warming.then(|| run_after(None, served(arrived)))
}

/// Returns whether a body that names a request names another one.
fn is_foreign(told: &Told) -> bool {
    let of = told.body.split_once("of ");
    of.is_some_and(|(_, key)| key != told.key)
}
