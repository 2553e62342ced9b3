//! Tests of the state that a control replica publishes, with its writer and its readers
//! interleaved at chosen points.

use std::collections::BTreeMap;
use std::future::Future as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Wake;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use heatherring_lib::clock::Clock;
use heatherring_lib::command::Command;
use heatherring_lib::command::CommandKind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::heartbeat_timing::HeartbeatTiming;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::Term;
use heatherring_lib::id::VmName;
use heatherring_lib::presence_report::ReplicaEndpoints;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_effects::Effects;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Token;
use heatherring_lib::raft_message::LogEntry;
use heatherring_lib::raft_message::LogPayload;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::MessageKind;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::raft_write_queue::Completed;
use heatherring_lib::raft_write_queue::WriteQueue;
use heatherring_lib::team_share::LimitTolerance;
use heatherring_server::control_work::WorkMeter;
use heatherring_server::fleet_control::FleetControl;
use heatherring_server::fleet_service::FleetService;
use heatherring_server::node_request::NodeHandle;
use heatherring_server::node_request::NodeRequests;
use heatherring_server::peer_channel::PeerChannels;
use heatherring_server::peer_security::PeerSecurity;
use heatherring_server::presence_task;
use heatherring_server::presence_task::PresenceSetup;
use heatherring_server::proto::FollowRequest;
use heatherring_server::proto::fleet_server::Fleet;
use heatherring_server::published_state;
use heatherring_server::published_state::MAX_PROOF_AGE;
use heatherring_server::published_state::StatePublisher;
use heatherring_server::published_state::StateReader;
use heatherring_server::rollout_task;
use heatherring_server::rollout_task::RolloutSetup;
use heatherring_server::statement_relay::StatementRelay;
use heatherring_server::statement_relay::StatementRelaySetup;
use heatherring_server::token_issuer::TokenIssuer;
use rstest::rstest;
use tonic::Request;

const OWN: ReplicaId = ReplicaId(1);
/// Number of commits that are published while another thread reads.
const COMMITS: u64 = 5_000;
const CLUSTER: ClusterId = ClusterId([7; 16]);

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(number).unwrap()))
}

/// A replica that publishes its state, without a task of its own.
#[derive(Debug)]
struct Replica {
    raft: Raft,
    writes: WriteQueue,
    state: ControlState,
    publisher: StatePublisher,
    sent: Vec<(ReplicaId, Message)>,
}

impl Replica {
    /// Creates one of this many voters.
    fn new(voters: u64, now: Instant) -> (Self, StateReader) {
        let info = |number| ReplicaInfo {
            vm: VmName::new(format!("control-{number}")),
            address: address(number),
        };
        let voters = (1..=voters).map(|number| (ReplicaId(number), info(number)));
        let mut durable = DurableState::default();
        for write in founding_writes(voters.collect::<BTreeMap<_, _>>(), None) {
            durable.apply(write).unwrap();
        }
        let cfg = RaftConfig {
            id: OWN,
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_secs(1),
            election_max: Duration::from_secs(2),
            max_append_bytes: 512,
            snapshot_chunk_bytes: 64,
            seed: 1,
            max_voters: usize::MAX,
            seats: None,
        };
        let (publisher, reader) = published_state::channel();
        let replica = Self {
            raft: Raft::new(cfg, durable, now).unwrap(),
            writes: WriteQueue::default(),
            state: ControlState::default(),
            publisher,
            sent: Vec::new(),
        };
        (replica, reader)
    }

    fn step(&mut self, now: Instant, input: Input) {
        let fx = self.raft.step(now, input);
        let fx = self.writes.push(fx);
        self.carry_out(fx);
    }

    fn carry_out(&mut self, fx: Effects) {
        self.sent.extend(fx.sends);
        for entry in fx.committed {
            self.apply(entry);
        }
    }

    fn apply(&mut self, LogEntry { index, payload, .. }: LogEntry) {
        match payload {
            LogPayload::Noop => self.state.apply_noop(index).unwrap(),
            LogPayload::Membership(membership) => {
                self.state.apply_membership(index, &membership).unwrap();
            }
            LogPayload::Command(encoded) => {
                let command = Command::decode(&encoded).unwrap();
                self.state.apply(index, &command).unwrap();
            }
        }
    }

    /// Writes all records, and carries out what waited for them.
    fn write(&mut self, now: Instant) {
        while self.writes.begin().is_some() {
            let Completed { effects, position } = self.writes.complete();
            self.carry_out(effects);
            if let Some(position) = position {
                self.step(now, Input::Persisted(position));
            }
        }
    }

    fn publish(&self) {
        self.publisher.publish(&self.raft, &self.state);
    }

