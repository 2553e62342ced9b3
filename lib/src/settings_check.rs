//! Checks of settings that a schema cannot express, mostly across several values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::config_fault::ConfigProblem;
use crate::config_path::ConfigPath;
use crate::config_text::LocatedProblem;
use crate::direct_settings::DirectSettings;
use crate::duration_text::DurationText;
use crate::follow_lag::LONGEST_IN_FORCE_DELAY;
use crate::follow_lag::SHORTEST_IN_FORCE_DELAY;
use crate::heartbeat_timing::HeartbeatTiming;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::manifest::Manifest;
use crate::replica_plan::LONGEST_REPLACEMENT;
use crate::replica_plan::SHORTEST_REPLACEMENT;
use crate::settings::ControlSettings;
use crate::settings::ControlTiming;
use crate::settings::EntryListen;
use crate::settings::EntrySettings;
use crate::settings::Security;

/// A problem with the values of settings, displayed with what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingsProblem {
    /// A follower would start an election after a single lost heartbeat.
    #[snafu(display(
        "election_min_ms is {election_min_ms}; allowed is more than two heartbeats, {} ms",
        2 * u64::from(*heartbeat_ms)
    ))]
    ElectionTooShort {
        /// The election timeout's lower bound in the settings.
        election_min_ms: u32,
        /// Time between heartbeats.
        heartbeat_ms: u32,
    },
    /// All followers would start an election at the same time, and none would win.
    #[snafu(display(
        "election_max_ms is {election_max_ms}; allowed is more than election_min_ms, {election_min_ms} ms"
    ))]
    ElectionRangeEmpty {
        /// Upper bound of the election timeout.
        election_max_ms: u32,
        /// Lower bound of the election timeout.
        election_min_ms: u32,
    },
    /// Entry VMs would stop serving requests during every ordinary election.
    #[snafu(display(
        "session_lease_ms is {session_lease_ms}; allowed is more than election_max_ms and \
         session_margin_ms together, {least_ms} ms"
    ))]
    LeaseTooShort {
        /// The lease in the settings.
        session_lease_ms: u32,
        /// The sum that it must exceed.
        least_ms: u64,
    },
    /// Two listeners have the same address.
    #[snafu(display(
        "{address} is already the address of listener {other}; allowed is each address once"
    ))]
    DuplicateListener {
        /// The address.
        address: SocketAddr,
        /// The first field with this address.
        other: &'static str,
    },
    /// A control replica is listed twice.
    #[snafu(display("duplicate address {address}; allowed is each replica once"))]
    DuplicateControl {
        /// The address.
        address: SocketAddr,
    },
    /// The port is 0, to which no connection can be made.
    #[snafu(display("{address} has port 0; allowed are ports from 1 to 65535"))]
    PortZero {
        /// The address.
        address: SocketAddr,
    },
    /// The address is unspecified, as in `0.0.0.0`. It would be advertised to other processes,
    /// which cannot connect to it.
    #[snafu(display(
        "{address} stands for all interfaces; allowed is the address at which others reach this VM"
    ))]
    Unspecified {
        /// The address.
        address: SocketAddr,
    },
    /// The address is not a loopback address although processes do not authenticate: anyone who
    /// can connect could submit manifests.
    #[snafu(display(
        "{address} is not a loopback address, and security is open_loopback; allowed beyond \
         loopback is {{\"tls\": ..}}"
    ))]
    OpenBeyondLoopback {
        /// The address.
        address: SocketAddr,
    },
    /// The manifest does not define the VM's place.
    #[snafu(display("the manifest has no place {place}; allowed are its places"))]
    PlaceNotInManifest {
        /// The VM's place according to the settings.
        place: PlaceName,
    },
    /// The list of places lacks the VM's own place or has it in another region.
    #[snafu(display(
        "places does not have {place} in region {region}; allowed is a list that does"
    ))]
    PlaceNotListed {
        /// The VM's place according to the settings.
        place: PlaceName,
        /// The VM's region according to the settings.
        region: RegionName,
    },
    /// Backend servers would be lost by late heartbeats, or found to be lost too late.
    #[snafu(display(
        "heartbeat is {heartbeat}; allowed is {min} to {max}",
        min = DurationText(HeartbeatTiming::MIN_INTERVAL),
        max = DurationText(HeartbeatTiming::MAX_INTERVAL)
    ))]
    HeartbeatOutOfRange {
        /// Interval between two heartbeats.
        heartbeat: DurationText,
    },
    /// No manifest is in force so soon, or one that is so late would go unnoticed.
    #[snafu(display(
        "in_force_within is {in_force_within}; allowed is {min} to {max}",
        min = DurationText(SHORTEST_IN_FORCE_DELAY),
        max = DurationText(LONGEST_IN_FORCE_DELAY)
    ))]
    InForceDelayOutOfRange {
        /// Time within which a confirmed manifest is to be in force.
        in_force_within: DurationText,
    },
    /// No replacement votes so soon, or a lost voter would keep its seat for too long.
    #[snafu(display(
        "replacement_within is {replacement_within}; allowed is {min} to {max}",
        min = DurationText(SHORTEST_REPLACEMENT),
        max = DurationText(LONGEST_REPLACEMENT)
    ))]
    ReplacementOutOfRange {
        /// Time within which a replacement is to be a voter.
        replacement_within: DurationText,
    },
    /// The manifest has the place in another region.
    #[snafu(display(
        "the manifest has {place} in region {expected}, not {region}; allowed is {expected}"
    ))]
    RegionMismatch {
        /// The place.
        place: PlaceName,
        /// Region of the place according to the settings.
        region: RegionName,
        /// Region of the place according to the manifest.
        expected: RegionName,
    },
}

