//! Directed tests of Raft, each for a mistake that a naive implementation makes.

mod raft_network;

use std::time::Duration;

use heatherring_lib::id::Revision;
use heatherring_lib::id::Term;
use heatherring_lib::raft_effects::Answer;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_effects::Refusal;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_message::Message;
use heatherring_lib::raft_message::MessageKind;

use self::raft_network::ELECTION_MAX;
use self::raft_network::ELECTION_MIN;
use self::raft_network::Network;
use self::raft_network::id;

#[test]
fn test_raft_single_replica_commits_alone() {
    let mut network = Network::new(1);
    network.commit_one();
    let read = network.read(id(1));
    network.run(Duration::from_millis(10));
    assert!(matches!(network.answers[&read], Answer::ReadReady { .. }));
}

#[test]
fn test_raft_replicas_join_and_vote() {
    let mut network = Network::with_voters(2, 3);
    assert_eq!(network.voters(), [id(1), id(2), id(3)].into());
    network.commit_one();
}

#[test]
fn test_raft_isolated_leader_answers_no_read() {
    // Symptom: an operator reads a stale manifest as the current one.
    // Sequence: the leader is isolated; the others elect another one and commit; a read
    // arrives at the old leader, which has not stepped down yet.
    // Cause: the leader answers reads from its own state, without contacting a quorum.
    let mut network = Network::with_voters(3, 3);
    let old = network.leader().unwrap();
    network.isolate(old);
    let early = network.read(old);
    network.run(ELECTION_MAX * 4);
    let late = network.read(old);
    network.commit_one();
    assert_ne!(network.leader(), Some(old));
    for read in [early, late] {
        assert!(matches!(network.answers[&read], Answer::Refused { .. }));
    }
}

#[test]
fn test_raft_isolated_leader_refuses_proposals_as_absent() {
    // Symptom: an operator gets no answer, or a manifest that is not committed is reported
    // as accepted.
    // Sequence: the leader is isolated for longer than an election takes.
    // Cause: the leader accepts proposals without recent contact with a majority.
    let mut network = Network::with_voters(4, 3);
    let old = network.leader().unwrap();
    network.isolate(old);
    network.run(ELECTION_MAX * 2);
    let token = network.propose(old);
    network.run(Duration::from_millis(10));
    let Answer::Refused { reason, .. } = &network.answers[&token] else {
        panic!("accepted: {:?}", network.answers[&token]);
    };
    assert!(reason.is_proved_absent(), "{reason}");
}

#[test]
fn test_raft_returning_replica_deposes_nobody() {
    // Symptom: a working leader is deposed whenever a partition heals.
    // Sequence: a follower is isolated for many election timeouts and reconnects.
    // Cause: candidates increment the term without a pre-vote.
    let mut network = Network::with_voters(5, 3);
    let leader = network.leader().unwrap();
    let term = network.raft(leader).term();
    let follower = if leader == id(2) { id(3) } else { id(2) };
    network.isolate(follower);
    network.run(ELECTION_MAX * 20);
    network.heal();
    network.run(ELECTION_MAX * 4);
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(network.raft(leader).term(), term);
    assert_eq!(network.raft(follower).role(), Role::Follower);
}

#[test]
fn test_raft_late_vote_request_deposes_nobody() {
    // Symptom: a working leader is deposed although all replicas are in contact with it.
    // Sequence: a vote request is delayed in the network and arrives after another leader
    // was elected.
    // Cause: replicas answer vote requests while they are in contact with a leader.
    let mut network = Network::with_voters(14, 3);
    let leader = network.leader().unwrap();
    let term = network.raft(leader).term();
    let from = if leader == id(2) { id(3) } else { id(2) };
    let message = Message {
        term: Term(term.0 + 1),
        kind: MessageKind::Vote {
            last_index: Revision(1_000),
            last_term: term,
            handover: false,
        },
    };
    for number in (1..=3).filter(|number| id(*number) != from) {
        let message = message.clone();
        network.step(id(number), Input::Message { from, message });
    }
    network.run(ELECTION_MAX * 2);
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(network.raft(leader).term(), term);
}

