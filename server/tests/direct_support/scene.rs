//! Several entry VMs and backend servers, with callers that send requests all the time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherring_testutils::wait::wait_for;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Answer;
use super::Deployment;
use super::Entry;
use super::backend::Backend;
use super::call;
use super::request;

/// Time between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(20);

/// Number of objects that callers ask for.
pub const OBJECTS: u32 = 24;

pub struct Scene {
    pub deployment: Deployment,
    pub entries: Vec<Entry>,
    pub backends: Vec<Backend>,
}

/// Starts entry VMs and backend servers, and waits until every entry VM serves requests.
pub async fn start(entries: usize, backends: usize) -> Scene {
    let mut deployment = Deployment::start(3);
    let entries: Vec<Entry> = (1..=entries)
        .map(|number| deployment.start_entry(&format!("entry-{number}")))
        .collect();
    let mut started = Vec::new();
    for number in 1..=backends {
        started.push(deployment.start_backend(&format!("backend-{number}")).await);
    }
    deployment.submit_routes(1, 0).await;
    for backend in &started {
        deployment.announce(backend, 1, "Ready").await;
    }
    let scene = Scene {
        deployment,
        entries,
        backends: started,
    };
    scene.until_served().await;
    scene
}

/// Sends a request for an object to an entry VM; its path contains the address of the entry VM.
pub async fn ask(callers: SocketAddr, object: u32) -> Option<Answer> {
    let mut req = request(Method::GET, &format!("/safe/{object}?by={callers}"), "");
    let headers = req.headers_mut();
    headers.insert("heatherring-request-id", HeaderValue::from(object));
    headers.insert("heatherring-object", HeaderValue::from(object));
    call(callers, req).await
}

impl Scene {
    pub async fn until_served(&self) {
        for entry in &self.entries {
            wait_for("an answer", async || {
                let answer = ask(entry.settings.listen.callers, 0).await?;
                (answer.status == StatusCode::OK).then_some(())
            })
            .await
            .unwrap();
        }
    }

    /// Announces all backend servers while `run` is in progress.
    pub async fn while_announced<T>(&self, run: impl Future<Output = T>) -> T {
        let backends: Vec<&Backend> = self.backends.iter().collect();
        self.deployment.while_announced(&backends, 2, run).await
    }

    pub fn call_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter();
        entries.map(|entry| entry.settings.listen.callers).collect()
    }
}

/// Callers that send requests to entry VMs until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Vec<Answer>>,
}

impl Callers {
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for (number, address) in addresses.iter().copied().enumerate() {
            let stop = Arc::clone(&stop);
            tasks.spawn(async move {
                let mut answers = Vec::new();
                // Callers ask for different objects, at different times.
                sleep(PAUSE * u32::try_from(number).unwrap()).await;
                for object in (0..OBJECTS).cycle().skip(5 * number) {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    answers.extend(ask(address, object).await);
                    sleep(PAUSE).await;
                }
                answers
            });
        }
        Self { stop, tasks }
    }

    pub async fn finish(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::SeqCst);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}
