//! Backend servers that announce to an entry VM that they are leaving, when another one owns them.

mod entry_support;

use std::net::SocketAddr;
use std::time::Duration;

use heatherring_lib::settings::EntryListen;
use heatherring_testutils::loopback::PEERS_PORT;
use heatherring_testutils::loopback::SERVICE_PORT;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use crate::entry_support::PLACE;
use crate::entry_support::SERVICE;
use crate::entry_support::caller::send;
use crate::entry_support::rig::Rig;

const LEASE: Duration = Duration::from_secs(10);

/// Starts two entry VMs, whose messages to each other arrive only if `connected`.
async fn start(connected: bool) -> Rig {
    let mut rig = Rig::start(&[], LEASE).await;
    for _ in 0..2 {
        let mut settings = rig.settings(PLACE);
        if !connected {
            settings.advertise = Some(EntryListen {
                peers: SocketAddr::new(rig.block.next_vm(), PEERS_PORT),
                ..settings.listen
            });
        }
        rig.start_entry(settings);
    }
    for entry in 0..2 {
        let is_current =
            |status: &serde_json::Value| status["entries"] == 2 && status["manifest_version"] == 1;
        rig.wait_for_status(entry, is_current).await;
    }
    rig
}

/// Guards against a confirmation that a backend server is leaving of which its owner does not know.
#[rstest]
#[case::ready(false, "ready", StatusCode::OK)]
#[case::leaving(false, "leaving", StatusCode::SERVICE_UNAVAILABLE)]
#[case::leaving_with_owner_in_reach(true, "leaving", StatusCode::OK)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_leaving_at_owner_is_confirmed_by_the_owner(
    #[case] connected: bool,
    #[case] state: &str,
    #[case] expected: StatusCode,
) {
    let mut rig = start(connected).await;
    let address = SocketAddr::new(rig.block.next_vm(), SERVICE_PORT);
    let other = 1 - rig.owner();
    let to = rig.entries[other].settings.listen.backend_servers;
    let body = json!({
        "backend": "backend-1", "service": SERVICE, "place": PLACE, "address": address,
        "slots": 3, "max_connections": 10, "state": state,
    });
    let reply = send(to, "POST", "/announce", &body.to_string()).await;
    assert_eq!(reply.unwrap().status, expected);
}

/// Guards against a confirmation that a backend server is leaving which its owner passes over, since
/// it was announced before a later one that states the contrary.
#[rstest]
#[case::in_order(1, 2, StatusCode::OK)]
#[case::repeated(2, 2, StatusCode::SERVICE_UNAVAILABLE)]
#[case::overtaken(3, 2, StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_leaving_at_owner_is_not_confirmed_when_overtaken(
    #[case] ready: u64,
    #[case] leaving: u64,
    #[case] expected: StatusCode,
    #[values(true, false)] passed_on: bool,
) {
    let mut rig = start(true).await;
    let address = SocketAddr::new(rig.block.next_vm(), SERVICE_PORT);
    let owner = rig.owner();
    let entry = if passed_on { 1 - owner } else { owner };
    let to = rig.entries[entry].settings.listen.backend_servers;
    let mut status = None;
    for (state, sequence) in [("ready", ready), ("leaving", leaving)] {
        let body = json!({
            "backend": "backend-1", "service": SERVICE, "place": PLACE, "address": address,
            "slots": 3, "max_connections": 10, "state": state, "born": 1, "sequence": sequence,
        });
        let reply = send(to, "POST", "/announce", &body.to_string()).await;
        status = Some(reply.unwrap().status);
    }
    assert_eq!(status, Some(expected));
}
