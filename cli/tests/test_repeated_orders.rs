//! Orders that are sent again after their confirmation, and orders that race.

mod order_support;

use std::thread;

use order_support::Answer;
use order_support::Controls;
use order_support::FORMS;
use order_support::Form;
use order_support::PLACE;
use order_support::Plane;
use order_support::REPLICAS;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Changes that race, one after the other.
const RACES: u64 = 12;

/// Changes between which the processes are killed.
const ROUNDS: u64 = 3;

/// Returns a change that adds a route named `mark`, as a whole or as a patch.
fn order(plane: Plane, form: Form, version: u64, base: u64, mark: &str) -> Value {
    match plane {
        Plane::Own => own_order(form, version, base, mark),
        Plane::Platform => platform_order(form, version, base, mark),
    }
}

fn own_order(form: Form, version: u64, base: u64, mark: &str) -> Value {
    let second = json!({"secs": 1, "nanos": 0});
    let route = json!({
        "host": "a.example", "prefix": format!("/{mark}/"), "idempotent": true,
        "timeout": second, "latency_objective": second, "priority": 0,
        "target": {"Split": [{"service": "s", "weight": 0.1}, {"service": "s", "weight": 1e-7}]},
        "max_attempts": 2, "affinity": false, "home_regions": ["almaty"],
    });
    let service = json!({"health_path": "/health", "max_connections": 10, "protocol": "h1",
        "tls": false, "cold_start": second, "cold_rate": 10.5});
    let limits = json!({"max_header_bytes": 16384, "max_body_bytes": 1_048_576,
        "header_timeout": second, "idle_timeout": second});
    let (routes, services) = (json!({mark: route}), json!({"s": service}));
    let teams = json!({"teams": {"t": {"keys": ["k"], "priority": null, "rate": 2.5,
        "burst": null, "home_regions": null}}, "public_routes": [mark]});
    let content = match form {
        Form::Whole => json!({"Whole": {"routes": routes, "services": services, "limits": limits}}),
        Form::Patch => json!({"Patch": {"routes": routes, "services": services,
            "limits": null, "removed_routes": ["none"], "removed_services": []}}),
    };
    json!({"version": version, "base": base, "content": content, "teams": teams,
        "bulk_routes": [mark]})
}

fn platform_order(form: Form, version: u64, base: u64, mark: &str) -> Value {
    let routes = json!({
        "columns": ["name", "host", "pathPrefix", "kind", "timeout", "goal", "priority",
            "service", "maxAttempts", "sticky", "homeRegions", "trafficSplit", "public"],
        "rows": [[mark, "A.example", format!("/{mark}/"), "download", "2.5s", "600ms", 1, null,
            2, true, ["almaty"], [{"service": "s", "weight": 0.1}], true]],
    });
    let services = json!({
        "columns": ["name", "healthPath", "maxConns", "protocol", "tls", "coldStart", "coldPerS"],
        "rows": [["s", "/health", 390, "h1", false, "3s", 7.5]],
    });
    let limits = json!({"maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864,
        "headerTimeout": "3000ms", "idleTimeout": "15000ms"});
    let tenants = json!({"columns": ["name", "apiKeys", "ratePerS"], "rows": [["t", ["k"], 2.5]]});
    let version = format!("r{version}");
    let base = if base == 0 {
        json!(0)
    } else {
        json!(format!("r{base}"))
    };
    match form {
        Form::Whole => json!({"version": version, "routes": routes, "services": services,
            "limits": limits, "tenants": tenants, "baseVersion": base}),
        Form::Patch => json!({"version": version, "baseVersion": base,
            "upsert": {"routes": routes, "services": services, "tenants": tenants},
            "remove": {"routes": ["none"]}}),
    }
}

/// Writes the same order with the fields of its objects in reverse order, and with spaces.
fn rewritten(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields = fields.iter().rev();
            let fields: Vec<String> = fields
                .map(|(key, value)| format!("{}\t: {}", json!(key), rewritten(value)))
                .collect();
            format!("{{ {} }}\r\n", fields.join(" ,\n"))
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(rewritten).collect();
            format!("[ {} ]", items.join(" , "))
        }
        other => other.to_string(),
    }
}

/// Sends a confirmed order again, to every replica that runs and in two notations.
async fn check_confirmed_again(controls: &Controls, form: Form, order: &Value, when: &str) {
    for number in (0..REPLICAS).filter(|number| controls.is_running(*number)) {
        for body in [order.to_string(), rewritten(order)] {
            let answer = controls.decide(number, form, &body).await;
            assert_eq!(
                answer.status, 200,
                "{form:?} {when}, at {number}: {answer:?}"
            );
        }
    }
}

