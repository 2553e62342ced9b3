//! An entry VM that dispatches directly, before two backend servers that cut answers off.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;
use std::time::Duration;

use heatherring_testutils::loopback::SERVICE_PORT;
use heatherring_testutils::wait::wait_for;
use http::Method;
use serde_json::json;
use tokio::net::TcpStream;

use crate::cut_support::backend::CuttingBackend;
use crate::cut_support::backend::Dialect;
use crate::cut_support::backend::Ledger;
use crate::cut_support::caller::Caller;
use crate::cut_support::table::Manner;
use crate::cut_support::table::Target;
use crate::direct_support::Deployment;
use crate::direct_support::Entry;
use crate::direct_support::HOST;
use crate::direct_support::PLACE;

/// Headers of heatherring's own interface.
pub const OWN: Dialect = Dialect {
    id: "heatherring-request-id",
    lines: "",
    health: |name| format!("heatherring-backend: {name}\r\nheatherring-cold-ms: 0\r\n"),
};

/// An action that may not run twice.
pub const ACTION: Manner = Manner::new("POST", "/once/");

/// A request that may safely run twice.
pub const SAFE: Manner = Manner {
    max_attempts: 2,
    ..Manner::new("GET", "/safe/")
};

/// Number of requests in flight.
const WORKERS: usize = 24;

const HEARTBEAT: Duration = Duration::from_millis(500);

/// Enough for all requests of a table at once.
const SLOTS: u32 = 64;

pub struct Scene {
    pub deployment: Deployment,
    pub entry: Entry,
    pub ledger: Arc<Ledger>,
    backends: Vec<CuttingBackend>,
}

impl Scene {
    /// Starts the entry VM with `start`.
    pub async fn start(dialect: Dialect, start: impl FnOnce(&mut Deployment) -> Entry) -> Self {
        let mut deployment = Deployment::start(1);
        let entry = start(&mut deployment);
        deployment.submit_routes(1, 0).await;
        let ledger = Arc::new(Ledger::new(dialect));
        let mut backends = Vec::new();
        for name in ["first", "second"] {
            let address = (deployment.block.next_vm(), SERVICE_PORT).into();
            backends.push(CuttingBackend::start(name, address, &ledger).await);
        }
        let scene = Self {
            deployment,
            entry,
            ledger,
            backends,
        };
        scene.announce(1).await;
        scene.until_served("first").await;
        scene
    }

    pub fn target(&self) -> Target {
        Target {
            address: self.entry.settings.listen.callers,
            host: HOST.to_owned(),
            permits_close: true,
            workers: WORKERS,
        }
    }

    /// Waits until a whole answer is passed on.
    pub async fn until_served(&self, name: &str) {
        let id = self.ledger.dialect().id;
        let mut number = 0;
        wait_for("an answer", async || {
            number += 1;
            // The entry VM starts on a thread of its own.
            TcpStream::connect(self.target().address).await.ok()?;
            let mut caller = Caller::connect(self.target().address).await;
            let key = format!("{name}-{number}");
            let req = Manner::new("GET", "/safe/").request(&key, HOST, id);
            caller.send(&req).await;
            let seen = caller.read(false).await;
            (seen.status == 200 && seen.is_complete).then_some(())
        })
        .await
        .unwrap();
    }

    /// Keeps announcing the backend servers while `running` runs.
    pub async fn while_announced<T>(&self, running: impl Future<Output = T>) -> T {
        let announcing = async {
            for sequence in 2.. {
                self.announce(sequence).await;
                tokio::time::sleep(HEARTBEAT).await;
            }
        };
        tokio::select! {
            result = running => result,
            () = announcing => unreachable!("the announcement loop does not end"),
        }
    }

    async fn announce(&self, sequence: u64) {
        for CuttingBackend { name, address, .. } in &self.backends {
            let body = json!({
                "backend": name,
                "record": {
                    "service": "registry", "address": address, "place": PLACE, "slots": SLOTS,
                    "state": "Ready", "sequence": sequence,
                    "cold_for": {"secs": 0, "nanos": 0},
                },
            });
            let body = body.to_string();
            self.deployment
                .call_control(Method::POST, "/v1/announcements", &body)
                .await;
        }
    }
}
