//! Validation of a manifest beyond the checks of single values.

use std::collections::BTreeSet;
use std::collections::HashSet;

use snafu::Snafu;

use crate::config_fault::ConfigProblem;
use crate::config_fault::did_you_mean;
use crate::config_path::ConfigPath;
use crate::config_text::LocatedProblem;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::ServiceName;
use crate::manifest::BlockPrefix;
use crate::manifest::Drain;
use crate::manifest::LookUps;
use crate::manifest::Manifest;
use crate::manifest::Operation;
use crate::manifest::Scope;
use crate::manifest::Service;
use crate::manifest::ShiftCap;
use crate::nearest_name::nearest_name;
use crate::ticket::MAX_TICKET_MS;

/// HTTP methods that an operation may have.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// A problem of a manifest. Each message states what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ManifestProblem {
    /// The version is 0, which is reserved for the state without a manifest.
    #[snafu(display("the version is 0; allowed are versions of at least 1"))]
    VersionZero,
    /// The manifest defines no places.
    #[snafu(display("no places are defined; at least 1 is required"))]
    NoPlaces,
    /// A place is referred to but not defined.
    #[snafu(display("unknown place \"{place}\"{}; allowed are the names under \"places\"", did_you_mean(nearest.as_ref())))]
    UnknownPlace {
        /// Name of the undefined place.
        place: PlaceName,
        /// Most similar name of a defined place, if any is similar enough.
        nearest: Option<String>,
    },
    /// A region is referred to that no place belongs to.
    #[snafu(display("unknown region \"{region}\"{}; allowed are the regions of the places", did_you_mean(nearest.as_ref())))]
    UnknownRegion {
        /// Name of the undefined region.
        region: RegionName,
        /// Most similar name of a defined region, if any is similar enough.
        nearest: Option<String>,
    },
    /// A service has no limits, so none of its requests could be served.
    #[snafu(display("service {service} has no limits; at least 1 place is required"))]
    NoLimits {
        /// Name of the service.
        service: ServiceName,
    },
    /// A service allows fewer connections than slots, so some slots could never be used.
    #[snafu(display(
        "max_connections_per_backend is {connections}; allowed is at least max_slots_per_backend, {slots}"
    ))]
    FewerConnectionsThanSlots {
        /// Value of `max_connections_per_backend`.
        connections: u32,
        /// Value of `max_slots_per_backend`.
        slots: u32,
    },
    /// Two operations of a service have the same name.
    #[snafu(display("duplicate operation \"{name}\"; names must be unique within a service"))]
    OperationTwice {
        /// Name of both operations.
        name: String,
    },
    /// An earlier operation matches every request that this one would match.
    #[snafu(display(
        "operation \"{name}\" is unreachable because the earlier operation \"{earlier}\" matches \
         all of its requests; the longer prefix must come first"
    ))]
    OperationUnreachable {
        /// Name of the unreachable operation.
        name: String,
        /// Name of the earlier operation.
        earlier: String,
    },
    /// The HTTP method is not supported.
    #[snafu(display("unknown method \"{method}\"; allowed are {}", METHODS.join(", ")))]
    UnknownMethod {
        /// Method as given.
        method: String,
    },
    /// The path prefix cannot match any path.
    #[snafu(display(
        "path prefix \"{path_prefix}\" never matches; allowed are prefixes that start with \"/\" \
         and contain no '?', '#' or white space"
    ))]
    PathPrefixNeverMatches {
        /// Prefix as given.
        path_prefix: String,
    },
    /// A shift cap has a `to` that contains its `from`, so it would apply to no request.
    #[snafu(display(
        "the cap on shifts from {from} to {to} never applies, because \"to\" contains \"from\"; \
         allowed are scopes with callers outside \"to\""
    ))]
    CapNeverApplies {
        /// Scope of the callers' places, as text.
        from: String,
        /// Scope of the serving places, as text.
        to: String,
    },
    /// Two shift caps have the same `from` and `to`.
    #[snafu(display("duplicate cap on shifts from {from} to {to}; allowed is one"))]
    CapTwice {
        /// Scope of the callers' places, as text.
        from: String,
        /// Scope of the serving places, as text.
        to: String,
    },
    /// A link has the same region at both ends.
    #[snafu(display("the link connects {region} to itself; allowed are two different regions"))]
    LinkToItself {
        /// Region at both ends.
        region: RegionName,
    },
    /// Two limits apply to the same link.
    #[snafu(display("duplicate limit for the link from {from} to {to}; allowed is one"))]
    LinkTwice {
        /// Sending region.
        from: RegionName,
        /// Receiving region.
        to: RegionName,
    },
    /// Two drains are equal.
    #[snafu(display("duplicate drain; allowed is one"))]
    DrainTwice,
    /// Two address blocks are equal.
    #[snafu(display("duplicate block {block}; allowed is one"))]
    BlockTwice {
        /// Duplicate address block.
        block: BlockPrefix,
    },
    /// Tickets expire before cached look-ups, so a caller could use an expired ticket.
    #[snafu(display("ticket_ms is {ticket_ms}; allowed is at least cache_ms, {cache_ms}"))]
    TicketShorterThanCache {
        /// Lifetime of a ticket in milliseconds.
        ticket_ms: u32,
        /// Time for which an answer may be cached, in milliseconds.
        cache_ms: u32,
    },
    /// Tickets are valid for so long that records of actions would have to be kept for too long.
    #[snafu(display("ticket_ms is {ticket_ms}; allowed is at most {MAX_TICKET_MS}"))]
    TicketTooLong {
        /// Lifetime of a ticket in milliseconds.
        ticket_ms: u32,
    },
}

