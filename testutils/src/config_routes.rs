//! The routes of a soak of the route manifest in heatherring's own JSON.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::config_record::ReadManifest;
use crate::config_record::RouteSpec;
use crate::config_record::Routes;
use crate::http_call::HOST;

/// The services that routes lead to.
pub const SERVICES: [&str; 2] = ["registry", "certdesk"];

/// Stands for the service of a route that no change can have brought about.
const UNEXPECTED: &str = "unexpected";

/// Says how a change is put on the wire.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// All routes.
    Whole,
    /// Those that differ.
    Patch,
}

fn span(time: Duration) -> Value {
    json!({"secs": time.as_secs(), "nanos": time.subsec_nanos()})
}

/// Returns the path of requests on a route.
#[must_use]
pub fn path(name: &str) -> String {
    format!("/{name}/cube")
}

fn route(name: &str, spec: &RouteSpec) -> Value {
    json!({
        "host": HOST, "prefix": format!("/{name}/"), "idempotent": true,
        "timeout": span(Duration::from_millis(spec.timeout_ms)),
        "latency_objective": span(Duration::from_secs(1)), "priority": 0,
        "target": {"Service": spec.service}, "max_attempts": 2, "affinity": false,
        "home_regions": [],
    })
}

fn services() -> Value {
    let service = json!({
        "health_path": "/health", "max_connections": 200, "protocol": "h1", "tls": false,
        "cold_start": span(Duration::from_secs(1)), "cold_rate": 100.0,
    });
    let named = SERVICES.map(|name| (name.to_owned(), service.clone()));
    Value::Object(named.into_iter().collect())
}

fn limits() -> Value {
    json!({
        "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
        "header_timeout": span(Duration::from_secs(5)),
        "idle_timeout": span(Duration::from_mins(1)),
    })
}

fn all(routes: &Routes) -> Value {
    let routes = routes.iter();
    let named = routes.map(|(name, spec)| (name.clone(), route(name, spec)));
    Value::Object(named.collect())
}

/// Returns the order that turns `before`, version `base`, into `after`, version `version`.
#[must_use]
pub fn order(version: u64, base: u64, before: &Routes, after: &Routes, form: Form) -> String {
    let content = match form {
        Form::Whole => json!({"Whole": {
            "routes": all(after), "services": services(), "limits": limits(),
        }}),
        Form::Patch => {
            let differ = |(name, spec): &(&String, &RouteSpec)| before.get(*name) != Some(*spec);
            let changed = after.iter().filter(differ);
            let changed = changed.map(|(name, spec)| (name.clone(), spec.clone()));
            let removed = before.keys().filter(|name| !after.contains_key(*name));
            json!({"Patch": {
                "routes": all(&changed.collect()),
                "services": if base == 0 { services() } else { json!({}) },
                "limits": null,
                "removed_routes": removed.collect::<Vec<_>>(),
                "removed_services": [],
            }})
        }
    };
    json!({"version": version, "base": base, "content": content}).to_string()
}

/// Reads the answer to a read of the manifest.
#[must_use]
pub fn read(body: &[u8]) -> Option<ReadManifest> {
    let manifest: Value = serde_json::from_slice(body).ok()?;
    let version = manifest["version"].as_u64()?;
    let mut routes = BTreeMap::new();
    for (name, value) in manifest["routes"].as_object()? {
        routes.insert(name.clone(), spec(name, value));
    }
    Some(ReadManifest {
        version,
        routes: Arc::new(routes),
    })
}

/// Reads a route; one that differs from all that are ordered gets a service of its own.
fn spec(name: &str, value: &Value) -> RouteSpec {
    let number = |part: &str| value["timeout"][part].as_u64().unwrap_or_default();
    let service = value["target"]["Service"].as_str().unwrap_or(UNEXPECTED);
    let mut spec = RouteSpec {
        service: service.to_owned(),
        timeout_ms: number("secs") * 1_000 + number("nanos") / 1_000_000,
    };
    if route(name, &spec) != *value {
        UNEXPECTED.clone_into(&mut spec.service);
    }
    spec
}