    /// Commits the evacuation of a place and publishes it, as the only voter.
    fn evacuate(&mut self, now: Instant, place: &str) {
        self.set_evacuated(now, place, true);
    }

    fn set_evacuated(&mut self, now: Instant, place: &str, evacuated: bool) {
        self.step(now, Input::Tick);
        self.write(now);
        let command = evacuation(place, evacuated);
        let token = Token(1);
        self.step(now, Input::Propose { token, command });
        self.write(now);
        self.publish();
    }

    fn receive(&mut self, now: Instant, message: Message) {
        let from = ReplicaId(2);
        self.step(now, Input::Message { from, message });
    }
}

fn evacuation(place: &str, evacuated: bool) -> Vec<u8> {
    let command = FleetCommand::SetEvacuated {
        place: PlaceName::new(place),
        evacuated,
    };
    let command = Command {
        wall_ms: 0,
        kind: CommandKind::Fleet(Box::new(command)),
    };
    command.encode().unwrap()
}

/// A clock that stands still, and runs a step of another thread when it is read.
#[derive(Debug)]
struct InterleavingClock {
    now: Instant,
    /// The step, and the number of readings before it.
    step: Mutex<Option<(usize, Replica)>>,
}

impl Clock for InterleavingClock {
    fn now(&self) -> Instant {
        let mut step = self.step.lock().unwrap();
        *step = match step.take() {
            Some((0, mut replica)) => {
                replica.evacuate(self.now, "later");
                None
            }
            Some((readings, replica)) => Some((readings - 1, replica)),
            None => None,
        };
        self.now
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Starts the service of a replica whose state `published` reads.
fn service(clock: &Arc<InterleavingClock>, published: StateReader) -> (FleetService, NodeRequests) {
    let clock: Arc<dyn Clock> = Arc::<InterleavingClock>::clone(clock);
    let (node, requests) = NodeHandle::channel();
    let channels = PeerChannels::new(PeerSecurity::open_loopback());
    let work = WorkMeter::new(Arc::clone(&clock));
    let presence = presence_task::spawn(PresenceSetup {
        cluster: CLUSTER,
        vm: VmName::new("control-1"),
        endpoints: ReplicaEndpoints {
            address: address(1),
            announcements: None,
            place: PlaceName::new("alm-a"),
        },
        clock: Arc::clone(&clock),
        published: published.clone(),
        node: node.clone(),
        channels: channels.clone(),
        timing: HeartbeatTiming::default(),
        work: work.clone(),
    });
    let rollouts = rollout_task::spawn(RolloutSetup {
        cluster: CLUSTER,
        clock: Arc::clone(&clock),
        published: published.clone(),
        presence: presence.clone(),
        node: node.clone(),
        channels: channels.clone(),
    });
    let statements = StatementRelay::spawn(StatementRelaySetup {
        cluster: CLUSTER,
        own: address(1),
        clock: Arc::clone(&clock),
        published: published.clone(),
        channels,
    });
    let tokens = TokenIssuer::new(
        Arc::clone(&clock),
        address(1),
        LimitTolerance::default(),
        published.clone(),
    );
    let control = FleetControl::new(
        Arc::clone(&clock),
        None,
        published,
        node.clone(),
        presence,
        rollouts,
        work,
    );
    let service = FleetService::new(CLUSTER, clock, control, node, tokens, statements);
    (service, requests)
}

fn follow_request(applied: Revision) -> FollowRequest {
    let record = EntryRecord {
        place: PlaceName::new("alm-a"),
        region: RegionName::new("Almaty"),
        callers: address(1),
        life: 1,
    };
    FollowRequest {
        vm: "entry-1".to_owned(),
        record_encoded: postcard::to_stdvec(&record).unwrap(),
        applied_revision: applied.0,
        ..FollowRequest::default()
    }
}

/// Guards against an entry VM that is told that there is nothing new, with a date at which there
/// was: the answer joins an earlier state with the proof of a later one.
#[rstest]
#[case::proof_that_holds(Duration::from_millis(900))]
#[case::expired_proof(Duration::from_secs(1))]
#[tokio::test]
async fn test_published_state_is_answered_with_its_own_proof(#[case] age: Duration) {
    let mut readings = 0;
    loop {
        let began = Instant::now();
        let (mut replica, reader) = Replica::new(1, began);
        replica.evacuate(began, "earlier");
        let applied = reader.read().fleet.revision();
        let clock = Arc::new(InterleavingClock {
            now: began + age,
            step: Mutex::default(),
        });
        let (service, _requests) = service(&clock, reader);
        tokio::task::yield_now().await;
        *clock.step.lock().unwrap() = Some((readings, replica));
        let reply = service.follow(Request::new(follow_request(applied)));
        let reply = reply.await.unwrap().into_inner();
        if reply.current && reply.update_encoded.is_empty() {
            let proved_before = Duration::from_millis(reply.proved_after_ms.unsigned_abs());
            assert!(reply.proved_after_ms <= 0, "{}", reply.proved_after_ms);
            assert_eq!(proved_before, age, "published at reading {readings}");
            assert!(age < MAX_PROOF_AGE, "published at reading {readings}");
        }
        if clock.step.lock().unwrap().take().is_some() {
            assert!(readings > 4, "{readings}");
            return;
        }
        readings += 1;
    }
}

/// Guards against a state that is shown after the proof of having it, so that a reader on another
/// thread finds the proof of a later state than the one that it reads next.
#[test]
fn test_published_state_is_never_behind_its_proof() {
    let began = Instant::now();
    let (mut replica, reader) = Replica::new(1, began);
    replica.evacuate(began, "place");
    let first = reader.read().fleet.revision();
    let writer = std::thread::spawn(move || {
        for commits in 1..=COMMITS {
            let now = began + Duration::from_millis(commits);
            replica.set_evacuated(now, "place", commits % 2 == 0);
        }
        replica
    });
    let last = began + Duration::from_millis(COMMITS);
    let mut seen = 0;
    while seen < COMMITS {
        let age = reader.proof_age(last).unwrap();
        seen = COMMITS - u64::try_from(age.as_millis()).unwrap();
        let revision = reader.read().fleet.revision();
        assert!(revision.0 >= first.0 + seen, "{revision:?}, proof {seen}");
    }
    writer.join().unwrap();
}

/// Guards against a replica that answers as current with a state that lacks what is committed: the
/// records that its entries wait for are still being written, and its proof counts them already.
#[test]
fn test_published_state_without_the_proof_of_entries_that_it_lacks() {
    let now = Instant::now();
    let (mut replica, reader) = Replica::new(3, now);
    let append = |previous: (u64, u64), entries, commit, reply_number| Message {
        term: Term(2),
        kind: MessageKind::Append {
            previous_index: Revision(previous.0),
            previous_term: Term(previous.1),
            entries,
            commit: Revision(commit),
            barrier: 1,
            reply_number,
            contact_ms: 0,
        },
    };
    let entry = |index, term, payload| LogEntry {
        index: Revision(index),
        term: Term(term),
        payload,
    };
    let noop = |index, term| entry(index, term, LogPayload::Noop);
    // An entry that the next leader doesn't have.
    let mut earlier = append((1, 1), vec![noop(2, 1)], 1, 0);
    earlier.term = Term(1);
    replica.receive(now, earlier);
    replica.receive(now, append((3, 2), Vec::new(), 1, 0));
    replica.write(now);
    let mut replies = replica
        .sent
        .iter()
        .filter_map(|(_, message)| match message.kind {
            MessageKind::AppendReply { reply_number, .. } => Some(reply_number),
            _ => None,
        });
    let reply_number = replies.next_back().unwrap();
    let command = LogPayload::Command(evacuation("place", true).into());
    let entries = vec![noop(2, 2), entry(3, 2, command)];
    replica.receive(now, append((1, 1), entries, 3, reply_number));
    replica.publish();
    assert!(reader.read().fleet.revision() < Revision(3));
    assert!(!reader.is_current(now), "the entry isn't in the state");
    replica.write(now);
    replica.publish();
    assert_eq!(reader.read().fleet.revision(), Revision(3));
    assert!(reader.is_current(now));
}

/// Counts how often a task was woken.
#[derive(Debug, Default)]
struct Wakes(AtomicUsize);

impl Wake for Wakes {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against hundreds of waiting entry VMs that are woken by each heartbeat.
#[test]
fn test_published_state_wakes_nobody_for_a_newer_proof() {
    let began = Instant::now();
    let (mut replica, reader) = Replica::new(1, began);
    replica.evacuate(began, "earlier");
    let mut waiting = reader.clone();
    let woken = Arc::new(Wakes::default());
    let waker = Waker::from(Arc::clone(&woken));
    let mut cx = Context::from_waker(&waker);
    let earlier = std::pin::pin!(waiting.changed()).poll(&mut cx);
    assert!(earlier.is_ready());
    let mut changed = std::pin::pin!(waiting.changed());
    assert!(changed.as_mut().poll(&mut cx).is_pending());
    let later = began + Duration::from_millis(100);
    replica.step(later, Input::Tick);
    replica.publish();
    assert_eq!(reader.proof_age(later), Some(Duration::ZERO));
    assert_eq!(woken.0.load(Ordering::Relaxed), 0);
    replica.evacuate(later, "later");
    assert_eq!(woken.0.load(Ordering::Relaxed), 1);
    assert!(changed.as_mut().poll(&mut cx).is_ready());
}