/// Returns all problems of a manifest, each with its location.
#[must_use]
pub fn check(manifest: &Manifest) -> Vec<LocatedProblem> {
    let mut checker = Checker::new(manifest);
    checker.version_and_places();
    for (name, service) in &manifest.services {
        checker.service(name, service);
    }
    checker.shift_caps();
    checker.links();
    checker.drains();
    checker.client_blocks();
    checker.look_ups(manifest.look_ups);
    checker.problems
}

struct Checker<'a> {
    manifest: &'a Manifest,
    regions: BTreeSet<&'a RegionName>,
    problems: Vec<LocatedProblem>,
}

impl<'a> Checker<'a> {
    fn new(manifest: &'a Manifest) -> Self {
        Self {
            manifest,
            regions: manifest
                .places
                .values()
                .map(|place| &place.region)
                .collect(),
            problems: Vec::new(),
        }
    }

    fn add(&mut self, path: ConfigPath, problem: ManifestProblem) {
        self.problems
            .push((path, ConfigProblem::Manifest { problem }));
    }

    fn version_and_places(&mut self) {
        let root = ConfigPath::root();
        if self.manifest.version.0 == 0 {
            self.add(root.field("version"), ManifestProblem::VersionZero);
        }
        if self.manifest.places.is_empty() {
            self.add(root.field("places"), ManifestProblem::NoPlaces);
        }
    }

    fn place(&mut self, path: ConfigPath, place: &PlaceName) {
        if self.manifest.places.contains_key(place) {
            return;
        }
        let known = self.manifest.places.keys().map(PlaceName::as_str);
        let problem = ManifestProblem::UnknownPlace {
            place: place.clone(),
            nearest: nearest_name(place.as_str(), known).map(str::to_owned),
        };
        self.add(path, problem);
    }

    fn region(&mut self, path: ConfigPath, region: &RegionName) {
        if self.regions.contains(region) {
            return;
        }
        let known = self.regions.iter().map(|known| known.as_str());
        let problem = ManifestProblem::UnknownRegion {
            region: region.clone(),
            nearest: nearest_name(region.as_str(), known).map(str::to_owned),
        };
        self.add(path, problem);
    }

    fn scope(&mut self, path: &ConfigPath, scope: &Scope) {
        match scope {
            Scope::Any => {}
            Scope::Region(region) => self.region(path.field("region"), region),
            Scope::Place(place) => self.place(path.field("place"), place),
        }
    }

    fn service(&mut self, name: &ServiceName, service: &Service) {
        let path = ConfigPath::root().field("services").field(name.as_str());
        if service.limits.is_empty() {
            let problem = ManifestProblem::NoLimits {
                service: name.clone(),
            };
            self.add(path.field("limits"), problem);
        }
        if service.max_connections_per_backend < service.max_slots_per_backend {
            let problem = ManifestProblem::FewerConnectionsThanSlots {
                connections: service.max_connections_per_backend,
                slots: service.max_slots_per_backend,
            };
            self.add(path.field("max_connections_per_backend"), problem);
        }
        for place in service.limits.keys() {
            self.place(path.field("limits").key(place.as_str()), place);
        }
        for (index, operation) in service.operations.iter().enumerate() {
            let path = path.field("operations").item(index);
            self.operation(&path, operation, &service.operations[..index]);
        }
    }

    fn operation(&mut self, path: &ConfigPath, operation: &Operation, earlier: &[Operation]) {
        if !METHODS.contains(&operation.method.as_str()) {
            let problem = ManifestProblem::UnknownMethod {
                method: operation.method.clone(),
            };
            self.add(path.field("method"), problem);
        }
        if !prefix_matches_some_path(&operation.path_prefix) {
            let problem = ManifestProblem::PathPrefixNeverMatches {
                path_prefix: operation.path_prefix.clone(),
            };
            self.add(path.field("path_prefix"), problem);
        }
        if earlier.iter().any(|other| other.name == operation.name) {
            let problem = ManifestProblem::OperationTwice {
                name: operation.name.clone(),
            };
            self.add(path.field("name"), problem);
        }
        if let Some(other) = earlier.iter().find(|other| shadows(other, operation)) {
            let problem = ManifestProblem::OperationUnreachable {
                name: operation.name.clone(),
                earlier: other.name.clone(),
            };
            self.add(path.field("path_prefix"), problem);
        }
    }