/// Gives orders that do not change the manifest.
async fn give_other_orders(controls: &Controls) {
    let number = 1;
    match controls.plane {
        Plane::Own => {
            let path = format!("/v1/evacuations/{PLACE}");
            controls.confirm_call(number, "PUT", &path, "").await;
            controls.confirm_call(number, "DELETE", &path, "").await;
            let record = json!({"service": "s", "address": "127.0.0.1:9", "place": PLACE,
                "slots": 3, "state": "Draining", "sequence": 1,
                "cold_for": {"secs": 0, "nanos": 0}});
            let body = json!({"backend": "i-1", "record": record}).to_string();
            let path = "/v1/announcements";
            controls.confirm_call(number, "POST", path, &body).await;
        }
        Plane::Platform => {
            let path = format!("/heatherring/evacuations/{PLACE}");
            controls.confirm_call(number, "POST", &path, "").await;
            controls.confirm_call(number, "DELETE", &path, "").await;
            let body = json!({"service": "s", "address": "127.0.0.1:9", "zone": PLACE,
                "version": "v1", "slots": 3, "state": "draining", "coldLeft": "0ms", "seq": 1});
            let path = "/heatherring/instances/i-1";
            controls
                .confirm_call(number, "PUT", path, &body.to_string())
                .await;
        }
    }
}

/// Guards against a confirmed order that is refused when it is sent again, though nothing has changed
/// the manifest since.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn test_repeated_orders_are_confirmed_again(
    #[values(Plane::Own, Plane::Platform)] plane: Plane,
) {
    let mut controls = Controls::start(plane);
    let mut version = 0;
    for round in 0..ROUNDS {
        for (at, form) in FORMS.into_iter().enumerate() {
            // Versions increase in uneven steps.
            let (base, new) = (version, version + 1 + round);
            let order = order(plane, form, new, base, &format!("m{new}"));
            let answer = controls.decide(at, form, &order.to_string()).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            version = new;
            check_confirmed_again(&controls, form, &order, "at once").await;
            give_other_orders(&controls).await;
            check_confirmed_again(&controls, form, &order, "after other orders").await;
            for number in 0..REPLICAS {
                controls.kill(number);
                check_confirmed_again(&controls, form, &order, "without a replica").await;
                controls.restart(number);
            }
            (0..REPLICAS).for_each(|number| controls.kill(number));
            (0..REPLICAS).for_each(|number| controls.restart(number));
            check_confirmed_again(&controls, form, &order, "after a restart of all").await;
            let read = controls.read_all().await;
            assert!(
                read.iter().all(|manifest| *manifest == read[0]),
                "{read:#?}"
            );
            assert!(
                read[0].to_string().contains(&format!("/m{new}/")),
                "{read:#?}"
            );
        }
    }
}

/// Sends the changes at once, each to a replica of its own.
fn race(controls: &Controls, form: Form, orders: &[String]) -> Vec<Option<Answer>> {
    thread::scope(|scope| {
        let calls = orders.iter().enumerate().map(|(number, order)| {
            scope.spawn(move || controls.change(number % REPLICAS, form, order))
        });
        let calls: Vec<_> = calls.collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

/// Guards against two changes of the same version that are both confirmed, and against one in force that
/// was refused; also where both choose the same number, or one is sent twice at the same time.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn test_repeated_orders_that_race_have_one_winner(
    #[values(Plane::Own, Plane::Platform)] plane: Plane,
    #[values(Form::Whole, Form::Patch)] form: Form,
) {
    let controls = Controls::start(plane);
    let first = order(plane, Form::Whole, 1, 0, "first").to_string();
    assert_eq!(controls.decide(0, Form::Whole, &first).await.status, 200);
    let mut version = 1;
    for round in 0..RACES {
        let marks = ["x", "y", "z"].map(|side| format!("{side}{round}"));
        let step = |side: u64| if round % 2 == 0 { 1 } else { 1 + side };
        let orders = (0..3).zip(&marks);
        let orders = orders.map(|(side, mark)| {
            order(plane, form, version + step(side), version, mark).to_string()
        });
        let mut orders: Vec<String> = orders.collect();
        // A copy of each order goes to another replica at the same time.
        orders.extend([1, 2, 0].map(|side| orders[side].clone()));
        let mut answers = race(&controls, form, &orders);
        for (number, answer) in answers.iter_mut().enumerate() {
            if answer.as_ref().is_none_or(|answer| answer.status >= 500) {
                *answer = Some(controls.decide(0, form, &orders[number]).await);
            }
        }
        let status = |number: usize| answers[number].as_ref().unwrap().status;
        let copy_of = [5, 3, 4];
        let confirmed = (0..3).filter(|side| status(*side) == 200 || status(copy_of[*side]) == 200);
        let confirmed: Vec<usize> = confirmed.collect();
        assert_eq!(confirmed.len(), 1, "round {round}: {answers:#?}");
        let winner = confirmed[0];
        assert_eq!(status(winner), status(copy_of[winner]), "{answers:#?}");
        for manifest in controls.read_all().await {
            let text = manifest.to_string();
            for (side, mark) in marks.iter().enumerate() {
                let is_in_force = text.contains(&format!("/{mark}/"));
                assert_eq!(is_in_force, side == winner, "round {round} {mark}: {text}");
            }
        }
        version += step(u64::try_from(winner).unwrap());
    }
}