/// Returns the problems with the settings of a control replica.
#[must_use]
pub fn check_control(settings: &ControlSettings) -> Vec<LocatedProblem> {
    let mut problems = check_timing(&settings.timing);
    let listen = ConfigPath::root().field("listen");
    if let Some(formation) = &settings.formation {
        let path = ConfigPath::root().field("formation");
        problems.extend(check_replacement(
            path.field("replacement_within"),
            formation.replacement_within,
        ));
    }
    if let Some(direct) = &settings.direct {
        let path = ConfigPath::root().field("direct");
        problems.extend(check_heartbeat(path.field("heartbeat"), direct.heartbeat));
        let in_force_within = direct.in_force_within;
        problems.extend(check_in_force_delay(
            path.field("in_force_within"),
            in_force_within,
        ));
        let look_ups = direct.look_ups.map(|address| ("look_ups", address));
        for (name, address) in [("listen", direct.listen)].into_iter().chain(look_ups) {
            problems.extend(check_listener(path.field(name), address));
            problems.extend(check_loopback(
                &settings.security,
                path.field(name),
                address,
            ));
        }
    }
    if let Some(address) = settings.metrics_listen {
        let path = ConfigPath::root().field("metrics_listen");
        problems.extend(check_listener(path.clone(), address));
        problems.extend(check_loopback(&settings.security, path, address));
    }
    problems.extend(check_listener(listen.clone(), settings.listen));
    problems.extend(check_loopback(&settings.security, listen, settings.listen));
    if let Some(address) = settings.advertise {
        let advertise = ConfigPath::root().field("advertise");
        problems.extend(check_listener(advertise.clone(), address));
        problems.extend(check_loopback(&settings.security, advertise, address));
    }
    problems
}

/// Returns the problems with the settings of an entry VM.
#[must_use]
pub fn check_entry(settings: &EntrySettings) -> Vec<LocatedProblem> {
    let mut problems = check_listeners(&settings.listen);
    problems.extend(check_control_addresses(&settings.control));
    let listen = ConfigPath::root().field("listen");
    for (name, address) in listeners(&settings.listen) {
        problems.extend(check_loopback(
            &settings.security,
            listen.field(name),
            address,
        ));
    }
    for (name, address) in settings.advertise.iter().flat_map(listeners) {
        let advertise = ConfigPath::root().field("advertise").field(name);
        problems.extend(check_listener(advertise.clone(), address));
        problems.extend(check_loopback(&settings.security, advertise, address));
    }
    let control = ConfigPath::root().field("control");
    for (index, address) in settings.control.iter().enumerate() {
        problems.extend(check_loopback(
            &settings.security,
            control.item(index),
            *address,
        ));
    }
    problems
}

/// Checks the settings of an entry VM that dispatches directly to backend servers.
#[must_use]
pub fn check_direct(settings: &DirectSettings) -> Vec<LocatedProblem> {
    let root = ConfigPath::root();
    let listen = root.field("listen");
    let listeners = [
        ("callers", Some(settings.listen.callers)),
        ("ready", Some(settings.listen.ready)),
        ("look_ups", settings.listen.look_ups),
        ("metrics", settings.listen.metrics),
    ];
    let mut problems = check_control_addresses(&settings.control);
    problems.extend(check_heartbeat(root.field("heartbeat"), settings.heartbeat));
    problems.extend(check_in_force_delay(
        root.field("in_force_within"),
        settings.in_force_within,
    ));
    for (name, address) in listeners {
        let Some(address) = address else { continue };
        problems.extend(check_listener(listen.field(name), address));
        problems.extend(check_loopback(
            &settings.security,
            listen.field(name),
            address,
        ));
    }
    let region = settings.places.get(&settings.place);
    if region != Some(&settings.region) {
        let problem = SettingsProblem::PlaceNotListed {
            place: settings.place.clone(),
            region: settings.region.clone(),
        };
        problems.push(located(root.field("places"), problem));
    }
    problems
}

/// Checks that a manifest has a VM's place in the VM's region. Returns the problem if not.
///
/// Ownership of backend servers is assigned by place and region, so a VM whose region differs
/// from the manifest's would own the wrong backend servers.
#[must_use]
pub fn check_place(
    place: &PlaceName,
    region: &RegionName,
    manifest: &Manifest,
) -> Option<SettingsProblem> {
    let Some(known) = manifest.places.get(place) else {
        return Some(SettingsProblem::PlaceNotInManifest {
            place: place.clone(),
        });
    };
    (known.region != *region).then(|| SettingsProblem::RegionMismatch {
        place: place.clone(),
        region: region.clone(),
        expected: known.region.clone(),
    })
}

