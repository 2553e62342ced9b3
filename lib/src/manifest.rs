//! The manifest: what operators want, as their pipelines generate it.
//!
//! These are the checked types. `manifest_text` reads them from JSON with comments
//! and reports each fault with its file, line and column.

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendName;
use crate::id::ManifestVersion;
use crate::id::PlaceName;
use crate::id::RegionName;
use crate::id::ServiceName;
use crate::id::VmName;

/// Describes services, places, limits and planned drains of one deployment.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Orders manifests; an accepted one is never replaced by a lower version.
    pub version: ManifestVersion,
    /// Names the deployment, for people.
    pub deployment: String,
    /// Places by name.
    pub places: BTreeMap<PlaceName, Place>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Caps on traffic that is served away from its callers' place or region.
    #[serde(default)]
    pub shift_caps: Vec<ShiftCap>,
    /// Limits of the links between regions.
    #[serde(default)]
    pub links: Vec<LinkLimit>,
    /// Planned drains.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// Blocks of callers' addresses, matched by longest prefix.
    #[serde(default)]
    pub client_blocks: Vec<ClientBlock>,
    /// Settings of look-ups.
    #[serde(default)]
    pub look_ups: LookUps,
}

/// Describes a place: one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The region that the place belongs to.
    pub region: RegionName,
}

/// Describes a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Operations, tried in order; the first whose method and path prefix match holds.
    #[schemars(length(min = 1))]
    pub operations: Vec<Operation>,
    /// Bound on the slots believed of one backend server, whatever it announces.
    #[schemars(range(min = 1))]
    pub max_slots_per_backend: u32,
    /// Bound on the connections held to one backend server by the whole system.
    #[schemars(range(min = 1))]
    pub max_connections_per_backend: u32,
    /// What each place can bear; a place that isn't named serves nothing.
    pub limits: BTreeMap<PlaceName, PlaceLimit>,
    /// Time over which a starting backend server is ramped up to all its slots.
    #[serde(default = "default_warm_up_ms")]
    pub warm_up_ms: u32,
}

const fn default_warm_up_ms() -> u32 {
    2_000
}

/// Bounds what one service may put on one place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceLimit {
    /// Requests in flight at the place's backend servers.
    pub max_in_flight: u32,
    /// Requests begun a second.
    pub max_per_second: u32,
}

/// Describes an operation of a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Names the operation in reports.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// HTTP method in capitals.
    pub method: String,
    /// Prefix of the path below the service.
    pub path_prefix: String,
    /// Whether running it twice is harmless. Operations that aren't run at most once.
    pub idempotent: bool,
    /// Time from arrival within which an answer is of use, in milliseconds.
    #[schemars(range(min = 1, max = 600_000))]
    pub deadline_ms: u32,
}

/// Names the end of a shift.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Any place other than the other end's.
    Any,
    /// All places of a region.
    Region(RegionName),
    /// One place.
    Place(PlaceName),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("any place"),
            Self::Region(region) => write!(f, "region {region}"),
            Self::Place(place) => write!(f, "place {place}"),
        }
    }
}

/// Caps the requests that are served in `to` for callers whose place is in `from`.
///
/// The cap is `percent` of what `to` can bear: the sum of `max_per_second` over the
/// service's limits at the places of `to`. It holds for each service on its own, over
/// every window of one second. Requests whose callers' place lies in `to` are no shift.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShiftCap {
    /// Where the callers are.
    pub from: Scope,
    /// Where the requests are served.
    pub to: Scope,
    /// Share of what `to` can bear, 0 to 100.
    #[schemars(range(max = 100))]
    pub percent: u8,
}

/// Limits the bytes that the system carries from one region to another.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkLimit {
    /// Where the bytes start.
    pub from: RegionName,
    /// Where the bytes go.
    pub to: RegionName,
    /// Kilobytes (1,000 bytes) a second, bodies and heads together.
    pub max_kilobytes_per_second: u32,
}

/// Plans that something is to receive no new work.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Drain {
    /// All backend servers of a place.
    Place(PlaceName),
    /// One backend server.
    BackendServer(BackendName),
    /// One entry VM.
    Vm(VmName),
}

impl fmt::Display for Drain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Place(place) => write!(f, "place {place}"),
            Self::BackendServer(backend) => write!(f, "backend server {backend}"),
            Self::Vm(vm) => write!(f, "entry VM {vm}"),
        }
    }
}

