//! Lets backend servers leave while control replicas are lost and entry VMs freeze, over real
//! processes, and prints the requests that reach them too late.
//!
//! Build with `cargo build --workspace --bins`, then run `target/debug/drain-soak --seed 1`. Ends
//! with 1 if a request arrived too late.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_testutils::direct_cluster::DirectCluster;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::drain_soak::AfterConfirmation;
use heatherring_testutils::drain_soak::DrainSoak;
use heatherring_testutils::drain_soak::SoakError;
use heatherring_testutils::drain_soak::summary_lines;

/// Delay of one direction between two regions.
const BETWEEN_REGIONS: Duration = Duration::from_millis(12);

/// Late requests that are printed.
const MAX_PRINTED: usize = 40;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    Command::new("drain-soak")
        .about("Lets backend servers leave and counts the requests that reach them too late")
        .arg(number("seed", "1", "Seed of everything that is drawn"))
        .arg(number("controls", "5", "Control replicas"))
        .arg(number("entries", "11", "Entry VMs"))
        .arg(number("servers", "8", "Backend servers"))
        .arg(number(
            "rounds",
            "10",
            "Backend servers that leave, one after the other",
        ))
        .arg(
            Arg::new("only")
                .long("only")
                .help("What happens to the replica each time, by its name; otherwise it is drawn"),
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
            eprintln!("drain-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns how many requests arrived too late.
async fn run(matches: &ArgMatches) -> Result<usize, SoakError> {
    let plan = DirectPlan {
        regions: ["east", "west", "north"].map(str::to_owned).to_vec(),
        controls: count(matches, "controls"),
        entries: count(matches, "entries"),
        between_regions: BETWEEN_REGIONS,
    };
    let binary = matches.get_one::<PathBuf>("binary").cloned();
    let cluster = DirectCluster::start(&plan, &binary.unwrap_or_else(own_binary)).await?;
    let seed = number(matches, "seed").into();
    let mut soak = DrainSoak::start(cluster, seed, count(matches, "servers")).await?;
    let only = matches.get_one::<String>("only");
    let faults: Vec<AfterConfirmation> = AfterConfirmation::ALL
        .into_iter()
        .filter(|fault| only.is_none_or(|only| format!("{fault:?}") == *only))
        .collect();
    for _ in 0..number(matches, "rounds") {
        soak.play_round(&faults).await?;
    }
    let (sent, served) = soak.totals();
    println!("{sent} requests sent, {served} served");
    for line in summary_lines(soak.judge()).values() {
        println!("{line}");
    }
    let late = &soak.judge().late;
    for late in late.iter().take(MAX_PRINTED) {
        println!("late: {late}");
    }
    println!("{} late", late.len());
    if let Some(folder) = matches.get_one::<PathBuf>("logs") {
        copy_logs(&soak, folder);
    }
    Ok(late.len())
}

fn copy_logs(soak: &DrainSoak, folder: &Path) {
    let logs = std::fs::read_dir(soak.cluster().folder())
        .into_iter()
        .flatten();
    for log in logs.flatten().map(|log| log.path()) {
        let is_log = log.extension().is_some_and(|extension| extension == "log");
        if let (true, Some(name)) = (is_log, log.file_name())
            && let Err(error) = std::fs::copy(&log, folder.join(name))
        {
            eprintln!("drain-soak: can't copy {}: {error}", log.display());
        }
    }
}
