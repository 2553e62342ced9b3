//! What a leader reports of silent voters and of learners that are not promoted.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::VmName;
use heatherring_lib::raft_effects::ReplicaProgress;
use heatherring_lib::raft_message::Membership;
use heatherring_lib::raft_message::ReplicaInfo;
use heatherring_lib::replica_watch::MemberChange;
use heatherring_lib::replica_watch::MemberCounts;
use heatherring_lib::replica_watch::MemberView;
use heatherring_lib::replica_watch::PromotionObstacle;
use heatherring_lib::replica_watch::ReplicaWatch;
use rstest::rstest;

const SILENT_AFTER: Duration = Duration::from_millis(1_200);
const COMMIT: Revision = Revision(40);
const VOTER: ReplicaId = ReplicaId(2);
const LEARNER: ReplicaId = ReplicaId(3);

fn info(id: u64) -> ReplicaInfo {
    ReplicaInfo {
        vm: VmName::new(format!("control-{id}")),
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(id).unwrap())),
    }
}

/// Returns the voters 1, which leads, and 2, and the learner 3.
fn membership() -> Membership {
    Membership {
        voters: [1, 2].map(|id| (ReplicaId(id), info(id))).into(),
        learners: [(LEARNER, info(3))].into(),
        ..Membership::default()
    }
}

fn progress(id: ReplicaId, matched: Revision, last_heard: Option<Instant>) -> ReplicaProgress {
    ReplicaProgress {
        id,
        voter: id == VOTER,
        matched,
        last_heard,
        snapshot: None,
    }
}

fn view<'a>(
    membership: &'a Membership,
    progress: &'a [ReplicaProgress],
    now: Instant,
) -> MemberView<'a> {
    MemberView {
        membership,
        progress,
        commit: COMMIT,
        change_pending: false,
        max_voters: 2,
        silent_after: SILENT_AFTER,
        now,
    }
}

/// Guards against a lost voter that no line names, and against a line for each heartbeat.
#[rstest]
#[case::heard_before(Some(Duration::ZERO))]
#[case::never_heard(None)]
fn test_replica_watch_reports_a_silent_voter_once(#[case] heard: Option<Duration>) {
    let start = Instant::now();
    let membership = membership();
    let mut watch = ReplicaWatch::new(start);
    let heard = heard.map(|after| start + after);
    let silent = [progress(VOTER, COMMIT, heard)];
    let before = start + Duration::from_millis(1_199);
    assert_eq!(watch.check(&view(&membership, &silent, before)), []);
    let now = start + SILENT_AFTER;
    let reported = watch.check(&view(&membership, &silent, now));
    assert_eq!(reported, [MemberChange::VoterSilent(VOTER)]);
    assert_eq!(watch.check(&view(&membership, &silent, now)), []);
    let back = [progress(VOTER, COMMIT, Some(now))];
    let reported = watch.check(&view(&membership, &back, now));
    assert_eq!(reported, [MemberChange::VoterAnswers(VOTER)]);
}

/// Guards against a learner without a vote of which nothing tells why.
#[rstest]
#[case::behind(|_: &mut MemberView| (), Revision(39), PromotionObstacle::Behind)]
#[case::seats_taken(|_: &mut MemberView| (), COMMIT, PromotionObstacle::SeatsTaken)]
#[case::change_pending(|view: &mut MemberView| view.change_pending = true, COMMIT, PromotionObstacle::ChangePending)]
#[case::seat_reserved(|view: &mut MemberView| view.max_voters = 3, COMMIT, PromotionObstacle::SeatReserved)]
#[case::silent(|view: &mut MemberView| view.now += SILENT_AFTER, COMMIT, PromotionObstacle::Silent)]
fn test_replica_watch_tells_why_a_learner_waits(
    #[case] arrange: fn(&mut MemberView),
    #[case] matched: Revision,
    #[case] expected: PromotionObstacle,
) {
    let now = Instant::now();
    let membership = membership();
    let mut watch = ReplicaWatch::new(now);
    watch.check(&view(&membership, &[], now));
    let learner = [progress(LEARNER, matched, Some(now))];
    let mut seen = view(&membership, &learner, now);
    arrange(&mut seen);
    let reported = watch.check(&seen);
    assert_eq!(reported, [MemberChange::LearnerWaits(LEARNER, expected)]);
    assert_eq!(watch.check(&seen), []);
}

/// Guards against numbers of members that don't tell a lost majority with learners ready.
#[test]
fn test_replica_watch_counts_members() {
    let start = Instant::now();
    let now = start + SILENT_AFTER;
    let membership = membership();
    let mut watch = ReplicaWatch::new(start);
    let members = [
        progress(VOTER, COMMIT, None),
        progress(LEARNER, COMMIT, Some(now)),
    ];
    watch.check(&view(&membership, &members, now));
    let expected = MemberCounts {
        voters_live: 1,
        voters_silent: 1,
        learners_ready: 1,
        learners_behind: 0,
    };
    assert_eq!(watch.counts(&membership), expected);
}
