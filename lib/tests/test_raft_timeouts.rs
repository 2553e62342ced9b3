//! When the voters of a cluster campaign.

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

/// The way to another region.
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
        spread_voters: false,
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

/// Symptom: after a start of all replicas there is no leader for four seconds.
///
/// Sequence: two replicas in different regions stand for election within the way between
/// them; each gets the votes of its region, none a majority; and again, five times.
///
/// Cause: timeouts drawn from one range for all. The two shortest of four lay too close one
/// time in three. Each voter has a part of the range of its own.
#[test]
fn test_raft_timeouts_lie_apart() {
    let now = Instant::now();
    for seed in 0..50 {
        let mut voters: Vec<Raft> = (1..=VOTERS).map(|id| voter(id, seed, now)).collect();
        assert_apart(voters.iter().map(Raft::next_wake).collect(), seed);
        // All campaign in the same moment, nobody wins, and all wait anew.
        let later = now + Duration::from_secs(2);
        for raft in &mut voters {
            let _ = raft.step(later, Input::Tick);
        }
        assert_apart(voters.iter().map(Raft::next_wake).collect(), seed);
    }
}
