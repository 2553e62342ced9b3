//! Judges rule CONFIG over real processes: changes of the manifest in series, reads at every
//! control replica and requests at every entry VM, while faults drawn by seed happen.
//!
//! Build with `cargo build --release --workspace --bins`, then run
//! `target/release/config-soak --seed 1`. Ends with 1 if the rule was violated; the record and the
//! logs of all processes are then in the folder that `--logs` names.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_testutils::cluster_error::ClusterError;
use heatherring_testutils::config_judge::Bounds;
use heatherring_testutils::config_judge::Changes;
use heatherring_testutils::config_judge::Violation;
use heatherring_testutils::config_judge::judge_confirmations;
use heatherring_testutils::config_judge::judge_in_force;
use heatherring_testutils::config_judge::judge_untimed;
use heatherring_testutils::config_record::Happening;
use heatherring_testutils::config_record::Record;
use heatherring_testutils::config_record::RequestAnswer;
use heatherring_testutils::config_record::Vm;
use heatherring_testutils::config_soak::ConfigSoak;
use heatherring_testutils::config_soak::SoakOutcome;
use heatherring_testutils::config_soak::SoakPlan;
use heatherring_testutils::direct_cluster::DirectPlan;
use heatherring_testutils::soak_faults::FaultKind;
use heatherring_testutils::soak_faults::Replacements;
use serde::Serialize;

/// Violations of one kind that are printed.
const SHOWN: usize = 5;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new("config-soak")
        .about("Judges rule CONFIG over real processes while faults happen")
        .arg(number("seed", "1", "Seed of everything that is drawn"))
        .arg(number("controls", "5", "Control replicas"))
        .arg(number("entries", "11", "Entry VMs"))
        .arg(number("faults", "12", "Faults, one after the other"))
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
            "apply-ms",
            "2000",
            "Time within which a confirmed change has to be in force",
        ))
        .arg(number(
            "stretch-ms",
            "5000",
            "What is added to it while control isn't stable",
        ))
        .arg(number(
            "ack-ms",
            "4000",
            "Time within which a proper change has to be confirmed",
        ))
        .arg(number(
            "read-ms",
            "40",
            "Time between two reads at a replica",
        ))
        .arg(number(
            "request-ms",
            "20",
            "Time between two requests at an entry VM",
        ))
        .arg(number(
            "catch-up-ms",
            "4000",
            "Time from the start of a successor until its predecessor doesn't count as lost",
        ))
        .arg(number(
            "replace-gap-ms",
            "0",
            "Time from the loss of one control VM that is replaced to the next; drawn if 0",
        ))
        .arg(number(
            "replace-in-a-row",
            "0",
            "Control VMs that are replaced in a row; drawn if 0",
        ))
        .arg(
            Arg::new("only")
                .long("only")
                .action(ArgAction::Append)
                .help("Kind of fault to draw, by its name; may be repeated"),
        )
        .arg(
            Arg::new("keep-first-start")
                .long("keep-first-start")
                .action(ArgAction::SetTrue)
                .help("Leaves `first_start` in the settings after the cluster was formed"),
        )
        .arg(
            Arg::new("keep-logs")
                .long("keep-logs")
                .action(ArgAction::SetTrue)
                .help("Writes the record and the logs without a violation, too"),
        )
        .arg(path(
            "binary",
            "The heatherring program; the one beside this one by default",
        ))
        .arg(path(
            "logs",
            "Folder for the record and the logs after a violation",
        ))
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

fn micros(matches: &ArgMatches, name: &str) -> u64 {
    u64::from(number(matches, name)) * 1_000
}

fn own_binary() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("heatherring")
}

