//! Callers of entry VMs and readers of the manifest, in a soak of the route manifest.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::config_record::Read;
use crate::config_record::ReadManifest;
use crate::config_record::Request;
use crate::config_record::RequestAnswer;
use crate::config_recorder::Recorder;
use crate::config_routes;
use crate::control_addresses::ControlAddresses;
use crate::http_call::call;

/// Time for which the answer to a read is awaited.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Reads of one replica that wait at the same time.
const WAITING_READS: usize = 24;
/// Time for which the answer to a request is awaited.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests at one entry VM that wait at the same time.
const WAITING_REQUESTS: usize = 8;

/// Reads the manifest at a control replica without end.
pub async fn read_on(
    replica: usize,
    addresses: ControlAddresses,
    recorder: Arc<Recorder>,
    every: Duration,
) {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut waiting: JoinSet<Option<(Bytes, ReadManifest)>> = JoinSet::new();
    let mut last: Option<(Bytes, ReadManifest)> = None;
    loop {
        ticks.tick().await;
        while let Some(read) = waiting.try_join_next() {
            last = read.ok().flatten().or(last);
        }
        if waiting.len() < WAITING_READS
            && let Some(address) = addresses.get(replica)
        {
            let recorder = Arc::clone(&recorder);
            waiting.spawn(read_once(replica, address, recorder, last.clone()));
        }
    }
}

/// Reads once. An answer that equals `last` isn't parsed, and shares its content.
async fn read_once(
    replica: usize,
    address: SocketAddr,
    recorder: Arc<Recorder>,
    last: Option<(Bytes, ReadManifest)>,
) -> Option<(Bytes, ReadManifest)> {
    let sent_us = recorder.now_us();
    let call = call(address, Method::GET, "/v1/routes", Bytes::new());
    let answer = timeout(READ_TIMEOUT, call).await.ok().flatten();
    let body = answer.filter(|(status, _)| *status == StatusCode::OK);
    let found = body.and_then(|(_, body)| match last {
        Some((known, manifest)) if known == body => Some((known, manifest)),
        _ => config_routes::read(&body).map(|manifest| (body, manifest)),
    });
    let read = Read {
        replica,
        sent_us,
        answered_us: recorder.now_us(),
        manifest: found.as_ref().map(|(_, manifest)| manifest.clone()),
    };
    recorder.modify(|record| record.reads.push(read));
    found
}

/// Sends requests to an entry VM without end, mostly on routes that were changed last.
pub async fn request_on(
    entry: usize,
    address: SocketAddr,
    recorder: Arc<Recorder>,
    every: Duration,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut waiting = JoinSet::new();
    loop {
        ticks.tick().await;
        while waiting.try_join_next().is_some() {}
        let mut recent = recorder.recent();
        if recent.is_empty() || waiting.len() >= WAITING_REQUESTS {
            continue;
        }
        // Of two that are drawn, the one that was changed later.
        let drawn = [(); 2].map(|()| rng.random_range(0..recent.len()));
        let route = recent.swap_remove(drawn[0].max(drawn[1]));
        waiting.spawn(request_once(entry, address, Arc::clone(&recorder), route));
    }
}

async fn request_once(entry: usize, address: SocketAddr, recorder: Arc<Recorder>, route: String) {
    let run = recorder.entry_run(entry);
    let sent_us = recorder.now_us();
    let path = config_routes::path(&route);
    let call = call(address, Method::GET, &path, Bytes::new());
    let answer = match timeout(REQUEST_TIMEOUT, call).await.ok().flatten() {
        // Which run answered isn't known.
        _ if recorder.entry_run(entry) != run => RequestAnswer::Silent,
        Some((StatusCode::OK, body)) => {
            RequestAnswer::Served(String::from_utf8_lossy(&body).into_owned())
        }
        Some((StatusCode::NOT_FOUND, _)) => RequestAnswer::NoRoute,
        Some((status, _)) => RequestAnswer::Refused(status.as_u16()),
        None => RequestAnswer::Silent,
    };
    let req = Request {
        entry,
        run,
        route,
        sent_us,
        answered_us: recorder.now_us(),
        answer,
    };
    recorder.modify(|record| record.requests.push(req));
}