#[test]
fn test_raft_second_voter_lost_after_repair_loses_nothing() {
    // Symptom: an accepted manifest is lost after a repair.
    // Sequence: one replica's disk is lost, a new replica replaces it, and as soon as the
    // old one is removed from the membership a second disk is lost.
    // Cause: the new replica is counted before it durably holds the log.
    let mut network = Network::with_voters(6, 3);
    let before = network.commit_one();
    network.lose_disk(id(3));
    network.commit_one();
    network.join(4, Some(3));
    network.run_until("the lost replica is removed", |network| {
        network.voters() == [id(1), id(2), id(4)].into()
    });
    network.run_until("the removal is committed", |network| {
        let leader = network.leader();
        leader.is_some_and(|leader| network.raft(leader).membership_is_committed())
    });
    network.lose_disk(id(2));
    let after = network.commit_one();
    assert!(after > before);
    let leader = network.leader().unwrap();
    assert!(network.raft(leader).commit() >= after);
}

#[test]
fn test_raft_frozen_leader_wakes() {
    // Symptom: a process that was suspended and resumed serves stale state.
    // Sequence: the leader is frozen, the others elect another one; the old leader resumes
    // with messages in its buffers and gets a read and a proposal first.
    // Cause: the leader relies on replies sent before the freeze.
    let mut network = Network::with_voters(7, 3);
    let old = network.leader().unwrap();
    network.freeze(old, ELECTION_MAX * 5);
    network.run(ELECTION_MAX * 4);
    assert_eq!(network.raft(old).role(), Role::Leader);
    let read = network.read(old);
    let proposal = network.propose(old);
    network.run(ELECTION_MAX * 2);
    let Answer::Refused { reason, .. } = &network.answers[&read] else {
        panic!("served: {:?}", network.answers[&read]);
    };
    assert!(matches!(reason, Refusal::NotLeader { .. }), "{reason}");
    let Answer::Refused { reason, .. } = &network.answers[&proposal] else {
        panic!("accepted: {:?}", network.answers[&proposal]);
    };
    assert!(reason.is_proved_absent(), "{reason}");
}

#[test]
fn test_raft_answers_from_before_a_freeze_prove_nothing() {
    // Symptom: a leader accepts a proposal that it cannot commit, instead of refusing it.
    // Sequence: the leader sends a round of heartbeats and is frozen, and the replies wait in
    // its buffers until it resumes.
    // Cause: replies are dated by when they are read.
    let mut network = Network::with_voters(15, 3);
    let leader = network.leader().unwrap();
    let mut others = (1..=3).map(id).filter(|it| *it != leader);
    let (one, other) = (others.next().unwrap(), others.next().unwrap());
    // Prevents the election of another leader, whose messages would depose this one first.
    network.cut(one, other);
    network.cut(other, one);
    network.conditions.max_sync_ms = 0;
    network.read(leader);
    network.run(Duration::from_millis(1));
    let freeze = ELECTION_MIN + Duration::from_millis(50);
    network.freeze(leader, freeze);
    network.run(freeze);
    assert_eq!(network.raft(leader).role(), Role::Leader);
    let token = network.propose(leader);
    network.run(Duration::from_millis(1));
    let reason = Refusal::NoQuorum;
    assert_eq!(network.answers[&token], Answer::Refused { token, reason });
}

