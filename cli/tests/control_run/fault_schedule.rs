//! Faults of control replicas and of the links among them.

use std::time::Duration;

use heatherring_testutils::cluster_error::ClusterError;
use heatherring_testutils::cluster_operator::list;
use heatherring_testutils::control_cluster::ControlCluster;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::REPLICAS;

const SHORTEST_FAULT_MS: u64 = 500;
const LONGEST_FAULT_MS: u64 = 2_000;
const MAX_FAULT_FREE_MS: u64 = 600;

/// A kind of fault. The replicas that it affects and its duration are drawn at random.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Injects nothing for the drawn duration.
    Idle,
    /// Kills a process and restarts it later.
    Kill,
    /// Kills all processes at once and restarts them.
    KillAll,
    /// Kills two processes, so that there is no quorum, and restarts them later.
    KillTwo,
    /// Freezes a process and resumes it later.
    Freeze,
    /// Freezes all processes and resumes them one after the other.
    FreezeAll,
    /// Cuts all links of a replica in both directions.
    Isolate,
    /// Cuts all links to a replica; what it sends still arrives.
    CutInbound,
    /// Cuts all links from a replica; what others send still arrives.
    CutOutbound,
    /// Cuts one link in one direction.
    CutLink,
    /// Destroys the disk of a replica and repairs it.
    LoseDisk,
    /// Destroys and repairs the disk of a replica, and at once that of another one.
    LoseDiskTwice,
}

/// All kinds of faults, each drawn with equal probability.
const FAULTS: [Fault; 12] = [
    Fault::Idle,
    Fault::Kill,
    Fault::KillAll,
    Fault::KillTwo,
    Fault::Freeze,
    Fault::FreezeAll,
    Fault::Isolate,
    Fault::CutInbound,
    Fault::CutOutbound,
    Fault::CutLink,
    Fault::LoseDisk,
    Fault::LoseDiskTwice,
];

impl Fault {
    /// Draws `count` faults, with repetition.
    pub fn draw(rng: &mut ChaCha8Rng, count: usize) -> Vec<Self> {
        let draw = || FAULTS[rng.random_range(0..FAULTS.len())];
        std::iter::repeat_with(draw).take(count).collect()
    }
}

/// Injects a fault, and reverts it after a drawn time.
pub async fn apply(
    cluster: &mut ControlCluster,
    fault: &Fault,
    rng: &mut ChaCha8Rng,
) -> Result<(), ClusterError> {
    // Two thirds of the faults affect the leader: faults of followers alone reveal little, and
    // a leader without faults is never replaced.
    let first = if rng.random_ratio(2, 3) {
        cluster.leader().await?
    } else {
        rng.random_range(0..REPLICAS)
    };
    let second = (first + rng.random_range(1..REPLICAS)) % REPLICAS;
    match fault {
        Fault::Idle => {}
        Fault::Kill => cluster.kill(first)?,
        Fault::KillTwo => kill(cluster, &[first, second])?,
        Fault::KillAll => {
            let all: Vec<_> = (0..REPLICAS).collect();
            kill(cluster, &all)?;
        }
        Fault::Freeze => cluster.freeze(first)?,
        Fault::FreezeAll => freeze_all(cluster)?,
        Fault::Isolate => {
            cut_outbound(cluster, first);
            cut_inbound(cluster, first);
        }
        Fault::CutInbound => cut_inbound(cluster, first),
        Fault::CutOutbound => cut_outbound(cluster, first),
        Fault::CutLink => cluster.cut(first, second),
        Fault::LoseDisk => lose_and_repair_disk(cluster, first).await?,
        Fault::LoseDiskTwice => {
            lose_and_repair_disk(cluster, first).await?;
            cluster.lose_and_repair(second).await?;
        }
    }
    pause(rng, SHORTEST_FAULT_MS..LONGEST_FAULT_MS).await;
    revert(cluster, rng).await?;
    pause(rng, 0..MAX_FAULT_FREE_MS).await;
    Ok(())
}

async fn pause(rng: &mut ChaCha8Rng, range_ms: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(range_ms))).await;
}

fn kill(cluster: &mut ControlCluster, numbers: &[usize]) -> Result<(), ClusterError> {
    numbers.iter().try_for_each(|&number| cluster.kill(number))
}

fn freeze_all(cluster: &ControlCluster) -> Result<(), ClusterError> {
    (0..REPLICAS).try_for_each(|number| cluster.freeze(number))
}

/// Cuts the links from all other replicas to `to`.
fn cut_inbound(cluster: &ControlCluster, to: usize) {
    let others = (0..REPLICAS).filter(|&other| other != to);
    others.for_each(|other| cluster.cut(other, to));
}

/// Cuts the links from `from` to all other replicas.
fn cut_outbound(cluster: &ControlCluster, from: usize) {
    let others = (0..REPLICAS).filter(|&other| other != from);
    others.for_each(|other| cluster.cut(from, other));
}

/// Destroys and repairs the disk of a replica, after all replicas have recovered: with three
/// replicas, only one disk may be lost at a time.
async fn lose_and_repair_disk(
    cluster: &mut ControlCluster,
    number: usize,
) -> Result<(), ClusterError> {
    heal(cluster).await?;
    cluster.lose_and_repair(number).await
}

async fn revert(cluster: &mut ControlCluster, rng: &mut ChaCha8Rng) -> Result<(), ClusterError> {
    cluster.mend();
    for number in 0..REPLICAS {
        cluster.thaw(number)?;
        if !cluster.is_running(number) {
            cluster.restart(number)?;
            pause(rng, 0..MAX_FAULT_FREE_MS).await;
        }
    }
    Ok(())
}

/// Reverts all faults and waits until all replicas vote.
pub async fn heal(cluster: &mut ControlCluster) -> Result<(), ClusterError> {
    cluster.mend();
    for number in 0..REPLICAS {
        cluster.thaw(number)?;
        if !cluster.is_running(number) {
            cluster.restart(number)?;
        }
    }
    let all_vote = |status: &serde_json::Value| {
        let replicas = list(status, "replicas");
        let votes = replicas.iter().filter(|replica| replica["voter"] == true);
        replicas.len() == REPLICAS && votes.count() == REPLICAS
    };
    cluster
        .wait_for_status("all replicas vote", all_vote)
        .await?;
    Ok(())
}
