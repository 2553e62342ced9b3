//! Heartbeat rounds of a leader that has led before, and answers to its earlier rounds.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::VmName;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_effects::Answer;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_effects::Token;
use heatherring_lib::raft_message::LogPosition;
use heatherring_lib::raft_message::LogWrite;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::MessageKind;
use heatherring_lib::raft_message::ReplicaInfo;

const FIRST: ReplicaId = ReplicaId(1);
const SECOND: ReplicaId = ReplicaId(2);
/// Never runs.
const THIRD: ReplicaId = ReplicaId(3);

/// Number of reads, and thus of rounds, in the first term.
const READS: u64 = 10;

fn voter(id: ReplicaId, now: Instant) -> Raft {
    let info = |id: ReplicaId| ReplicaInfo {
        vm: VmName::new(format!("control-{}", id.0)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    let founders: BTreeMap<_, _> = [FIRST, SECOND, THIRD].map(|id| (id, info(id))).into();
    let mut durable = DurableState::default();
    for write in founding_writes(founders, None) {
        durable.apply(write).expect("consecutive records");
    }
    let cfg = RaftConfig {
        id,
        heartbeat: Duration::from_millis(30),
        election_min: Duration::from_millis(150),
        election_max: Duration::from_millis(300),
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
        seed: id.0,
        max_voters: usize::MAX,
        seats: None,
    };
    Raft::new(cfg, durable, now).expect("a valid state")
}

/// A message with its sender and its receiver.
type Delivery = (ReplicaId, ReplicaId, Message);

/// Two of three replicas, at one moment.
struct Pair {
    now: Instant,
    replicas: BTreeMap<ReplicaId, Raft>,
    sent: VecDeque<Delivery>,
    answers: Vec<Answer>,
    reads: u64,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            replicas: [FIRST, SECOND].map(|id| (id, voter(id, now))).into(),
            sent: VecDeque::new(),
            answers: Vec::new(),
            reads: 0,
        }
    }

    fn step(&mut self, id: ReplicaId, input: Input) {
        let Some(raft) = self.replicas.get_mut(&id) else {
            return;
        };
        let fx = raft.step(self.now, input);
        let messages = fx.sends.into_iter().chain(fx.acks);
        self.sent
            .extend(messages.map(|(to, message)| (id, to, message)));
        self.answers.extend(fx.answers);
        let last = fx.writes.iter().rev().find_map(|write| match write {
            LogWrite::Append(entry) => Some((entry.index, entry.term)),
            _ => None,
        });
        if let Some((index, term)) = last {
            self.step(id, Input::Persisted(LogPosition { index, term }));
        }
    }

    /// Delivers all messages; returns the last one of a heartbeat round that `from` sent.
    fn deliver(&mut self, from: ReplicaId) -> Option<Message> {
        let mut last = None;
        while let Some((sender, to, message)) = self.sent.pop_front() {
            if sender == from && round(&message).is_some() {
                last = Some(message.clone());
            }
            let from = sender;
            self.step(to, Input::Message { from, message });
        }
        last
    }

    fn read(&mut self) -> Token {
        self.reads += 1;
        let token = Token(self.reads);
        self.step(FIRST, Input::ReadBarrier { token });
        token
    }

    fn hand_over(&mut self, from: ReplicaId, to: ReplicaId) {
        self.step(from, Input::StepDown);
        self.deliver(from);
        assert_eq!(self.replicas[&to].role(), Role::Leader);
    }
}

fn round(message: &Message) -> Option<u64> {
    match message.kind {
        MessageKind::Append { barrier, .. } => Some(barrier),
        _ => None,
    }
}

/// Returns two replicas, and a late answer to a round of an earlier term. The leader's next round
/// has the number of that round.
fn late_answer() -> (Pair, VecDeque<Delivery>) {
    let mut pair = Pair::new();
    pair.now = pair.replicas[&FIRST].next_wake();
    pair.step(FIRST, Input::Tick);
    pair.deliver(FIRST);
    let mut late = None;
    for _ in 0..READS {
        pair.read();
        late = pair.deliver(FIRST);
    }
    let late = late.expect("a heartbeat");
    pair.hand_over(FIRST, SECOND);
    pair.hand_over(SECOND, FIRST);
    let mut next = None;
    while next < round(&late) {
        pair.read();
        let latest = pair.deliver(FIRST).as_ref().and_then(round);
        next = latest.map(|number| number + 1);
    }
    assert_eq!(next, round(&late));
    let from = FIRST;
    let message = late;
    pair.step(SECOND, Input::Message { from, message });
    let answered = std::mem::take(&mut pair.sent);
    assert_eq!(answered.len(), 1);
    (pair, answered)
}

/// Guards against a read that is served because of an answer to a round of an earlier term.
#[test]
fn test_raft_rounds_of_an_earlier_term_confirm_no_read() {
    let (mut pair, answered) = late_answer();
    pair.answers.clear();
    let read = pair.read();
    assert_eq!(pair.answers, [], "only the late answer is left to arrive");
    // Nothing that the leader sends from now on arrives.
    for (from, to, message) in answered {
        pair.step(to, Input::Message { from, message });
    }
    let served = pair
        .answers
        .iter()
        .any(|answer| matches!(answer, Answer::ReadReady { token, .. } if *token == read));
    assert!(
        !served,
        "the read was served without an answer to its round"
    );
}

/// Guards against a leader that counts as proven because of an answer to an earlier term's round.
#[test]
fn test_raft_rounds_of_an_earlier_term_prove_no_leader() {
    let (mut pair, answered) = late_answer();
    let proven_at = pair.replicas[&FIRST].proven_current_at();
    assert!(proven_at.is_some());
    pair.now = pair.replicas[&FIRST].next_wake();
    pair.step(FIRST, Input::Tick);
    for (from, to, message) in answered {
        pair.step(to, Input::Message { from, message });
    }
    assert_eq!(pair.replicas[&FIRST].proven_current_at(), proven_at);
}
