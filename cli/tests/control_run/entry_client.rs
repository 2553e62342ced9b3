//! A simulated entry VM that holds a session with control, follows the view and now and then
//! restarts without its state.

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

/// Time for which control may delay a reply that has no news.
const WAIT_MS: u32 = 100;
const MAX_PAUSE_MS: u64 = 40;
/// A pause longer than the lease and its margin.
const LONG_PAUSE: Duration = Duration::from_millis(2_500);

/// Records the replies that an entry VM received and which view it acted on at which time.
#[derive(Debug, Default)]
pub struct EntryRecord {
    pub operations: Vec<Operation>,
    pub sights: Vec<EntrySight>,
    pub acting: Vec<Acting>,
    pub settled: Vec<SettledTold>,
}

impl EntryRecord {
    /// Records that the entry VM stopped acting on its current view at `now_us`.
    fn stop_acting(&mut self, now_us: u64) {
        if let Some(last) = self.acting.last_mut() {
            last.until_us = last.until_us.min(now_us);
        }
    }
}

#[derive(Debug, Default)]
struct Incarnation {
    session: u64,
    view: ControlView,
    settled: u64,
    lease: EntryLease,
}

/// Follows the view until the run is stopped; returns what was recorded.
pub async fn run(mut client: Client) -> EntryRecord {
    let mut record = EntryRecord::default();
    let mut incarnation = Incarnation::default();
    while !client.is_stopped() {
        // Simulates a restart: a restarted process has no session and no view.
        if client.rng.random_ratio(1, 20) {
            incarnation = Incarnation::default();
            record.stop_acting(client.clock.now_us());
        }
        let address = client.addresses.choose(&mut client.rng);
        let address = *address.expect("the cluster has replicas");
        let sent_at = Instant::now();
        let reply = sync(&client, &incarnation, address).await;
        match reply {
            Some(reply) if reply.outcome() == SyncOutcome::Granted => {
                apply_reply(&mut incarnation, &reply, sent_at);
                record_reply(&mut record, &client, &incarnation, &reply, sent_at);
            }
            Some(reply) if reply.outcome() == SyncOutcome::SessionLost => {
                incarnation = Incarnation::default();
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

fn record_reply(
    record: &mut EntryRecord,
    client: &Client,
    incarnation: &Incarnation,
    reply: &SyncReply,
    sent_at: Instant,
) {
    let now_us = client.clock.now_us();
    record.stop_acting(now_us);
    let shown = shown_manifest(&incarnation.view);
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
        .extend(incarnation.lease.expires_at().map(|until| Acting {
            entry: client.name.clone(),
            opened: incarnation.session,
            revision: incarnation.view.revision.0,
            from_us: now_us,
            until_us: client.clock.us(until),
        }));
}

async fn sync(
    client: &Client,
    incarnation: &Incarnation,
    address: SocketAddr,
) -> Option<SyncReply> {
    let request = SyncRequest {
        entry_encoded: postcard::to_stdvec(&info(&client.name)).expect("info is encodable"),
        session: incarnation.session,
        applied_revision: incarnation.view.revision.0,
        known_settled: incarnation.settled,
        wait_ms: WAIT_MS,
        ..SyncRequest::default()
    };
    let mut session = SessionClient::new(channel(address));
    let reply = tokio::time::timeout(CALL_TIMEOUT, session.sync(request)).await;
    Some(reply.ok()?.ok()?.into_inner())
}

fn info(vm: &str) -> EntryInfo {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    EntryInfo {
        vm: VmName::new(vm),
        place: PlaceName::new("alm-a"),
        region: RegionName::new("almaty"),
        callers: unused_address,
        backend_servers: unused_address,
        peers: unused_address,
        forward: unused_address,
    }
}

/// Applies a granted reply. A view or change that does not follow from the current view is a
/// fault of control.
///
/// # Panics
///
/// Panics on such a fault.
fn apply_reply(incarnation: &mut Incarnation, reply: &SyncReply, sent_at: Instant) {
    let session = SessionId(reply.session);
    let lease = Duration::from_millis(reply.lease_ms.into());
    if incarnation.session == 0 {
        incarnation.lease.opened(session, sent_at, lease);
    } else {
        incarnation
            .lease
            .renewed(session, sent_at, lease, Instant::now());
    }
    incarnation.session = reply.session;
    incarnation.settled = incarnation.settled.max(reply.settled_revision);
    if !reply.view_encoded.is_empty() {
        let view: ControlView =
            postcard::from_bytes(&reply.view_encoded).expect("the view is decodable");
        assert!(
            view.revision >= incarnation.view.revision,
            "the view's revision decreased"
        );
        incarnation.view = view;
    }
    for encoded in &reply.changes_encoded {
        let change: ViewChange = postcard::from_bytes(encoded).expect("the change is decodable");
        incarnation
            .view
            .apply(&change)
            .expect("the change applies to the current view");
    }
    assert!(
        incarnation.settled <= incarnation.view.revision.0,
        "the settled revision was not acknowledged by this entry VM"
    );
}

fn shown_manifest(view: &ControlView) -> Option<Shown> {
    view.manifest.as_ref().map(|current| Shown {
        version: current.manifest.version.0,
        digest: current.digest.to_string().into(),
        revision: current.revision.0,
    })
}
