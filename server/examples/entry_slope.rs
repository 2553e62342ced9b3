//! Measures the resources that an entry VM uses for its communication with the other entry VMs, at
//! several counts of them, and the number of look-ups that one core answers.
//!
//! Runs real processes: one control replica, entry VMs of one region in two places, and a few
//! fake backend servers. Run it with `cargo build --release --bins -p heatherring
//! -p heatherring-testutils && cargo run --release -p heatherring-server --example
//! entry_slope`.

use std::error::Error;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_testutils::cluster_plan::VmPlan;
use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::process_usage::cpu_seconds;
use heatherring_testutils::process_usage::fit;
use heatherring_testutils::process_usage::rss_kb;

type AnyResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

const ENTRY_COUNTS: [usize; 4] = [4, 8, 16, 32];
const PHASE: Duration = Duration::from_secs(8);
const SETTLE: Duration = Duration::from_secs(4);
const LOOK_UP_LOOPS: usize = 16;
const SEED: u64 = 7;

/// Result for one number of entry VMs.
#[derive(Clone, Copy, Debug)]
struct Row {
    entries: usize,
    /// Mean idle load of all entry VMs, in percent of a core; `highest_core` is their maximum.
    mean_core: f64,
    highest_core: f64,
    rss_mb: f64,
    /// Look-ups answered per second of CPU time, at the entry VM that received them.
    look_ups_per_core: f64,
}

#[tokio::main]
async fn main() -> AnyResult<()> {
    let binary = Path::new("target/release/heatherring");
    let mut rows = Vec::new();
    for entries in ENTRY_COUNTS {
        let row = measure(binary, entries).await?;
        eprintln!("{row:?}");
        rows.push(row);
    }
    print_table(&rows);
    Ok(())
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a short run fit a float's mantissa"
)]
async fn measure(binary: &Path, entries: usize) -> AnyResult<Row> {
    let mut deployment = Deployment::start(plan(entries), binary).await?;
    tokio::time::sleep(SETTLE).await;
    let pids: Vec<u32> = (0..entries)
        .map(|index| deployment.cluster.process(&vm_name(index)).pid())
        .collect();
    let before = all_cpu_seconds(&pids)?;
    tokio::time::sleep(PHASE).await;
    let after = all_cpu_seconds(&pids)?;
    let cores: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| 100.0 * (after - before) / PHASE.as_secs_f64())
        .collect();
    let look_ups_per_core = look_up(&deployment, pids[0]).await?;
    Ok(Row {
        entries,
        mean_core: cores.iter().sum::<f64>() / entries as f64,
        highest_core: cores.iter().copied().fold(0.0, f64::max),
        rss_mb: rss_kb(pids[0])? as f64 / 1e3,
        look_ups_per_core,
    })
}

fn vm_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn plan(entries: usize) -> DeploymentPlan {
    let mut plan = DeploymentPlan::small(2, SEED);
    let places = plan.cluster.places();
    plan.cluster.entries = (0..entries)
        .map(|index| {
            let place = &places[index % places.len()].0;
            VmPlan::new(&vm_name(index), place, "region")
        })
        .collect();
    plan.cluster.controls.truncate(1);
    plan
}

fn all_cpu_seconds(pids: &[u32]) -> AnyResult<Vec<f64>> {
    let used: Result<_, _> = pids.iter().map(|pid| cpu_seconds(*pid)).collect();
    Ok(used?)
}

/// Sends look-ups to one entry VM for the length of [`PHASE`], as fast as it answers, and returns
/// the number answered per second of CPU time.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a short run fit a float's mantissa"
)]
async fn look_up(deployment: &Deployment, pid: u32) -> AnyResult<f64> {
    let entry = deployment.cluster.callers_address(&vm_name(0));
    let service = deployment.plan.groups[0].service.clone();
    let place = deployment.plan.cluster.places()[0].0.clone();
    let before = cpu_seconds(pid)?;
    let end = Instant::now() + PHASE;
    let caller = Arc::new(deployment.caller("look-up", &place, 0));
    let loops: Vec<_> = (0..LOOK_UP_LOOPS)
        .map(|_| {
            let caller = Arc::clone(&caller);
            let service = service.clone();
            tokio::spawn(async move {
                let mut answered = 0_u64;
                while Instant::now() < end {
                    if caller.look_up_at(entry, &service).await.is_some() {
                        answered += 1;
                    }
                }
                answered
            })
        })
        .collect();
    let mut answered = 0;
    for look_ups in loops {
        answered += look_ups.await?;
    }
    Ok(answered as f64 / (cpu_seconds(pid)? - before))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a short run fit a float's mantissa"
)]
fn print_table(rows: &[Row]) {
    println!(
        "| entry VMs | idle core %, mean | highest | RSS MB | look-ups a second of processor time |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for row in rows {
        println!(
            "| {} | {:.2} | {:.2} | {:.1} | {:.0} |",
            row.entries, row.mean_core, row.highest_core, row.rss_mb, row.look_ups_per_core
        );
    }
    let points = rows.iter().map(|row| (row.entries as f64, row.mean_core));
    let line = fit(&points.collect::<Vec<_>>());
    println!("\nidle core % = {line} an entry VM");
}
