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
const LONGEST_CALM_MS: u64 = 600;

/// Names a fault; replicas, where they aren't given, and times are drawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing happens for a while.
    Calm,
    /// A process is killed and started again later.
    Kill,
    /// All processes are killed at once and started again.
    KillAll,
    /// Two processes are killed and started again later: no quorum.
    KillTwo,
    /// A process is frozen for a while.
    Freeze,
    /// All processes are frozen for a while, then wake up one after the other.
    FreezeAll,
    /// A replica is cut off in both directions.
    Isolate,
    /// A replica is heard but hears nothing.
    Deafen,
    /// A replica hears but isn't heard.
    Mute,
    /// One link is cut in one direction.
    CutLink,
    /// A replica loses its disk and is repaired.
    LoseDisk,
    /// A replica loses its disk and is repaired, and at once another one does as well.
    LoseDiskTwice,
}

/// All faults.
const FAULTS: [Fault; 12] = [
    Fault::Calm,
    Fault::Kill,
    Fault::KillAll,
    Fault::KillTwo,
    Fault::Freeze,
    Fault::FreezeAll,
    Fault::Isolate,
    Fault::Deafen,
    Fault::Mute,
    Fault::CutLink,
    Fault::LoseDisk,
    Fault::LoseDiskTwice,
];

impl Fault {
    /// Draws `count` faults.
    pub fn draw(rng: &mut ChaCha8Rng, count: usize) -> Vec<Self> {
        let draw = || FAULTS[rng.random_range(0..FAULTS.len())];
        std::iter::repeat_with(draw).take(count).collect()
    }
}

/// Lets a fault happen, and mends it after a time.
pub async fn apply(
    cluster: &mut ControlCluster,
    fault: &Fault,
    rng: &mut ChaCha8Rng,
) -> Result<(), ClusterError> {
    // Followers' faults alone would hardly show anything, and a leader that stays away
    // from faults stays the leader.
    let first = if rng.random_ratio(2, 3) {
        cluster.leader().await?
    } else {
        rng.random_range(0..REPLICAS)
    };
    let second = (first + rng.random_range(1..REPLICAS)) % REPLICAS;
    match fault {
        Fault::Calm => {}
        Fault::Kill => cluster.kill(first)?,
        Fault::KillTwo => kill(cluster, &[first, second])?,
        Fault::KillAll => {
            let all: Vec<_> = (0..REPLICAS).collect();
            kill(cluster, &all)?;
        }
        Fault::Freeze => cluster.freeze(first)?,
        Fault::FreezeAll => freeze_all(cluster)?,
        Fault::Isolate => {
            cut_from_others(cluster, first);
            cut_to_others(cluster, first);
        }
        Fault::Deafen => cut_to_others(cluster, first),
        Fault::Mute => cut_from_others(cluster, first),
        Fault::CutLink => cluster.cut(first, second),
        Fault::LoseDisk => lose_disk(cluster, first).await?,
        Fault::LoseDiskTwice => {
            lose_disk(cluster, first).await?;
            cluster.lose_and_repair(second).await?;
        }
    }
    pause(rng, SHORTEST_FAULT_MS..LONGEST_FAULT_MS).await;
    mend(cluster, rng).await?;
    pause(rng, 0..LONGEST_CALM_MS).await;
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

/// Cuts what others send to `to`.
fn cut_to_others(cluster: &ControlCluster, to: usize) {
    let others = (0..REPLICAS).filter(|&other| other != to);
    others.for_each(|other| cluster.cut(other, to));
}

/// Cuts what `from` sends to others.
fn cut_from_others(cluster: &ControlCluster, from: usize) {
    let others = (0..REPLICAS).filter(|&other| other != from);
    others.for_each(|other| cluster.cut(from, other));
}

/// Loses a disk. Others must be whole: with three replicas, one disk is what may be
/// lost at a time.
async fn lose_disk(cluster: &mut ControlCluster, number: usize) -> Result<(), ClusterError> {
    heal(cluster).await?;
    cluster.lose_and_repair(number).await
}

async fn mend(cluster: &mut ControlCluster, rng: &mut ChaCha8Rng) -> Result<(), ClusterError> {
    cluster.mend();
    for number in 0..REPLICAS {
        cluster.thaw(number)?;
        if !cluster.is_running(number) {
            cluster.restart(number)?;
            pause(rng, 0..LONGEST_CALM_MS).await;
        }
    }
    Ok(())
}

/// Mends everything and waits until all replicas vote.
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
