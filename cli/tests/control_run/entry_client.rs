//! An entry VM's session with control: follows the view, forgets it, starts anew.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::entry_lease::EntryLease;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::ViewChange;
use heatherring_server::proto::SyncOutcome;
use heatherring_server::proto::SyncReply;
use heatherring_server::proto::SyncRequest;
use heatherring_server::proto::session_client::SessionClient;
use heatherring_testutils::control_history::Acting;
use heatherring_testutils::control_history::Call;
use heatherring_testutils::control_history::EntrySight;
use heatherring_testutils::control_history::Operation;
use heatherring_testutils::control_history::SettledTold;
use heatherring_testutils::control_history::Shown;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::CALL_TIMEOUT;
use super::Client;
use super::channel;

/// Time for which control may hold a reply back.
const WAIT_MS: u32 = 100;
const MAX_PAUSE_MS: u64 = 40;
/// A pause that outlasts lease and margin.
const LONG_PAUSE: Duration = Duration::from_millis(2_500);

/// Holds what an entry VM was told, and on what it acted when.
#[derive(Debug, Default)]
pub struct EntryRecord {
    pub operations: Vec<Operation>,
    pub sights: Vec<EntrySight>,
    pub acting: Vec<Acting>,
    pub settled: Vec<SettledTold>,
}

impl EntryRecord {
    /// Notes that the view acted on so far isn't acted on any more.
    fn stop_acting(&mut self, now_us: u64) {
        if let Some(last) = self.acting.last_mut() {
            last.until_us = last.until_us.min(now_us);
        }
    }
}

#[derive(Debug, Default)]
struct Life {
    session: u64,
    view: ControlView,
    settled: u64,
    lease: EntryLease,
}

/// Follows the view until it is stopped.
pub async fn run(mut client: Client) -> EntryRecord {
    let mut record = EntryRecord::default();
    let mut life = Life::default();
    while !client.is_stopped() {
        // A process that restarts remembers nothing.
        if client.rng.random_ratio(1, 20) {
            life = Life::default();
            record.stop_acting(client.clock.now_us());
        }
        let address = client.addresses.choose(&mut client.rng);
        let address = *address.expect("there are replicas");
        let sent_at = Instant::now();
        let reply = sync(&client, &life, address).await;
        match reply {
            Some(reply) if reply.outcome() == SyncOutcome::Granted => {
                take(&mut life, &reply, sent_at);
                note(&mut record, &client, &life, &reply, sent_at);
            }
            Some(reply) if reply.outcome() == SyncOutcome::SessionLost => {
                life = Life::default();
                record.stop_acting(client.clock.now_us());
            }
            _ => {}
        }
        pause(&mut client).await;
    }
    record
}

async fn pause(client: &mut Client) {
    let pause = if client.rng.random_ratio(1, 40) {
        LONG_PAUSE
    } else {
        Duration::from_millis(client.rng.random_range(0..MAX_PAUSE_MS))
    };
    tokio::time::sleep(pause).await;
}

fn note(
    record: &mut EntryRecord,
    client: &Client,
    life: &Life,
    reply: &SyncReply,
    sent_at: Instant,
) {
    let now_us = client.clock.now_us();
    record.stop_acting(now_us);
    let shown = shown(&life.view);
    record.operations.push(Operation {
        client: client.name.clone(),
        sent_us: client.clock.us(sent_at),
        answered_us: Some(now_us),
        call: Call::Show(shown.clone()),
    });
    record.sights.extend(shown.map(|shown| EntrySight {
        entry: client.name.clone(),
        shown,
    }));
    record.settled.push(SettledTold {
        at_us: now_us,
        revision: reply.settled_revision,
    });
    record
        .acting
        .extend(life.lease.expires_at().map(|until| Acting {
            entry: client.name.clone(),
            opened: life.session,
            revision: life.view.revision.0,
            from_us: now_us,
            until_us: client.clock.us(until),
        }));
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
fn take(life: &mut Life, reply: &SyncReply, sent_at: Instant) {
    let session = SessionId(reply.session);
    let lease = Duration::from_millis(reply.lease_ms.into());
    if life.session == 0 {
        life.lease.opened(session, sent_at, lease);
    } else {
        life.lease.renewed(session, sent_at, lease, Instant::now());
    }
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
