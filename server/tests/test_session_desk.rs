//! Tests of the leader's handling of the sessions of entry VMs.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::command::Command;
use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::session_relay::Acknowledgement;
use heatherring_lib::settings::ControlTiming;
use heatherring_lib::view::EntryInfo;
use heatherring_server::leader_sessions::HeldBatch;
use heatherring_server::leader_sessions::HeldSync;
use heatherring_server::leader_sessions::LeaderSessions;
use heatherring_server::node_request::BatchAnswer;
use heatherring_server::node_request::SyncAnswer;
use heatherring_server::node_request::SyncCall;
use heatherring_server::node_request::SyncSubject;
use tokio::sync::oneshot;

const DIRECT: SessionId = SessionId(1);
const RELAYED: SessionId = SessionId(2);

/// Returns a state with two sessions, of which [`RELAYED`] begins to leave at revision 3.
fn state() -> ControlState {
    let mut state = ControlState::default();
    for kind in [open(), open(), CommandKind::MarkLeaving(RELAYED)] {
        let index = state.revision().next();
        state.apply(index, &Command { wall_ms: 0, kind }).unwrap();
    }
    state
}

fn open() -> CommandKind {
    let address = "127.0.0.1:1".parse().unwrap();
    CommandKind::OpenSession(EntryInfo {
        vm: VmName::new("entry-1"),
        place: PlaceName::new("alm-a"),
        region: RegionName::new("almaty"),
        callers: address,
        backend_servers: address,
        peers: address,
        forward: address,
    })
}

fn renew_direct(
    sessions: &mut LeaderSessions,
    state: &ControlState,
    now: Instant,
    applied: u64,
) -> oneshot::Receiver<SyncAnswer> {
    let call = SyncCall {
        subject: SyncSubject::Renew(DIRECT),
        applied: Revision(applied),
        known_settled: Revision(2),
        wait: Duration::from_millis(500),
        leaving: false,
        closing: false,
    };
    let (tx, rx) = oneshot::channel();
    let _ = sessions.admit(HeldSync::new(Box::new(call), tx, now), state);
    rx
}

fn renew_relayed(
    sessions: &mut LeaderSessions,
    state: &ControlState,
    now: Instant,
    applied: u64,
) -> BatchAnswer {
    let renewals = vec![Acknowledgement {
        session: RELAYED,
        applied: Revision(applied),
    }];
    let (tx, mut rx) = oneshot::channel();
    sessions.admit_batch(HeldBatch::new(renewals, tx, now), state);
    rx.try_recv().unwrap()
}

#[test]
fn test_leader_sessions_relayed_acknowledgement_settles() {
    // Guards against new owners that never dispatch, observed with eight entry VMs in a region:
    // callers are refused although `status` shows the manifest in force everywhere. One entry VM
    // acknowledges a change itself, then another through a relay. The leader caches the settled
    // revision until an event advances it; if a relay's batch does not count as such an event,
    // the leader keeps answering with the previous settled revision.
    let state = state();
    let now = Instant::now();
    let mut sessions = LeaderSessions::new(&ControlTiming::default());
    sessions.start(now, &state);
    let mut direct = renew_direct(&mut sessions, &state, now, 3);
    sessions.answer_held(now, &state);
    assert!(
        direct.try_recv().is_err(),
        "answered before the relayed session acknowledged the change"
    );

    let BatchAnswer::Granted(grant) = renew_relayed(&mut sessions, &state, now, 3) else {
        panic!("the leader did not grant the relay's batch");
    };
    assert_eq!(grant.settled, Revision(3));
    sessions.answer_held(now, &state);
    let answer = direct.try_recv().unwrap();
    assert!(matches!(
        answer,
        SyncAnswer::Granted {
            settled: Revision(3),
            ..
        }
    ));
}