    fn shift_caps(&mut self) {
        let path = ConfigPath::root().field("shift_caps");
        let mut seen: BTreeSet<(&Scope, &Scope)> = BTreeSet::new();
        for (index, cap) in self.manifest.shift_caps.iter().enumerate() {
            let path = path.item(index);
            self.scope(&path.field("from"), &cap.from);
            self.scope(&path.field("to"), &cap.to);
            let from = cap.from.to_string();
            let to = cap.to.to_string();
            if !seen.insert((&cap.from, &cap.to)) {
                self.add(path, ManifestProblem::CapTwice { from, to });
            } else if never_applies(cap, self.manifest) {
                self.add(path, ManifestProblem::CapNeverApplies { from, to });
            }
        }
    }

    fn links(&mut self) {
        let path = ConfigPath::root().field("links");
        let mut seen: BTreeSet<(&RegionName, &RegionName)> = BTreeSet::new();
        for (index, link) in self.manifest.links.iter().enumerate() {
            let path = path.item(index);
            self.region(path.field("from"), &link.from);
            self.region(path.field("to"), &link.to);
            if link.from == link.to {
                let region = link.to.clone();
                self.add(path.field("to"), ManifestProblem::LinkToItself { region });
            }
            if !seen.insert((&link.from, &link.to)) {
                let problem = ManifestProblem::LinkTwice {
                    from: link.from.clone(),
                    to: link.to.clone(),
                };
                self.add(path, problem);
            }
        }
    }

    fn drains(&mut self) {
        let path = ConfigPath::root().field("drains");
        for (index, drain) in self.manifest.drains.iter().enumerate() {
            let path = path.item(index);
            if let Drain::Place(place) = drain {
                self.place(path.field("place"), place);
            }
            if self.manifest.drains[..index].contains(drain) {
                self.add(path, ManifestProblem::DrainTwice);
            }
        }
    }

    fn client_blocks(&mut self) {
        let path = ConfigPath::root().field("client_blocks");
        let mut seen: HashSet<BlockPrefix> = HashSet::new();
        for (index, client_block) in self.manifest.client_blocks.iter().enumerate() {
            if !self.manifest.places.contains_key(&client_block.place) {
                self.place(path.item(index).field("place"), &client_block.place);
            }
            if !seen.insert(client_block.block) {
                let problem = ManifestProblem::BlockTwice {
                    block: client_block.block,
                };
                self.add(path.item(index).field("block"), problem);
            }
        }
    }

    fn look_ups(&mut self, look_ups: LookUps) {
        let path = ConfigPath::root().field("look_ups").field("ticket_ms");
        if look_ups.ticket_ms > MAX_TICKET_MS {
            let ticket_ms = look_ups.ticket_ms;
            self.add(path.clone(), ManifestProblem::TicketTooLong { ticket_ms });
        }
        if look_ups.ticket_ms < look_ups.cache_ms {
            let problem = ManifestProblem::TicketShorterThanCache {
                ticket_ms: look_ups.ticket_ms,
                cache_ms: look_ups.cache_ms,
            };
            self.add(path, problem);
        }
    }
}

fn prefix_matches_some_path(prefix: &str) -> bool {
    let is_allowed = |c: char| !c.is_whitespace() && !c.is_control() && c != '?' && c != '#';
    prefix.starts_with('/') && prefix.chars().all(is_allowed)
}

/// Returns whether `earlier` matches every request that `later` matches.
fn shadows(earlier: &Operation, later: &Operation) -> bool {
    earlier.method == later.method && later.path_prefix.starts_with(&earlier.path_prefix)
}

/// Returns whether the cap's `to` contains all places of its `from`, so that the cap applies to
/// no request.
fn never_applies(cap: &ShiftCap, manifest: &Manifest) -> bool {
    let region_of = |place: &PlaceName| manifest.places.get(place).map(|place| &place.region);
    match (&cap.from, &cap.to) {
        (Scope::Any, _) | (_, Scope::Any) => false,
        (Scope::Region(from), Scope::Region(to)) => from == to,
        (Scope::Place(from), Scope::Place(to)) => from == to,
        (Scope::Place(from), Scope::Region(to)) => region_of(from) == Some(to),
        (Scope::Region(from), Scope::Place(to)) => {
            let mut members = manifest
                .places
                .iter()
                .filter(|(_, place)| place.region == *from);
            let known = region_of(to) == Some(from);
            known && members.all(|(name, _)| name == to)
        }
    }
}
