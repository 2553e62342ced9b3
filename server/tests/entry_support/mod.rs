//! Entry VMs in this process, with a fake control replica and scripted backend servers.

#![allow(dead_code, reason = "each test file uses a part of the rig")]

use serde_json::json;

pub mod caller;
pub mod fake_control;
pub mod repeating_backend;
pub mod rig;
pub mod scripted_backend;

pub const SERVICE: &str = "registry";
pub const PLACE: &str = "place-a";
pub const REGION: &str = "region";
/// A failure domain in another region, behind links of 1 kB/s; it has no backend servers.
pub const FAR_PLACE: &str = "far-place";
const FAR_REGION: &str = "far-region";
pub const DEADLINE_MS: u64 = 1_500;

pub fn manifest_text() -> String {
    json!({
        "version": 1,
        "deployment": "test",
        "places": {PLACE: {"region": REGION}, "place-b": {"region": REGION}, FAR_PLACE: {"region": FAR_REGION}},
        "services": {SERVICE: {
            "operations": [
                {
                    "name": "read", "method": "GET", "path_prefix": "/",
                    "idempotent": true, "deadline_ms": DEADLINE_MS,
                },
                {
                    "name": "write", "method": "POST", "path_prefix": "/",
                    "idempotent": false, "deadline_ms": DEADLINE_MS,
                },
            ],
            "max_slots_per_backend": 3,
            "max_connections_per_backend": 10,
            "warm_up_ms": 1,
            "limits": {PLACE: {"max_in_flight": 6, "max_per_second": 1000}},
        }},
        "links": [
            {"from": REGION, "to": FAR_REGION, "max_kilobytes_per_second": 1},
            {"from": FAR_REGION, "to": REGION, "max_kilobytes_per_second": 1},
        ],
        "client_blocks": [{"block": "127.0.0.0/8", "place": PLACE}],
        "look_ups": {"cache_ms": 100, "ticket_ms": 1000},
    })
    .to_string()
}
