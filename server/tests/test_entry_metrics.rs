//! Metrics of an entry VM, and their list in the documentation.

use std::fs;
use std::path::Path;
use std::time::Duration;

use cadence::SpyMetricSink;
use cadence::StatsdClient;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::load_digest::GroupLoad;
use heatherring_lib::manifest::Drain;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use heatherring_lib::ownership::Group;
use heatherring_server::entry_metrics;
use heatherring_server::entry_metrics::CallKind;
use heatherring_server::entry_status::DrainStatus;
use heatherring_server::entry_status::EntryStatus;

/// Returns the `StatsD` lines that `send` emits.
fn sent(send: impl FnOnce(&StatsdClient)) -> Vec<String> {
    let (rx, sink) = SpyMetricSink::new();
    send(&StatsdClient::from_sink("p", sink));
    rx.try_iter()
        .map(|line| String::from_utf8(line).unwrap())
        .collect()
}

fn status() -> EntryStatus {
    EntryStatus {
        vm: "entry-1".to_owned(),
        session: 4,
        lease_left_ms: 2_900,
        revision: 9,
        settled_revision: 8,
        manifest_version: 3,
        entries: 2,
        waiting: 5,
        drains: vec![
            DrainStatus {
                drain: Drain::Place(PlaceName::new("a")),
                held_back: Some("too little is left".to_owned()),
            },
            DrainStatus {
                drain: Drain::Place(PlaceName::new("b")),
                held_back: None,
            },
        ],
        owned: vec![load()],
        known: Vec::new(),
    }
}

fn load() -> GroupLoad {
    GroupLoad {
        group: Group::new(ServiceName::new("registry"), PlaceName::new("fko.hakata")),
        slots: 12,
        in_flight: 11,
        queued: 2,
        arrivals_per_second: 300,
        expected_wait_ms: 20,
        service_ms: 18,
        warm_percent: 100,
        full_origins: Vec::new(),
    }
}

macro_rules! sent_cases {
    ($($name:ident: $asked:expr, $refused:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let refused = $refused;
                let lines = sent(|metrics| {
                    let elapsed = Duration::from_millis(12);
                    entry_metrics::record_call(metrics, $asked, refused.as_ref(), elapsed);
                });
                assert_eq!(lines, $expected);
            }
        )*
    };
}

sent_cases! {
    test_entry_metrics_answer: CallKind::Request, None
        => ["p.requests.answered:1|c", "p.requests.answer_time:12|ms"];
    test_entry_metrics_look_up_refused:
        CallKind::LookUp, Some(Attempt::new().refuse(NotRunReason::ShiftCap).into())
        => ["p.look_ups.not_run.shift_cap:1|c", "p.look_ups.refusal_time:12|ms"];
    test_entry_metrics_unknown:
        CallKind::Request, Some(Unknown::new(UnknownReason::OwnerLost).into())
        => ["p.requests.unknown.owner_lost:1|c", "p.requests.refusal_time:12|ms"];
}

#[test]
fn test_entry_metrics_gauges() {
    let lines = sent(|metrics| entry_metrics::gauges(metrics, &status()));
    assert_eq!(
        lines,
        [
            "p.lease.left:2900|g",
            "p.view.revision:9|g",
            "p.view.settled_revision:8|g",
            "p.view.manifest_version:3|g",
            "p.view.entries:2|g",
            "p.requests.waiting:5|g",
            "p.drains.held_back:1|g",
            "p.groups.registry.fko_hakata.slots:12|g",
            "p.groups.registry.fko_hakata.in_flight:11|g",
            "p.groups.registry.fko_hakata.queued:2|g",
            "p.groups.registry.fko_hakata.arrivals:300|g",
            "p.groups.registry.fko_hakata.expected_wait:20|g",
            "p.groups.registry.fko_hakata.service_time:18|g",
        ]
    );
}

#[test]
fn test_entry_metrics_are_in_the_docs() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/metrics.md");
    let page = fs::read_to_string(page).unwrap();
    let mut lines = sent(|metrics| {
        entry_metrics::gauges(metrics, &status());
        entry_metrics::decision_dropped(metrics);
    });
    for asked in [CallKind::LookUp, CallKind::Request] {
        let refused = Attempt::new().refuse(NotRunReason::Overloaded).into();
        let unknown = Unknown::new(UnknownReason::OwnerLost).into();
        for outcome in [None, Some(&refused), Some(&unknown)] {
            lines.extend(sent(|metrics| {
                entry_metrics::record_call(metrics, asked, outcome, Duration::ZERO);
            }));
        }
    }
    for line in lines {
        let (name, _) = line.strip_prefix("p.").unwrap().split_once(':').unwrap();
        let name = name
            .replace("registry.fko_hakata", "SERVICE.PLACE")
            .replace("overloaded", "REASON")
            .replace("owner_lost", "REASON");
        // Look-ups never have the outcome unknown, so that this name is not documented.
        if name != "look_ups.unknown.REASON" {
            assert!(
                page.contains(&format!("`{name}`")),
                "{name} is not listed in docs/metrics.md"
            );
        }
    }
}