fn check_timing(timing: &ControlTiming) -> Vec<LocatedProblem> {
    let path = ConfigPath::root().field("timing");
    let mut problems = Vec::new();
    if u64::from(timing.election_min_ms) <= 2 * u64::from(timing.heartbeat_ms) {
        let problem = SettingsProblem::ElectionTooShort {
            election_min_ms: timing.election_min_ms,
            heartbeat_ms: timing.heartbeat_ms,
        };
        problems.push(located(path.field("election_min_ms"), problem));
    }
    if timing.election_max_ms <= timing.election_min_ms {
        let problem = SettingsProblem::ElectionRangeEmpty {
            election_max_ms: timing.election_max_ms,
            election_min_ms: timing.election_min_ms,
        };
        problems.push(located(path.field("election_max_ms"), problem));
    }
    let least_ms = u64::from(timing.election_max_ms) + u64::from(timing.session_margin_ms);
    if u64::from(timing.session_lease_ms) <= least_ms {
        let problem = SettingsProblem::LeaseTooShort {
            session_lease_ms: timing.session_lease_ms,
            least_ms,
        };
        problems.push(located(path.field("session_lease_ms"), problem));
    }
    problems
}

fn check_heartbeat(path: ConfigPath, heartbeat: DurationText) -> Option<LocatedProblem> {
    let allowed = HeartbeatTiming::MIN_INTERVAL..=HeartbeatTiming::MAX_INTERVAL;
    let problem = SettingsProblem::HeartbeatOutOfRange { heartbeat };
    (!allowed.contains(&heartbeat.0)).then(|| located(path, problem))
}

fn check_in_force_delay(path: ConfigPath, in_force_within: DurationText) -> Option<LocatedProblem> {
    let allowed = SHORTEST_IN_FORCE_DELAY..=LONGEST_IN_FORCE_DELAY;
    let problem = SettingsProblem::InForceDelayOutOfRange { in_force_within };
    (!allowed.contains(&in_force_within.0)).then(|| located(path, problem))
}

fn check_replacement(path: ConfigPath, replacement_within: DurationText) -> Option<LocatedProblem> {
    let allowed = SHORTEST_REPLACEMENT..=LONGEST_REPLACEMENT;
    let problem = SettingsProblem::ReplacementOutOfRange { replacement_within };
    (!allowed.contains(&replacement_within.0)).then(|| located(path, problem))
}

const fn listeners(listen: &EntryListen) -> [(&'static str, SocketAddr); 4] {
    [
        ("callers", listen.callers),
        ("backend_servers", listen.backend_servers),
        ("peers", listen.peers),
        ("forward", listen.forward),
    ]
}

fn check_listeners(listen: &EntryListen) -> Vec<LocatedProblem> {
    let path = ConfigPath::root().field("listen");
    let mut first_names: BTreeMap<SocketAddr, &'static str> = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, address) in listeners(listen) {
        problems.extend(check_listener(path.field(name), address));
        if let Some(other) = first_names.get(&address) {
            let problem = SettingsProblem::DuplicateListener { address, other };
            problems.push(located(path.field(name), problem));
        } else {
            first_names.insert(address, name);
        }
    }
    problems
}

/// Checks the address of a listener, which is also the address that is advertised to other
/// processes.
fn check_listener(path: ConfigPath, address: SocketAddr) -> Option<LocatedProblem> {
    if address.ip().is_unspecified() {
        return Some(located(path, SettingsProblem::Unspecified { address }));
    }
    check_port(path, address)
}

fn check_control_addresses(addresses: &[SocketAddr]) -> Vec<LocatedProblem> {
    let path = ConfigPath::root().field("control");
    let mut problems = Vec::new();
    for (index, address) in addresses.iter().enumerate() {
        problems.extend(check_port(path.item(index), *address));
        if addresses[..index].contains(address) {
            let problem = SettingsProblem::DuplicateControl { address: *address };
            problems.push(located(path.item(index), problem));
        }
    }
    problems
}

/// Checks that an address is a loopback address if processes do not authenticate. Unspecified
/// addresses are not reported here, since [`check_listener`] does so.
fn check_loopback(
    security: &Security,
    path: ConfigPath,
    address: SocketAddr,
) -> Option<LocatedProblem> {
    let open = *security == Security::OpenLoopback;
    let beyond = !address.ip().is_loopback() && !address.ip().is_unspecified();
    (open && beyond).then(|| located(path, SettingsProblem::OpenBeyondLoopback { address }))
}

fn check_port(path: ConfigPath, address: SocketAddr) -> Option<LocatedProblem> {
    (address.port() == 0).then(|| located(path, SettingsProblem::PortZero { address }))
}

fn located(path: ConfigPath, problem: SettingsProblem) -> LocatedProblem {
    (path, ConfigProblem::Settings { problem })
}
