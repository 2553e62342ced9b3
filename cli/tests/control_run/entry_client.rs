//! An entry VM's session with control: follows the view, forgets it, starts anew.

use std::net::SocketAddr;
use std::time::Duration;

use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::VmName;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::ViewChange;
use heatherring_server::proto::SyncOutcome;
use heatherring_server::proto::SyncReply;
use heatherring_server::proto::SyncRequest;
use heatherring_server::proto::session_client::SessionClient;
use heatherring_testutils::control_history::Call;
use heatherring_testutils::control_history::EntrySight;
use heatherring_testutils::control_history::Operation;
use heatherring_testutils::control_history::Shown;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::CALL_TIMEOUT;
use super::Client;
use super::channel;

/// Time for which control may hold a reply back.
const WAIT_MS: u32 = 100;
const MAX_PAUSE_MS: u64 = 40;

/// Holds what an entry VM was told.
#[derive(Debug, Default)]
pub struct EntryRecord {
    pub operations: Vec<Operation>,
    pub sights: Vec<EntrySight>,
}

#[derive(Debug, Default)]
struct Life {
    session: u64,
    view: ControlView,
    settled: u64,
}

/// Follows the view until it is stopped.
pub async fn run(mut client: Client) -> EntryRecord {
    let mut record = EntryRecord::default();
    let mut life = Life::default();
    while !client.is_stopped() {
        // A process that restarts remembers nothing.
        if client.rng.random_ratio(1, 20) {
            life = Life::default();
        }
        let address = client.addresses.choose(&mut client.rng);
        let address = *address.expect("there are replicas");
        let sent_us = client.clock.now_us();
        let reply = sync(&client, &life, address).await;
        let answered_us = client.clock.now_us();
        match reply {
            Some(reply) if reply.outcome() == SyncOutcome::Granted => {
                take(&mut life, &reply);
                let shown = shown(&life.view);
                record.operations.push(Operation {
                    client: client.name.clone(),
                    sent_us,
                    answered_us: Some(answered_us),
                    call: Call::Show(shown.clone()),
                });
                record.sights.extend(shown.map(|shown| EntrySight {
                    entry: client.name.clone(),
                    shown,
                }));
            }
            Some(reply) if reply.outcome() == SyncOutcome::SessionLost => life = Life::default(),
            _ => {}
        }
        let pause = client.rng.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    record
}

async fn sync(client: &Client, life: &Life, address: SocketAddr) -> Option<SyncReply> {
    let request = SyncRequest {
        entry_encoded: postcard::to_stdvec(&info(&client.name)).expect("info is encodable"),
        session: life.session,
        applied_revision: life.view.revision.0,
        known_settled: life.settled,
        wait_ms: WAIT_MS,
        ..SyncRequest::default()
    };
    let mut session = SessionClient::new(channel(address));
    let reply = tokio::time::timeout(CALL_TIMEOUT, session.sync(request)).await;
    Some(reply.ok()?.ok()?.into_inner())
}

fn info(vm: &str) -> EntryInfo {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    EntryInfo {
        vm: VmName::new(vm),
        place: PlaceName::new("alm-a"),
        region: RegionName::new("almaty"),
        callers: nowhere,
        backend_servers: nowhere,
        peers: nowhere,
        forward: nowhere,
    }
}

/// Takes a granted reply; a view that doesn't fit is a fault of control.
fn take(life: &mut Life, reply: &SyncReply) {
    life.session = reply.session;
    life.settled = life.settled.max(reply.settled_revision);
    if !reply.view_encoded.is_empty() {
        let view: ControlView = postcard::from_bytes(&reply.view_encoded).expect("a view");
        assert!(view.revision >= life.view.revision, "the view went back");
        life.view = view;
    }
    for encoded in &reply.changes_encoded {
        let change: ViewChange = postcard::from_bytes(encoded).expect("a change");
        life.view.apply(&change).expect("a change that fits");
    }
    assert!(
        life.settled <= life.view.revision.0,
        "settled without this entry's acknowledgement"
    );
}

fn shown(view: &ControlView) -> Option<Shown> {
    view.manifest.as_ref().map(|held| Shown {
        version: held.manifest.version.0,
        digest: held.digest.to_string().into(),
        revision: held.revision.0,
    })
}
