//! Measures how long confirmed changes take to be in force at entry VMs while control replicas
//! are lost, over real processes, and prints the worst of them by cause.
//!
//! Build with `cargo build --release --workspace --bins`, then run
//! `target/release/config-lag --seed 1`. Ends with 1 if a change was in force late.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_testutils::cluster_error::ClusterError;
use heatherring_testutils::config_faults::Fault;
use heatherring_testutils::config_faults::FaultRun;
use heatherring_testutils::config_probe::ConfigProbe;
use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::direct_cluster::DirectVm;
use heatherring_testutils::wait::wait_for;

/// Changes that are in force everywhere before the first fault.
const CALM_CHANGES: u64 = 6;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    Command::new("config-lag")
        .about("Measures how long confirmed changes take to be in force while replicas are lost")
        .arg(number("seed", "1", "Seed of everything that is drawn"))
        .arg(number("controls", "11", "Control replicas"))
        .arg(number("entries", "62", "Entry VMs"))
        .arg(number("faults", "10", "Faults, one after the other"))
        .arg(number(
            "between-ms",
            "12",
            "Delay of one direction between two regions",
        ))
        .arg(number(
            "longest-ms",
            "5000",
            "Longest time for which a fault lasts",
        ))
        .arg(number(
            "bound-ms",
            "2500",
            "Time within which a change should be in force",
        ))
        .arg(
            Arg::new("only")
                .long("only")
                .help("Fault to bring about each time, by its name; otherwise they are drawn"),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_parser(value_parser!(PathBuf))
                .help("The heatherring program; the one beside this one by default"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_parser(value_parser!(PathBuf))
                .help("Folder to which the logs are copied"),
        )
}

fn number(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one::<u32>(name).copied().unwrap_or_default()
}

fn count(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(number(matches, name)).unwrap_or(usize::MAX)
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(matches, name).into())
}

fn own_binary() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("heatherring")
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("config-lag: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns how many changes were in force late.
async fn run(matches: &ArgMatches) -> Result<usize, ClusterError> {
    let plan = DirectPlan {
        regions: ["east", "west", "north"].map(str::to_owned).to_vec(),
        controls: count(matches, "controls"),
        entries: count(matches, "entries"),
        between_regions: millis(matches, "between-ms"),
    };
    let binary = matches.get_one::<PathBuf>("binary").cloned();
    let cluster = DirectCluster::start(&plan, &binary.unwrap_or_else(own_binary)).await?;
    let orders = cluster.controls.iter().map(DirectVm::orders).collect();
    let entries = cluster.entries.iter();
    let entries = entries.map(|vm| (vm.plan.vm.clone(), vm.callers()));
    let probe = ConfigProbe::start(orders, entries.collect());
    let calm = u64::from(number(matches, "entries"));
    wait_for("the first changes are in force everywhere", async || {
        let seen = probe.seen();
        let last = seen.iter().filter(|seen| seen.version == CALM_CHANGES);
        (last.count() as u64 == calm).then_some(())
    })
    .await?;
    let only = matches.get_one::<String>("only");
    let faults: Vec<Fault> = Fault::ALL
        .into_iter()
        .filter(|fault| only.is_none_or(|only| format!("{fault:?}") == *only))
        .collect();
    let seed = number(matches, "seed").into();
    let mut run = FaultRun::new(cluster, seed, millis(matches, "longest-ms"));
    for _ in 0..number(matches, "faults") {
        run.play_one(&faults).await?;
    }
    let bound = millis(matches, "bound-ms");
    let summary = run.summary(&probe, bound);
    println!("{} changes confirmed", probe.confirmed());
    for (fault, lags) in &summary {
        println!("{fault:?}: {lags}");
    }
    if let Some(folder) = matches.get_one::<PathBuf>("logs") {
        copy_logs(&run, folder);
    }
    Ok(summary.values().map(|lags| lags.late).sum())
}

fn copy_logs(run: &FaultRun, folder: &Path) {
    let logs = std::fs::read_dir(run.cluster().folder())
        .into_iter()
        .flatten();
    for log in logs.flatten().map(|log| log.path()) {
        let is_log = log.extension().is_some_and(|extension| extension == "log");
        if let (true, Some(name)) = (is_log, log.file_name())
            && let Err(error) = std::fs::copy(&log, folder.join(name))
        {
            eprintln!("config-lag: can't copy {}: {error}", log.display());
        }
    }
}