fn plan(matches: &ArgMatches) -> SoakPlan {
    let only: Vec<&String> = matches.get_many("only").into_iter().flatten().collect();
    let is_meant =
        |kind: &FaultKind| only.is_empty() || only.iter().any(|only| format!("{kind:?}") == **only);
    SoakPlan {
        cluster: DirectPlan {
            regions: ["east", "west", "north"].map(str::to_owned).to_vec(),
            controls: count(matches, "controls"),
            entries: count(matches, "entries"),
            between_regions: millis(matches, "between-ms"),
        },
        seed: number(matches, "seed").into(),
        faults: number(matches, "faults"),
        longest: millis(matches, "longest-ms"),
        kinds: FaultKind::ALL.into_iter().filter(is_meant).collect(),
        read_every: millis(matches, "read-ms"),
        request_every: millis(matches, "request-ms"),
        keep_first_start: matches.get_flag("keep-first-start"),
        replacements: Replacements {
            catch_up: millis(matches, "catch-up-ms"),
            gap: Some(millis(matches, "replace-gap-ms")).filter(|gap| !gap.is_zero()),
            in_a_row: Some(number(matches, "replace-in-a-row")).filter(|count| *count > 0),
        },
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("config-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns how many violations were found.
async fn run(matches: &ArgMatches) -> Result<usize, ClusterError> {
    let plan = plan(matches);
    let binary = matches.get_one::<PathBuf>("binary").cloned();
    println!("seed {}, {} faults", plan.seed, plan.faults);
    let outcome = ConfigSoak::run(plan, &binary.unwrap_or_else(own_binary)).await?;
    let bounds = Bounds {
        apply_us: micros(matches, "apply-ms"),
        stretch_us: micros(matches, "stretch-ms"),
        ack_us: micros(matches, "ack-ms"),
        catch_up_us: micros(matches, "catch-up-ms"),
    };
    let mut found = judge_in_force(&outcome.record, bounds);
    found.extend(judge_untimed(&outcome.record, bounds));
    found.extend(judge_confirmations(&outcome.record, bounds));
    print_counts(&outcome);
    print_violations(&found);
    if (matches.get_flag("keep-logs") || !found.is_empty())
        && let Some(folder) = matches.get_one::<PathBuf>("logs")
        && let Err(error) = keep(&outcome, &found, folder)
    {
        eprintln!("config-soak: can't write to {}: {error}", folder.display());
    }
    Ok(found.len())
}

fn print_counts(outcome: &SoakOutcome) {
    let record = &outcome.record;
    let confirmed = Changes::new(record).confirmed();
    let (changes, orders) = (record.changes.len(), record.orders.len());
    println!("{changes} changes, {confirmed} confirmed, {orders} orders");
    let answered = record.reads.iter().filter(|read| read.manifest.is_some());
    let (reads, answered) = (record.reads.len(), answered.count());
    println!("{reads} reads, {answered} answered");
    print_requests(record);
    let kinds = outcome.kinds.iter();
    let kinds: Vec<_> = kinds
        .map(|(kind, count)| format!("{kind:?} {count}"))
        .collect();
    println!("faults: {}", kinds.join(", "));
    print_ends(outcome);
    print_end_reads(record);
}

fn print_requests(record: &Record) {
    let mut by_answer: BTreeMap<String, usize> = BTreeMap::new();
    for req in &record.requests {
        let kind = match &req.answer {
            RequestAnswer::Served(_) => "served".to_owned(),
            RequestAnswer::NoRoute => "no route".to_owned(),
            RequestAnswer::Refused(status) => status.to_string(),
            RequestAnswer::Silent => "silent".to_owned(),
        };
        *by_answer.entry(kind).or_default() += 1;
    }
    let by_answer = by_answer.iter();
    let by_answer: Vec<_> = by_answer
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    println!(
        "{} requests: {}",
        record.requests.len(),
        by_answer.join(", ")
    );
}

/// Prints the processes that ended by themselves, and what they said last.
fn print_ends(outcome: &SoakOutcome) {
    let ends = outcome.record.events.iter();
    let ends = ends.filter_map(|event| match &event.what {
        Happening::EndedByItself(reason) => Some((event, reason)),
        _ => None,
    });
    for (event, reason) in ends {
        let name = &outcome.cluster.vm(event.vm).plan.vm;
        println!("{name} ended by itself at {} us: {reason}", event.at_us);
    }
}

fn print_end_reads(record: &Record) {
    let Some(end_us) = record.end_us else { return };
    let mut answered: BTreeMap<usize, usize> = BTreeMap::new();
    let reads = record.reads.iter().filter(|read| read.sent_us >= end_us);
    for read in reads.filter(|read| read.manifest.is_some()) {
        *answered.entry(read.replica).or_default() += 1;
    }
    println!("answered reads at the end by replica: {answered:?}");
}

fn print_violations(found: &[Violation]) {
    let mut by_fault: BTreeMap<_, Vec<&Violation>> = BTreeMap::new();
    for violation in found {
        by_fault.entry(violation.fault).or_default().push(violation);
    }
    println!("{} violations", found.len());
    for (fault, violations) in by_fault {
        println!("{fault:?}: {}", violations.len());
        for violation in violations.iter().take(SHOWN) {
            println!("  {violation}");
        }
    }
}

fn keep(outcome: &SoakOutcome, found: &[Violation], folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let record = &outcome.record;
    write_lines(&folder.join("violations.jsonl"), found)?;
    write_lines(&folder.join("changes.jsonl"), &record.changes)?;
    write_lines(&folder.join("orders.jsonl"), &record.orders)?;
    write_lines(&folder.join("reads.jsonl"), &record.reads)?;
    write_lines(&folder.join("requests.jsonl"), &record.requests)?;
    write_lines(&folder.join("events.jsonl"), &record.events)?;
    let entries = (0..outcome.cluster.entries.len()).map(Vm::Entry);
    let entries = entries.map(|vm| outcome.cluster.log(vm));
    for log in outcome.cluster.control_logs().chain(entries) {
        if let Some(name) = log.file_name() {
            std::fs::copy(&log, folder.join(name))?;
        }
    }
    Ok(())
}

fn write_lines(path: &Path, values: &[impl Serialize]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for value in values {
        serde_json::to_writer(&mut file, value)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
