//! `heatherring control`: runs a control replica, and formats its data folder.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use heatherring_lib::clock::SystemClock;
use heatherring_lib::config_path::ConfigPath;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::FormationSettings;
use heatherring_lib::settings_text::read_control_settings;
use heatherring_server::control_format;
use heatherring_server::control_format::FormatError;
use heatherring_server::control_process::ControlEnd;
use heatherring_server::control_process::ControlError;
use heatherring_server::control_process::run_control_with_seeds;
use heatherring_server::data_folder::Identity;
use heatherring_server::seed_source::SeedError;
use heatherring_server::seed_source::SeedSource;
use heatherring_server::shutdown::Shutdown;
use tokio::runtime::Runtime;

use crate::cli_error::CliError;
use crate::commands::control_remove;
use crate::control_access::operator_arg;
use crate::input::Input;
use crate::interfaces;
use crate::logging;
use crate::settings_input::fault_at;
use crate::settings_input::read_settings_file;
use crate::settings_input::settings_arg;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("control")
        .about("Runs a control replica, or formats its data folder")
        .after_help(
            "Without a subcommand the replica runs until SIGTERM or Ctrl-C.\n\n\
             Examples:\n  \
             heatherring control init --settings control-1.jsonc\n  \
             heatherring control --settings control-1.jsonc\n  \
             heatherring control join --settings control-2.jsonc --control 10.0.0.1:7000",
        )
        .args_conflicts_with_subcommands(true)
        .subcommand_negates_reqs(true)
        .arg(replica_settings_arg())
        .subcommand(init_command())
        .subcommand(join_command())
        .subcommand(repair_command())
        .subcommand(control_remove::command())
}

fn init_command() -> Command {
    Command::new("init")
        .about("Creates a new cluster of one replica; done once for each deployment")
        .arg(replica_settings_arg())
}

fn join_command() -> Command {
    Command::new("join")
        .about("Adds this replica to a running cluster and formats its empty data folder")
        .arg(replica_settings_arg())
        .arg(control_arg())
        .arg(operator_arg())
}

fn repair_command() -> Command {
    Command::new("repair")
        .about("Adds this replica in place of one whose disk was lost or damaged")
        .long_about(
            "Adds this replica in place of one whose disk was lost or damaged. The data folder must \
             be empty; the replica gets a new identity, and the one that it replaces is removed \
             once the new one has caught up.",
        )
        .arg(replica_settings_arg())
        .arg(control_arg())
        .arg(operator_arg())
        .arg(
            Arg::new("replaces")
                .long("replaces")
                .value_name("REPLICA")
                .help("The lost replica's identity, as `heatherring status` shows it")
                .value_parser(value_parser!(u64))
                .required(true),
        )
}

fn replica_settings_arg() -> Arg {
    settings_arg("The replica's settings, JSON with comments")
}

fn control_arg() -> Arg {
    Arg::new("control")
        .long("control")
        .alias("via")
        .value_name("ADDRESSES")
        .help("Addresses of replicas of the cluster, tried in order")
        .value_parser(value_parser!(SocketAddr))
        .value_delimiter(',')
        .required(true)
}

/// Runs the replica, or the subcommand if there is one.
pub fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("init", matches)) => run_init(matches),
        Some(("remove", matches)) => control_remove::run(matches),
        Some((_, matches)) => run_join(matches),
        None => run_replica(matches),
    }
}

fn run_init(matches: &ArgMatches) -> Result<(), CliError> {
    let settings = read_settings(matches)?;
    let identity = control_format::init(&settings).map_err(format_error)?;
    print_formatted(&identity);
    Ok(())
}

fn run_join(matches: &ArgMatches) -> Result<(), CliError> {
    let settings = read_settings(matches)?;
    let control: Vec<SocketAddr> = matches
        .get_many("control")
        .unwrap_or_default()
        .copied()
        .collect();
    let replaces = matches
        .try_get_one::<u64>("replaces")
        .ok()
        .flatten()
        .map(|id| ReplicaId(*id));
    let operator = matches
        .get_one::<String>("operator")
        .map_or("", String::as_str);
    let join = control_format::join(&settings, &control, replaces, operator);
    let identity = runtime()?.block_on(join).map_err(format_error)?;
    print_formatted(&identity);
    Ok(())
}