#[test]
fn test_raft_old_term_entry_is_not_committed_by_counting() {
    // Symptom: an applied entry is replaced by another one.
    // Sequence: an entry of an early term reaches two of five replicas; a leader of a
    // later term appends its own entry at the same index and crashes; the first leader
    // returns, replicates the old entry to a third replica and crashes; the second leader
    // returns and is elected, since its last entry has the higher term.
    // Cause: the old entry is committed because a majority holds it.
    let mut network = Network::with_voters(8, 5);
    let first = network.leader().unwrap().0;
    let others: Vec<u64> = (1..=5).filter(|number| *number != first).collect();
    let second = others[0];
    network.partition(&[first, second]);
    // Large enough to fill an append of its own, so that it is replicated separately.
    network.propose_padded(id(first), 1_000);
    network.run(Duration::from_millis(20));
    let disputed = network.raft(id(first)).last_index();
    assert_eq!(network.raft(id(second)).last_index(), disputed);
    network.crash(id(first));

    let group = &others[1..];
    network.partition(group);
    let later = network.run_until_elected(group);
    network.partition(&[]);
    network.run(Duration::from_millis(20));
    assert_eq!(network.raft(id(later)).last_index(), disputed);
    network.crash(id(later));

    let rest: Vec<u64> = group.iter().copied().filter(|it| *it != later).collect();
    let third = rest[0];
    network.restart(id(first));
    network.partition(&[first, second, third]);
    let back = network.run_until_elected(&[first, second]);
    while network.raft(id(third)).last_index() < disputed {
        network.run(Duration::from_millis(1));
    }
    network.cut(id(back), id(third));
    network.run(Duration::from_millis(20));
    assert_eq!(network.raft(id(third)).last_index(), disputed);
    network.crash(id(first));
    network.crash(id(second));

    network.restart(id(later));
    network.partition(&[later, third, rest[1]]);
    network.run_until_elected(&[later]);
    network.commit_one();
    network.heal();
    network.restart(id(first));
    network.restart(id(second));
    network.run(ELECTION_MAX * 4);
    network.commit_one();
}

#[test]
fn test_raft_overwritten_proposal_may_come_back() {
    // Symptom: an operator is told "not accepted", but the manifest takes effect later.
    // Sequence: a leader replicates a proposal to one other replica and is partitioned; a
    // later leader replaces it in the first leader's log and crashes before it commits;
    // the other replica is elected next and commits the proposal.
    // Cause: the replacement in the replica's own log is taken as proof that the entry
    // will not be committed.
    let mut network = Network::with_voters(9, 5);
    let first = network.leader().unwrap().0;
    let others: Vec<u64> = (1..=5).filter(|number| *number != first).collect();
    let second = others[0];
    network.partition(&[first, second]);
    let token = network.propose(id(first));
    network.run(Duration::from_millis(20));
    let disputed = network.raft(id(first)).last_index();
    assert_eq!(network.raft(id(second)).last_index(), disputed);

    let group = &others[1..];
    network.partition(group);
    let later = network.run_until_elected(group);
    network.partition(&[first, later]);
    let term = network.raft(id(later)).term();
    network.run_until("the proposal is replaced", |network| {
        let entries = &network.nodes[&id(first)].disk.entries;
        entries.last().unwrap().term == term
    });
    network.crash(id(later));

    let rest: Vec<u64> = group.iter().copied().filter(|it| *it != later).collect();
    network.partition(&[second, rest[0], rest[1]]);
    network.run_until_elected(&[second]);
    network.commit_one();
    network.heal();
    network.run(ELECTION_MAX * 4);
    match &network.answers[&token] {
        Answer::Committed { index, .. } => assert_eq!(*index, disputed),
        Answer::Refused { reason, .. } => assert!(!reason.is_proved_absent(), "{reason}"),
        Answer::ReadReady { .. } => panic!("a proposal was answered as a read"),
    }
}

#[test]
fn test_raft_new_leader_answers_no_read_before_it_commits() {
    // Symptom: a read right after an election misses an entry committed before it.
    // Sequence: a leader commits and crashes; the next one has the entries but does not
    // know yet that they are committed; a read arrives.
    // Cause: the read is served at the commit index of a leader that has not yet committed
    // an entry of its own term.
    let mut network = Network::with_voters(10, 3);
    let old = network.leader().unwrap();
    let token = network.propose(old);
    while !network.answers.contains_key(&token) {
        network.run(Duration::from_millis(1));
    }
    network.isolate(old);
    network.crash(old);
    let group: Vec<u64> = (1..=3).filter(|number| *number != old.0).collect();
    let new = network.run_until_elected(&group);
    let read = network.read(id(new));
    network.run(Duration::from_millis(100));
    assert!(matches!(network.answers[&read], Answer::ReadReady { .. }));
}

