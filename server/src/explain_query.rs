//! Query string of a request for recent decisions.

use std::fmt::Write;

use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_record::DecisionKind;
use heatherring_lib::id::ServiceName;
use snafu::OptionExt;
use snafu::Snafu;

const REQUEST: &str = "request";
const SERVICE: &str = "service";
const KIND: &str = "kind";

/// Names of the kinds of decisions in the query.
pub const KINDS: [(&str, DecisionKind); 3] = [
    ("look_up", DecisionKind::LookUp),
    ("steering", DecisionKind::Steering),
    ("refusal", DecisionKind::Refusal),
];

/// Why a query could not be parsed.
#[derive(Debug, Snafu)]
pub enum ExplainQueryError {
    /// A parameter has no value.
    #[snafu(display("\"{part}\" has no value; allowed are {REQUEST}=, {SERVICE}= and {KIND}="))]
    NoValue {
        /// The parameter as it was written.
        part: String,
    },
    /// A key is unknown.
    #[snafu(display("\"{key}\" isn't known; allowed are {REQUEST}, {SERVICE} and {KIND}"))]
    UnknownKey {
        /// The unknown key.
        key: String,
    },
    /// A kind is unknown.
    #[snafu(display("kind \"{kind}\" isn't known; allowed are look_up, steering and refusal"))]
    UnknownKind {
        /// The unknown kind.
        kind: String,
    },
}

/// Parses a query.
///
/// Nothing is unescaped: identifiers and names contain no character that a URL would escape.
///
/// # Errors
///
/// Fails if a parameter is unknown or has no value.
pub fn parse(query: &str) -> Result<DecisionFilter, ExplainQueryError> {
    let mut filter = DecisionFilter::default();
    for part in query.split('&').filter(|part| !part.is_empty()) {
        let (key, value) = part.split_once('=').context(NoValueSnafu { part })?;
        match key {
            REQUEST => filter.request_id = Some(value.to_owned()),
            SERVICE => filter.service = Some(ServiceName::new(value)),
            KIND => filter.kind = Some(kind(value)?),
            _ => return UnknownKeySnafu { key }.fail(),
        }
    }
    Ok(filter)
}

fn kind(name: &str) -> Result<DecisionKind, ExplainQueryError> {
    let found = KINDS.iter().find(|(known, _)| *known == name);
    found
        .map(|(_, kind)| *kind)
        .context(UnknownKindSnafu { kind: name })
}

/// Formats a query that [`parse`] reads.
#[must_use]
pub fn write(filter: &DecisionFilter) -> String {
    let mut query = String::new();
    let kind = filter.kind.and_then(|kind| {
        let found = KINDS.iter().find(|(_, known)| *known == kind);
        found.map(|(name, _)| *name)
    });
    let parts = [
        (REQUEST, filter.request_id.as_deref()),
        (SERVICE, filter.service.as_ref().map(ServiceName::as_str)),
        (KIND, kind),
    ];
    for (key, value) in parts {
        if let Some(value) = value {
            let separator = if query.is_empty() { "" } else { "&" };
            // Writing to a string does not fail.
            let _ = write!(query, "{separator}{key}={value}");
        }
    }
    query
}
