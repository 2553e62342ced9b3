//! Measures latency, goodput, refusals and headroom under an open-loop load, over real
//! processes, and prints one markdown table.
//!
//! Build with `cargo build --release --workspace --bins`, then run
//! `target/release/load-experiment --size kyushu`.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use heatherring_testutils::cluster_error::ClusterError;
use heatherring_testutils::deployment::Deployment;
use heatherring_testutils::deployment_plan::DeploymentPlan;
use heatherring_testutils::direct_policy::Choice;
use heatherring_testutils::direct_policy::Delays;
use heatherring_testutils::direct_policy::DirectPolicy;
use heatherring_testutils::load_summary::LoadSummary;
use heatherring_testutils::machine_clock::now_us;
use heatherring_testutils::open_loop;
use heatherring_testutils::open_loop::OpenLoopPlan;
use heatherring_testutils::open_loop::Target;
use heatherring_testutils::service_time::ServiceTime;

/// Callers of each place.
const CALLERS: usize = 4;
/// Spread of the service times: the slowest percent takes three times the median.
const SIGMA: f64 = 0.5;
/// Pause between runs, in which everything comes to rest.
const REST: Duration = Duration::from_secs(2);

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u32).range(1..))
            .help(help)
    };
    Command::new("load-experiment")
        .about("Measures a deployment under open-loop load")
        .arg(
            Arg::new("size")
                .long("size")
                .default_value("kyushu")
                .value_parser(PossibleValuesParser::new(["kyushu", "qazyna"]))
                .help("Whose sizes and delays"),
        )
        .arg(number("entries", "12", "Entry VMs"))
        .arg(number("seconds", "10", "Length of each run"))
        .arg(number(
            "service-ms",
            "100",
            "Median service time in milliseconds",
        ))
        .arg(number("seed", "1", "Seed of everything that is drawn"))
        .arg(
            Arg::new("shares")
                .long("shares")
                .default_value("50,80,95,120")
                .value_delimiter(',')
                .value_parser(value_parser!(u32).range(1..=500))
                .help("Loads in percent of capacity: slots divided by the mean service time"),
        )
        .arg(
            Arg::new("no-delays")
                .long("no-delays")
                .action(ArgAction::SetTrue)
                .help("Leaves the delays between regions and to callers out"),
        )
        .arg(
            Arg::new("contenders")
                .long("contenders")
                .default_value("heatherring,round_robin,least_reported")
                .value_delimiter(',')
                .value_parser(PossibleValuesParser::new([
                    "heatherring",
                    "round_robin",
                    "least_reported",
                ]))
                .help("What chooses the backend server"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("load-experiment: {err}");
            ExitCode::FAILURE
        }
    }
}

struct Experiment {
    deployment: Deployment,
    delays: Delays,
    service_time: ServiceTime,
    duration: Duration,
    seed: u64,
    runs: usize,
}

async fn run(matches: &ArgMatches) -> Result<(), ClusterError> {
    let mut experiment = Experiment::start(matches).await?;
    println!("{}", LoadSummary::table_head());
    for contender in matches
        .get_many::<String>("contenders")
        .into_iter()
        .flatten()
    {
        for share in matches.get_many::<u32>("shares").into_iter().flatten() {
            let summary = experiment.measure(contender, *share).await?;
            println!("| {contender} at {share}% | {summary}");
        }
    }
    Ok(())
}

impl Experiment {
    async fn start(matches: &ArgMatches) -> Result<Self, ClusterError> {
        let number = |name: &str| *matches.get_one::<u32>(name).expect("has a default");
        let size = matches.get_one::<String>("size").expect("has a default");
        let seed = u64::from(number("seed"));
        let service_time = ServiceTime::LogNormal {
            median_ms: f64::from(number("service-ms")),
            sigma: SIGMA,
        };
        let entries = number("entries") as usize;
        let (mut plan, mut delays) = match size.as_str() {
            "kyushu" => (
                DeploymentPlan::kyushu(entries, service_time, seed),
                delays(8, 35),
            ),
            _ => (
                DeploymentPlan::qazyna(entries, service_time, seed),
                delays(3, 55),
            ),
        };
        let delayed = !matches.get_flag("no-delays");
        if !delayed {
            delays = Delays::default();
        }
        plan.cluster.relayed = delayed;
        delays.regions = plan.cluster.places().into_iter().collect();
        let mut deployment = Deployment::start(plan, &binary()).await?;
        if delayed {
            set_delays(&mut deployment, &delays);
        }
        Ok(Self {
            deployment,
            delays,
            service_time,
            duration: Duration::from_secs(number("seconds").into()),
            seed,
            runs: 0,
        })
    }

    async fn measure(&mut self, contender: &str, share: u32) -> Result<LoadSummary, ClusterError> {
        self.runs += 1;
        let plan = &self.deployment.plan;
        let slots: BTreeMap<_, _> = plan
            .served_services()
            .into_iter()
            .map(|service| (service.clone(), plan.slots(&service)))
            .collect();
        let rates = slots.iter().map(|(service, slots)| {
            let capacity = f64::from(*slots) * 1_000.0 / self.service_time.mean_ms();
            (service.clone(), capacity * f64::from(share) / 100.0)
        });
        let load = OpenLoopPlan {
            rates: rates.collect(),
            duration: self.duration,
            // Contenders at the same share get the same arrivals.
            seed: self.seed + u64::from(share),
        };
        let direct = |choice| {
            let backends = &self.deployment.backends;
            Target::Direct(DirectPolicy::start(choice, backends, self.delays.clone()))
        };
        let target = match contender {
            "round_robin" => direct(Choice::RoundRobin),
            "least_reported" => direct(Choice::LeastReported),
            _ => Target::Entries,
        };
        let from_us = now_us();
        let callers = self.deployment.callers(CALLERS);
        let samples = open_loop::run(&load, callers, &target).await;
        let until_us = now_us();
        tokio::time::sleep(REST).await;
        let mut events = self.deployment.cluster.ledgers()?;
        events.retain(|event| (from_us..until_us).contains(&event.at_us));
        Ok(LoadSummary::new(&samples, &events, &slots, self.duration))
    }
}

fn delays(client_ms: u64, between_regions_ms: u64) -> Delays {
    Delays {
        client: Duration::from_millis(client_ms),
        between_regions: Duration::from_millis(between_regions_ms),
        ..Delays::default()
    }
}

fn set_delays(deployment: &mut Deployment, delays: &Delays) {
    let plan = deployment.plan.cluster.clone();
    let vms: Vec<_> = plan.controls.iter().chain(&plan.entries).collect();
    let network = &mut deployment.cluster.network;
    network.set_outside_delay(delays.client);
    for (index, one) in vms.iter().enumerate() {
        for other in &vms[index + 1..] {
            if one.region != other.region {
                network.set_delay(&one.vm, &other.vm, delays.between_regions);
            }
        }
    }
}

/// Expects `heatherring` beside this program.
fn binary() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("heatherring")
}
