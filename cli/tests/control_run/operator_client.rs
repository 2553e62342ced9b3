//! A simulated operator that races others: it submits versions that others submit too, resends,
//! drops calls before the answer and reads.

use std::time::Duration;

use heatherring_lib::id::ContentDigest;
use heatherring_server::proto::ShowRequest;
use heatherring_server::proto::SubmitOutcome;
use heatherring_server::proto::SubmitReply;
use heatherring_server::proto::SubmitRequest;
use heatherring_server::proto::operator_client::OperatorClient;
use heatherring_testutils::control_history::Call;
use heatherring_testutils::control_history::Operation;
use heatherring_testutils::control_history::Shown;
use heatherring_testutils::control_history::SubmitAnswer;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::json;

use super::CALL_TIMEOUT;
use super::Client;
use super::channel;

/// Longest pause between two operations.
const MAX_PAUSE_MS: u64 = 60;
/// Longest time-out of a call that is meant to be dropped before its answer.
const MAX_DROPPED_CALL_MS: u64 = 15;
/// Largest step between versions. Steps above one leave gaps that other operators may still
/// try to fill.
const MAX_STEP: u64 = 3;

#[derive(Clone, Debug)]
struct Manifest {
    version: u64,
    text: String,
}

impl Manifest {
    fn new(client: &str, version: u64, number: usize) -> Self {
        let manifest = json!({
            "version": version,
            "deployment": format!("{client} {number}"),
            "places": { "alm-a": { "region": "almaty" } },
            "services": {},
        });
        Self {
            version,
            text: manifest.to_string(),
        }
    }

    fn digest(&self) -> String {
        ContentDigest::of(self.text.as_bytes()).to_string()
    }
}

/// Submits and reads until the run is stopped; returns the operations with their answers.
pub async fn run(mut client: Client) -> Vec<Operation> {
    let mut operations = Vec::new();
    let mut submitted: Vec<Manifest> = Vec::new();
    let mut highest = 0;
    while !client.is_stopped() {
        let operation = match client.rng.random_range(0..10) {
            0..3 => show(&mut client).await,
            3..5 if !submitted.is_empty() => {
                let manifest = submitted.choose(&mut client.rng).cloned();
                let manifest = manifest.expect("a manifest was submitted");
                Some(submit(&mut client, &manifest).await)
            }
            5 if highest > 1 => {
                let version = client.rng.random_range(1..highest);
                let manifest = Manifest::new(&client.name, version, operations.len());
                Some(submit(&mut client, &manifest).await)
            }
            _ => {
                let version = highest + client.rng.random_range(1..=MAX_STEP);
                let manifest = Manifest::new(&client.name, version, operations.len());
                submitted.push(manifest.clone());
                Some(submit(&mut client, &manifest).await)
            }
        };
        if let Some(operation) = operation {
            highest = highest.max(highest_version_learned(&operation.call));
            operations.push(operation);
        }
        let pause = client.rng.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    operations
}

fn highest_version_learned(call: &Call) -> u64 {
    match call {
        Call::Show(shown) => shown.as_ref().map_or(0, |shown| shown.version),
        Call::Submit {
            version, answer, ..
        } => match answer {
            SubmitAnswer::Accepted { .. } | SubmitAnswer::Conflict { .. } => *version,
            SubmitAnswer::Stale { current } => *current,
            SubmitAnswer::NotAccepted | SubmitAnswer::Unknown => 0,
        },
    }
}

fn any_replica(client: &mut Client) -> OperatorClient<tonic::transport::Channel> {
    let address = client.addresses.choose(&mut client.rng);
    OperatorClient::new(channel(*address.expect("the cluster has replicas")))
}

async fn submit(client: &mut Client, manifest: &Manifest) -> Operation {
    let mut replica = any_replica(client);
    let timeout = if client.rng.random_ratio(1, 6) {
        Duration::from_millis(client.rng.random_range(1..MAX_DROPPED_CALL_MS))
    } else {
        CALL_TIMEOUT
    };
    let request = SubmitRequest {
        manifest: manifest.text.clone(),
        operator: client.name.clone(),
    };
    let sent_us = client.clock.now_us();
    // On a time-out the call is dropped, and its connection with it.
    let reply = tokio::time::timeout(timeout, replica.submit(request)).await;
    let answered_us = client.clock.now_us();
    let answer = match reply {
        Ok(Ok(reply)) => answer(&reply.into_inner()),
        Ok(Err(_)) | Err(_) => SubmitAnswer::Unknown,
    };
    Operation {
        client: client.name.clone(),
        sent_us,
        answered_us: (answer != SubmitAnswer::Unknown).then_some(answered_us),
        call: Call::Submit {
            version: manifest.version,
            digest: manifest.digest().into(),
            answer,
        },
    }
}

fn answer(reply: &SubmitReply) -> SubmitAnswer {
    match reply.outcome() {
        SubmitOutcome::Accepted => SubmitAnswer::Accepted {
            revision: reply.revision,
        },
        SubmitOutcome::VersionConflict => SubmitAnswer::Conflict {
            winner: reply.winner_digest.as_str().into(),
        },
        SubmitOutcome::StaleVersion => SubmitAnswer::Stale {
            current: reply.current_version,
        },
        SubmitOutcome::NotAccepted => SubmitAnswer::NotAccepted,
        SubmitOutcome::Unknown => SubmitAnswer::Unknown,
        SubmitOutcome::Invalid | SubmitOutcome::Unspecified => {
            panic!("a valid manifest was rejected as invalid: {reply:?}")
        }
    }
}

/// Reads the manifest in force; `None` if no answer arrives.
async fn show(client: &mut Client) -> Option<Operation> {
    let mut replica = any_replica(client);
    let sent_us = client.clock.now_us();
    let reply = replica.show(ShowRequest { version: 0 });
    let reply = tokio::time::timeout(CALL_TIMEOUT, reply).await;
    let answered_us = client.clock.now_us();
    let reply = reply.ok()?.ok()?.into_inner();
    let shown = reply.found.then(|| Shown {
        version: reply.version,
        digest: reply.digest.into(),
        revision: reply.revision,
    });
    Some(Operation {
        client: client.name.clone(),
        sent_us,
        answered_us: Some(answered_us),
        call: Call::Show(shown),
    })
}
