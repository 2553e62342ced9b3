//! Election timeouts of the voters of a cluster.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::id::ReplicaId;
use heatherring_lib::id::VmName;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_config::DurableState;
use heatherring_lib::raft_config::RaftConfig;
use heatherring_lib::raft_config::founding_writes;
use heatherring_lib::raft_effects::Input;
use heatherring_lib::raft_message::ReplicaInfo;

const VOTERS: u64 = 5;

/// One-way delay to another region.
const ONE_WAY_DELAY: Duration = Duration::from_millis(55);

fn voter(id: u64, seed: u64, now: Instant) -> Raft {
    let info = |id: u64| ReplicaInfo {
        vm: VmName::new(format!("control-{id}")),
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(id).unwrap())),
    };
    let founders: BTreeMap<ReplicaId, ReplicaInfo> =
        (1..=VOTERS).map(|id| (ReplicaId(id), info(id))).collect();
    let mut durable = DurableState::default();
    for write in founding_writes(founders, None) {
        durable.apply(write).unwrap();
    }
    let cfg = RaftConfig {
        id: ReplicaId(id),
        heartbeat: Duration::from_millis(100),
        election_min: Duration::from_millis(600),
        election_max: Duration::from_millis(1_200),
        max_append_bytes: 512,
        snapshot_chunk_bytes: 64,
        seed: seed * 1_000 + id,
        max_voters: 5,
        seats: None,
    };
    Raft::new(cfg, durable, now).unwrap()
}

fn assert_apart(mut wakes: Vec<Instant>, seed: u64) {
    wakes.sort();
    for pair in wakes.windows(2) {
        let gap = pair[1].saturating_duration_since(pair[0]);
        assert!(gap >= ONE_WAY_DELAY, "seed {seed}: {gap:?}");
    }
}

/// Symptom: after all replicas start, there is no leader for four seconds.
///
/// Sequence: two replicas in different regions start an election within the one-way delay
/// between them; each wins the votes of its own region, neither a majority. This repeats
/// five times.
///
/// Cause: all timeouts are drawn from the same range, so that the two shortest of four are
/// too close one time in three. Each voter therefore has its own slot of the range.
#[test]
fn test_raft_timeouts_lie_apart() {
    let now = Instant::now();
    for seed in 0..50 {
        let mut voters: Vec<Raft> = (1..=VOTERS).map(|id| voter(id, seed, now)).collect();
        assert_apart(voters.iter().map(Raft::next_wake).collect(), seed);
        // All campaign at the same time, none wins, and all start a new timeout.
        let later = now + Duration::from_secs(2);
        for raft in &mut voters {
            let _ = raft.step(later, Input::Tick);
        }
        assert_apart(voters.iter().map(Raft::next_wake).collect(), seed);
    }
}