/// Says where the callers of a block of addresses are.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// First address of the block and its prefix length, as in `10.1.0.0/16`.
    pub block: BlockPrefix,
    /// The place nearest to the callers.
    pub place: PlaceName,
}

/// Holds an address and a prefix length.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BlockPrefix {
    /// The first address; bits beyond the prefix are zero.
    pub address: IpAddr,
    /// Number of leading bits that count.
    pub length: u8,
}

/// Holds the settings of look-ups.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LookUps {
    /// Time for which a caller may cache an answer, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub cache_ms: u32,
    /// Time for which an action's ticket may be used, in milliseconds.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub ticket_ms: u32,
}

impl Default for LookUps {
    fn default() -> Self {
        Self {
            cache_ms: 5_000,
            ticket_ms: 60_000,
        }
    }
}

mod block_prefix_text {
    //! Reads and writes a block of addresses as `address/length`.

    use std::borrow::Cow;
    use std::fmt;
    use std::net::IpAddr;
    use std::net::Ipv4Addr;
    use std::net::Ipv6Addr;
    use std::str::FromStr;

    use schemars::JsonSchema;
    use schemars::Schema;
    use schemars::SchemaGenerator;
    use schemars::json_schema;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use serde::de::Error as _;
    use snafu::OptionExt;
    use snafu::ResultExt;
    use snafu::Snafu;

    use super::BlockPrefix;

    /// Tells why a text is no block of addresses.
    #[derive(Debug, Snafu)]
    #[snafu(visibility(pub))]
    pub enum BlockPrefixError {
        /// There is no slash.
        #[snafu(display("expected address/length, as in 10.1.0.0/16"))]
        MissingSlash,
        /// The address doesn't parse.
        #[snafu(display("the part before the slash is no IP address"))]
        Address {
            /// What the parser said.
            source: std::net::AddrParseError,
        },
        /// The length is no number or too large.
        #[snafu(display("the prefix length must be a number from 0 to {max}"))]
        Length {
            /// The largest length that the address allows.
            max: u8,
        },
        /// Bits beyond the prefix are set.
        #[snafu(display(
            "bits beyond the prefix length must be zero; the block starts at {first}"
        ))]
        HostBits {
            /// The address with those bits cleared.
            first: IpAddr,
        },
    }

    fn masked(address: IpAddr, length: u8) -> IpAddr {
        match address {
            IpAddr::V4(v4) => {
                let mask = u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
                IpAddr::V4(Ipv4Addr::from_bits(v4.to_bits() & mask))
            }
            IpAddr::V6(v6) => {
                let mask = u128::MAX.checked_shl(128 - u32::from(length)).unwrap_or(0);
                IpAddr::V6(Ipv6Addr::from_bits(v6.to_bits() & mask))
            }
        }
    }

    impl FromStr for BlockPrefix {
        type Err = BlockPrefixError;

        fn from_str(text: &str) -> Result<Self, Self::Err> {
            let (address, length) = text.split_once('/').context(MissingSlashSnafu)?;
            let address: IpAddr = address.parse().context(AddressSnafu)?;
            let max = if address.is_ipv4() { 32 } else { 128 };
            let length: u8 = length.parse().ok().context(LengthSnafu { max })?;
            snafu::ensure!(length <= max, LengthSnafu { max });
            let first = masked(address, length);
            snafu::ensure!(first == address, HostBitsSnafu { first });
            Ok(Self { address, length })
        }
    }

    impl fmt::Display for BlockPrefix {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "{}/{}", self.address, self.length)
        }
    }

    impl Serialize for BlockPrefix {
        fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
            serializer.collect_str(self)
        }
    }

    impl<'de> Deserialize<'de> for BlockPrefix {
        fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
            let text = Cow::<'de, str>::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        }
    }

    impl JsonSchema for BlockPrefix {
        fn schema_name() -> Cow<'static, str> {
            "BlockPrefix".into()
        }

        fn json_schema(_: &mut SchemaGenerator) -> Schema {
            json_schema!({
                "type": "string",
                "format": "block-prefix",
                "description": "An address and a prefix length, as in 10.1.0.0/16.",
            })
        }
    }
}

pub use block_prefix_text::BlockPrefixError;