fn run_replica(matches: &ArgMatches) -> Result<(), CliError> {
    let input = read_settings_file(matches)?;
    let settings = parse_settings(&input)?;
    logging::start(settings.log.level).map_err(CliError::internal)?;
    let signals = runtime()?;
    let shutdown = signals.block_on(async {
        Shutdown::ignore_hangups().map_err(CliError::internal)?;
        Shutdown::on_signals().map_err(CliError::internal)
    })?;
    let mut current = settings;
    while run_once(matches, &input, &current, &shutdown)? == ControlEnd::Replaced {
        current = reread_settings(matches, current);
        // The first start of the deployment is over.
        if let Some(formation) = &mut current.formation {
            formation.first_start = false;
        }
    }
    Ok(())
}

/// Returns the settings as they are now, since the replicas that they name may have been replaced as
/// well; the `former` ones if they can't be read.
fn reread_settings(matches: &ArgMatches, former: ControlSettings) -> ControlSettings {
    let reread = read_settings_file(matches).and_then(|input| parse_settings(&input));
    reread.unwrap_or_else(|error| {
        log::warn!(event = "settings_unreadable", error:% = error; "cannot read the settings again; joining with the former ones");
        former
    })
}

/// Runs the replica in a runtime of its own, with which all tasks of the run end.
fn run_once(
    matches: &ArgMatches,
    input: &Input,
    settings: &ControlSettings,
    shutdown: &Shutdown,
) -> Result<ControlEnd, CliError> {
    let interface = interfaces::control(settings);
    let clock = Arc::new(SystemClock);
    let seeds = seed_source(matches);
    let shutdown = shutdown.clone();
    let replica = run_control_with_seeds(settings.clone(), clock, shutdown, interface, seeds);
    let ended = runtime()?.block_on(replica);
    ended.map_err(|error| control_error(input, error))
}

/// Returns the seeds as the settings name them whenever they are read.
fn seed_source(matches: &ArgMatches) -> SeedSource {
    let matches = matches.clone();
    SeedSource::new(move || {
        let settings = read_settings(&matches).map_err(SeedError::from)?;
        let formation = settings.formation.as_ref();
        Ok(formation.map_or_else(Vec::new, FormationSettings::peers))
    })
}

fn print_formatted(identity: &Identity) {
    println!(
        "formatted: cluster {}, replica {}",
        identity.cluster, identity.replica
    );
}

fn read_settings(matches: &ArgMatches) -> Result<ControlSettings, CliError> {
    parse_settings(&read_settings_file(matches)?)
}

fn parse_settings(input: &Input) -> Result<ControlSettings, CliError> {
    read_control_settings(&input.name, &input.text).map_err(CliError::from)
}

/// Returns a multi-threaded runtime, unlike that of the commands that only send a request.
fn runtime() -> Result<Runtime, CliError> {
    Runtime::new().map_err(CliError::internal)
}

fn format_error(error: FormatError) -> CliError {
    let message = error.to_string();
    match error {
        FormatError::Folder { source, .. } if !source.is_user_error() => CliError::internal(source),
        FormatError::Folder { .. } | FormatError::Security { .. } | FormatError::NoAddress => {
            CliError::user(message)
        }
        FormatError::Refused { .. } => CliError::refused(message),
        FormatError::Connect { .. }
        | FormatError::NoAnswer { .. }
        | FormatError::ClusterIdentity => CliError::unavailable(message),
    }
}

fn control_error(input: &Input, error: ControlError) -> CliError {
    if !error.is_user_error() {
        return CliError::internal(error);
    }
    let (field, allowed) = match error {
        ControlError::Folder { .. } => (
            "data_folder",
            "a folder formatted by `heatherring control init` for a new cluster, or by \
             `heatherring control join` for a replica of an existing one",
        ),
        ControlError::Listen { .. } => ("listen", "a free port at an address of this VM"),
        _ => (
            "security",
            "open_loopback, or readable files of one authority",
        ),
    };
    let field = ConfigPath::root().field(field);
    fault_at(input, &field, &error.to_string(), allowed)
}