#[test]
fn test_raft_committed_entries_outlast_a_power_loss() {
    // Symptom: an accepted manifest is lost after a restart of all processes at once.
    // Sequence: a proposal is answered as committed, all replicas lose their unsynced
    // writes, and the former leader stays down.
    // Cause: an acknowledgement is sent before the entry is synced.
    let mut network = Network::with_voters(12, 3);
    network.conditions.max_sync_ms = 100;
    for _ in 0..10 {
        network.commit_one();
        let leader = network.leader().unwrap();
        network.lose_power();
        network.crash(leader);
        network.commit_one();
        network.restart(leader);
    }
}

#[test]
fn test_raft_vote_outlasts_a_restart() {
    // Symptom: two leaders in one term.
    // Sequence: a replica votes, restarts, and receives a vote request of another candidate.
    // Cause: the vote is sent before it is durable.
    let mut network = Network::with_voters(13, 3);
    let leader = network.leader().unwrap();
    let term = Term(network.raft(leader).term().0 + 5);
    let voter = if leader == id(2) { id(3) } else { id(2) };
    network.isolate(voter);
    network.run(ELECTION_MAX);
    let ask = |network: &mut Network, candidate: u64| {
        let kind = MessageKind::Vote {
            last_index: Revision(1_000),
            last_term: term,
            handover: false,
        };
        let message = Message { term, kind };
        let from = id(candidate);
        network.step(voter, Input::Message { from, message });
        network.run(Duration::from_millis(10));
        network.nodes[&voter].disk.hard_state.voted_for
    };
    assert_eq!(ask(&mut network, 7), Some(id(7)));
    network.crash(voter);
    network.restart(voter);
    assert_eq!(ask(&mut network, 8), Some(id(7)));
}

#[test]
fn test_raft_slow_replica_is_sent_a_bounded_amount() {
    // Symptom: the leader runs out of memory while one replica is slow.
    // Sequence: a replica stops reading while large proposals continue.
    // Cause: unacknowledged appends are limited by their number only, not by their size.
    let mut network = Network::with_voters(17, 3);
    let leader = network.leader().unwrap();
    let slow = if leader == id(2) { id(3) } else { id(2) };
    network.freeze(slow, ELECTION_MAX * 10);
    for _ in 0..40 {
        network.propose_padded(leader, 2_000);
        network.run(Duration::from_millis(20));
    }
    let bytes = network.bytes_in_transit(slow);
    assert!((1..6_000).contains(&bytes), "{bytes}");
    network.run(ELECTION_MAX * 12);
    let last = network.commit_one();
    network.run(ELECTION_MAX);
    assert!(network.nodes[&slow].state_machine.applied >= last);
}

#[test]
fn test_raft_large_proposals_wait_in_bounded_memory() {
    // Symptom: the leader runs out of memory while nothing can be committed.
    // Sequence: the other replicas are frozen briefly while large proposals continue.
    // Cause: pending proposals are limited by their number only, not by their size.
    let mut network = Network::with_voters(18, 3);
    let leader = network.leader().unwrap();
    for number in (1..=3).filter(|number| id(*number) != leader) {
        network.freeze(id(number), ELECTION_MAX);
    }
    let tokens: Vec<_> = (0..5)
        .map(|_| network.propose_padded(leader, 16 << 20))
        .collect();
    network.run(Duration::from_millis(10));
    let token = tokens[4];
    let reason = Refusal::Busy;
    let busy = Answer::Refused { token, reason };
    assert_eq!(network.answers.get(&token), Some(&busy));
    assert_eq!(network.answers.get(&tokens[3]), None);
}

#[test]
fn test_raft_planned_stop_hands_over() {
    let mut network = Network::with_voters(11, 3);
    let old = network.leader().unwrap();
    let token = network.propose(old);
    network.step(old, Input::StepDown);
    let refused = network.propose(old);
    network.run(Duration::from_millis(60));
    let new = network.leader().unwrap();
    assert_ne!(new, old);
    assert!(matches!(network.answers[&token], Answer::Committed { .. }));
    assert_eq!(
        network.answers[&refused],
        Answer::Refused {
            token: refused,
            reason: Refusal::HandingOver
        }
    );
}
