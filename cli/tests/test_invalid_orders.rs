//! Orders that are no valid change of the manifest, over the wire, at every control replica.

mod order_support;

use order_support::Controls;
use order_support::End;
use order_support::FORMS;
use order_support::Form;
use order_support::Plane;
use order_support::REPLICAS;
use order_support::exchange;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// What an order is changed to.
enum Edit {
    Set(&'static str, Value),
    Remove(&'static str),
    /// Changes the text: what is replaced, and by what.
    Replace(&'static str, &'static str),
    Append(&'static str),
    /// Replaces the whole text.
    Text(&'static str),
}

use Edit::Append;
use Edit::Remove;
use Edit::Replace;
use Edit::Set;
use Edit::Text;

/// Orders of one interface: a valid one of each form, and where its parts are.
trait Orders {
    fn body(form: Form, version: u64, base: u64) -> Value;

    /// Returns the place of the items of an order, to which the places of item faults are relative.
    fn items(form: Form) -> &'static str;

    /// Returns faults of items, which both forms may have.
    fn item_faults() -> Vec<(&'static str, Edit)>;

    /// Returns faults of the rest of an order.
    fn faults() -> Vec<(&'static str, Edit)>;

    /// Returns faults that only a patch can have.
    fn patch_faults() -> Vec<(&'static str, Edit)>;
}

struct Own;

struct Platform;

const ROUTE_COLUMNS: [&str; 12] = [
    "name",
    "host",
    "pathPrefix",
    "kind",
    "timeout",
    "goal",
    "priority",
    "service",
    "maxAttempts",
    "sticky",
    "homeRegions",
    "trafficSplit",
];

fn route_table() -> Value {
    json!({"columns": ROUTE_COLUMNS, "rows": [
        ["a", "a.example", "/a/", "unsafe", "2500ms", "0.6s", 1, "s", 2, true, [], null],
        ["b", "a.example", "/b/", "safe", "2s", "500ms", 2, null, 2, false, [],
            [{"service": "s", "weight": 90}, {"service": "t", "weight": 10.5}]],
    ]})
}

/// Returns a table with a further column that has the same value in all rows.
fn with_column(mut table: Value, column: &str, value: &Value) -> Value {
    let added = |list: &mut Value, item: Value| list.as_array_mut().unwrap().push(item);
    added(&mut table["columns"], json!(column));
    for row in table["rows"].as_array_mut().unwrap() {
        added(row, value.clone());
    }
    table
}

fn service_table() -> Value {
    let columns = [
        "name",
        "healthPath",
        "maxConns",
        "protocol",
        "tls",
        "coldStart",
        "coldPerS",
    ];
    json!({"columns": columns, "rows": [
        ["s", "/health", 390, "h1", false, "3s", 7.5],
        ["t", "/health", 390, "h1", false, "3s", 7.5],
    ]})
}

fn limits() -> Value {
    json!({"maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864,
        "headerTimeout": "3000ms", "idleTimeout": "15000ms"})
}

impl Orders for Platform {
    fn body(form: Form, version: u64, base: u64) -> Value {
        let version = format!("r{version}");
        let base = if base == 0 {
            json!(0)
        } else {
            json!(format!("r{base}"))
        };
        match form {
            Form::Whole => json!({"version": version, "routes": route_table(),
                "services": service_table(), "limits": limits(), "baseVersion": base}),
            Form::Patch => json!({"version": version, "upsert": {"routes": route_table(),
                "services": service_table(), "limits": limits()},
                "remove": {"routes": [], "services": []}, "baseVersion": base}),
        }
    }

    fn items(form: Form) -> &'static str {
        match form {
            Form::Whole => "",
            Form::Patch => "/upsert",
        }
    }

    #[rustfmt::skip]
    fn item_faults() -> Vec<(&'static str, Edit)> {
        vec![
            ("unknown service", Set("/routes/rows/0/7", json!("none"))),
            ("service in other case", Set("/routes/rows/0/7", json!("S"))),
            ("empty service", Set("/routes/rows/0/7", json!(""))),
            ("service that is a number", Set("/routes/rows/0/7", json!(5))),
            ("no service", Set("/routes/rows/0/7", json!(null))),
            ("unknown service beside a split", Set("/routes/rows/1/7", json!("none"))),
            ("unknown service in a split", Set("/routes/rows/1/11/1/service", json!("none"))),
            ("unknown service of weight 0", Set("/routes/rows/1/11", json!([{"service": "s", "weight": 1}, {"service": "none", "weight": 0}]))),
            ("empty split", Set("/routes/rows/1/11", json!([]))),
            ("split that is an object", Set("/routes/rows/1/11", json!({"s": 90, "t": 10}))),
            ("negative weight", Set("/routes/rows/1/11/0/weight", json!(-1))),
            ("slightly negative weight", Set("/routes/rows/1/11/1/weight", json!(-0.001))),
            ("weight that is a text", Set("/routes/rows/1/11/0/weight", json!("90"))),
            ("no weight", Remove("/routes/rows/1/11/0/weight")),
            ("part without service", Remove("/routes/rows/1/11/0/service")),
            ("weight beyond all numbers", Replace("10.5", "1e999")),
            ("weight that is no number", Replace("10.5", "NaN")),
            ("infinite weight", Replace("10.5", "Infinity")),
            ("goal a minute above the timeout", Set("/routes/rows/0/5", json!("62500ms"))),
            ("goal above a minute above the timeout", Set("/routes/rows/0/5", json!("900s"))),
            ("negative goal", Set("/routes/rows/0/5", json!("-1s"))),
            ("goal without unit", Set("/routes/rows/0/5", json!("600"))),
            ("goal in another unit", Set("/routes/rows/0/5", json!("1m"))),
            ("goal that is a number", Set("/routes/rows/0/5", json!(600))),
            ("goal that is no number", Set("/routes/rows/0/5", json!("NaNs"))),
            ("infinite timeout", Set("/routes/rows/0/4", json!("infs"))),
            ("timeout that overflows", Set("/routes/rows/0/4", json!("99999999999999999999s"))),
            ("empty timeout", Set("/routes/rows/0/4", json!(""))),
            ("no timeout", Set("/routes/rows/0/4", json!(null))),
            ("timeout of a unit alone", Set("/routes/rows/0/4", json!("ms"))),
            ("no attempts", Set("/routes/rows/0/8", json!(0))),
            ("negative attempts", Set("/routes/rows/0/8", json!(-1))),
            ("attempts with a fraction", Set("/routes/rows/0/8", json!(1.5))),
            ("attempts that overflow", Set("/routes/rows/0/8", json!(4_294_967_296_u64))),
            ("attempts that wrap to one", Set("/routes/rows/0/8", json!(4_294_967_297_u64))),
            ("attempts that are a text", Set("/routes/rows/0/8", json!("2"))),
            ("attempts left out", Set("/routes/rows/0/8", json!(null))),
            ("unknown kind", Set("/routes/rows/0/3", json!("often"))),
            ("kind in capitals", Set("/routes/rows/0/3", json!("SAFE"))),
            ("empty kind", Set("/routes/rows/0/3", json!(""))),
            ("no kind", Set("/routes/rows/0/3", json!(null))),
            ("negative priority", Set("/routes/rows/0/6", json!(-1))),
            ("no priority", Set("/routes/rows/0/6", json!(null))),
            ("empty prefix", Set("/routes/rows/0/2", json!(""))),
            ("prefix without first slash", Set("/routes/rows/0/2", json!("a/"))),
            ("prefix without last slash", Set("/routes/rows/0/2", json!("/a"))),
            ("no prefix", Set("/routes/rows/0/2", json!(null))),
            ("empty host", Set("/routes/rows/0/1", json!(""))),
            ("no host", Set("/routes/rows/0/1", json!(null))),
            ("host that is a number", Set("/routes/rows/0/1", json!(7))),
            ("no route name", Set("/routes/rows/0/0", json!(null))),
            ("route twice", Set("/routes/rows/1/0", json!("a"))),
            ("stickiness that is a text", Set("/routes/rows/0/9", json!("yes"))),
            ("homes that are a text", Set("/routes/rows/0/10", json!("x"))),
            ("route row that is short", Remove("/routes/rows/0/11")),
            ("route row that is long", Set("/routes/rows/0", json!(["a", "a.example", "/a/", "unsafe", "2500ms", "0.6s", 1, "s", 2, true, [], null, 1]))),
            ("route row that is an object", Set("/routes/rows/0", json!({"name": "a"}))),
            ("columns left out", Remove("/routes/columns")),
            ("rows left out", Remove("/routes/rows")),
            ("column twice", Set("/routes", with_column(route_table(), "priority", &json!(2)))),
            ("column that is a number", Set("/routes/columns/10", json!(4))),
            ("required column under another name", Set("/routes/columns/8", json!("maxTries"))),
            ("service twice", Set("/services/rows/1/0", json!("s"))),
            ("negative connections", Set("/services/rows/0/2", json!(-1))),
            ("cold rate that is a text", Set("/services/rows/0/6", json!("7.5"))),
            ("service row that is short", Remove("/services/rows/0/6")),
            ("limits without one", Remove("/limits/idleTimeout")),
            ("negative limit", Set("/limits/maxBodyBytes", json!(-1))),
            ("limit of time without unit", Set("/limits/headerTimeout", json!("3000"))),
        ]
    }

    #[rustfmt::skip]
    fn faults() -> Vec<(&'static str, Edit)> {
        vec![
            ("no version", Remove("/version")),
            ("first version", Set("/version", json!("r1"))),
            ("version without letter", Set("/version", json!("99"))),
            ("version that is a number", Set("/version", json!(99))),
            ("letter alone", Set("/version", json!("r"))),
            ("version with a sign", Set("/version", json!("r+99"))),
            ("negative version", Set("/version", json!("r-99"))),
            ("version with a fraction", Set("/version", json!("r99.5"))),
            ("version after a space", Set("/version", json!(" r99"))),
            ("version that overflows", Set("/version", json!("r18446744073709551616"))),
            ("base of another version", Set("/baseVersion", json!("r1"))),
            ("base that is not in force yet", Set("/baseVersion", json!("r98"))),
            ("base left out", Remove("/baseVersion")),
            ("base that is a number", Set("/baseVersion", json!(7))),
            ("base that is a list", Set("/baseVersion", json!(["r2"]))),
        ]
    }

    fn patch_faults() -> Vec<(&'static str, Edit)> {
        vec![
            (
                "removal of a service in use",
                Set(
                    "",
                    json!({"version": "NEW", "baseVersion": "BASE", "remove": {"services": ["t"]}}),
                ),
            ),
            (
                "removal that is a text",
                Set("/remove/routes", json!("route")),
            ),
            ("upsert that is a list", Set("/upsert", json!([[]]))),
            (
                "route of a service that is removed",
                Set(
                    "",
                    json!({"version": "NEW", "baseVersion": "BASE",
                        "upsert": {"routes": route_table()}, "remove": {"services": ["s"]}}),
                ),
            ),
        ]
    }
}

fn span(secs: u64) -> Value {
    json!({"secs": secs, "nanos": 0})
}

fn own_route(prefix: &str, target: &Value) -> Value {
    json!({
        "host": "a.example", "prefix": prefix, "idempotent": true, "timeout": span(2),
        "latency_objective": span(1), "priority": 0, "target": target,
        "max_attempts": 2, "affinity": false, "home_regions": [],
    })
}

fn own_service() -> Value {
    json!({"health_path": "/health", "max_connections": 10, "protocol": "h1", "tls": false,
        "cold_start": span(1), "cold_rate": 10.5})
}

impl Orders for Own {
    fn body(form: Form, version: u64, base: u64) -> Value {
        let split = json!({"Split": [{"service": "s", "weight": 90.0},
            {"service": "t", "weight": 10.25}]});
        let routes = json!({"a": own_route("/a/", &json!({"Service": "s"})),
            "b": own_route("/b/", &split)});
        let services = json!({"s": own_service(), "t": own_service()});
        let limits = json!({"max_header_bytes": 16384, "max_body_bytes": 1_048_576,
            "header_timeout": span(5), "idle_timeout": span(60)});
        let content = match form {
            Form::Whole => {
                json!({"Whole": {"routes": routes, "services": services, "limits": limits}})
            }
            Form::Patch => json!({"Patch": {"routes": routes, "services": services,
                "limits": limits, "removed_routes": [], "removed_services": []}}),
        };
        json!({"version": version, "base": base, "content": content})
    }

    fn items(form: Form) -> &'static str {
        match form {
            Form::Whole => "/content/Whole",
            Form::Patch => "/content/Patch",
        }
    }

    #[rustfmt::skip]
    fn item_faults() -> Vec<(&'static str, Edit)> {
        vec![
            ("unknown service", Set("/routes/a/target", json!({"Service": "none"}))),
            ("empty service", Set("/routes/a/target", json!({"Service": ""}))),
            ("two targets", Set("/routes/a/target", json!({"Service": "s", "Split": []}))),
            ("no target", Remove("/routes/a/target")),
            ("unknown target", Set("/routes/a/target", json!({"Mirror": "s"}))),
            ("empty split", Set("/routes/a/target", json!({"Split": []}))),
            ("unknown service in a split", Set("/routes/b/target/Split/1/service", json!("none"))),
            ("negative weight", Set("/routes/b/target/Split/1/weight", json!(-0.5))),
            ("no weight", Remove("/routes/b/target/Split/1/weight")),
            ("weight beyond all numbers", Replace("10.25", "1e999")),
            ("weight that is no number", Replace("10.25", "NaN")),
            ("objective a minute above the timeout", Set("/routes/a/latency_objective", span(62))),
            ("timeout that overflows a clock", Set("/routes/a/timeout", span(u64::MAX))),
            ("timeout that overflows", Set("/routes/a/timeout", json!({"secs": u64::MAX, "nanos": 1_000_000_000}))),
            ("negative timeout", Set("/routes/a/timeout", json!({"secs": -1, "nanos": 0}))),
            ("timeout that is a text", Set("/routes/a/timeout", json!("2s"))),
            ("no attempts", Set("/routes/a/max_attempts", json!(0))),
            ("attempts that overflow", Set("/routes/a/max_attempts", json!(4_294_967_297_u64))),
            ("empty prefix", Set("/routes/a/prefix", json!(""))),
            ("prefix without last slash", Set("/routes/a/prefix", json!("/a"))),
            ("prefix without first slash", Set("/routes/a/prefix", json!("a/"))),
            ("empty host", Set("/routes/a/host", json!(""))),
            ("no host", Remove("/routes/a/host")),
            ("no idempotence", Remove("/routes/a/idempotent")),
            ("idempotence that is a text", Set("/routes/a/idempotent", json!("true"))),
            ("route that is no object", Set("/routes/a", json!(1))),
            ("cold start that overflows a clock", Set("/services/s/cold_start", span(u64::MAX))),
            ("field of a route twice", Replace("\"priority\":0", "\"priority\":0,\"priority\":0")),
            ("route twice", Replace("\"routes\":{", "\"routes\":{\"a\":{\"host\":\"z.example\",\"prefix\":\"/z/\",\"idempotent\":true,\"timeout\":{\"secs\":2,\"nanos\":0},\"latency_objective\":{\"secs\":1,\"nanos\":0},\"priority\":1,\"target\":{\"Service\":\"s\"},\"max_attempts\":2,\"affinity\":false,\"home_regions\":[]},")),
            ("no routes", Remove("/routes")),
            ("no services", Remove("/services")),
            ("limits without one", Remove("/limits/idle_timeout")),
            ("limit that overflows a clock", Set("/limits/idle_timeout", span(u64::MAX))),
            ("unknown key beside the items", Set("/route", json!({}))),
            ("unknown key of a route", Set("/routes/a/max_attempt", json!(2))),
            ("unknown key of a target", Set("/routes/b/target/Split/0/share", json!(1))),
            ("unknown key of a time", Set("/routes/a/timeout/millis", json!(1))),
            ("unknown key of a service", Set("/services/s/cold_rates", json!(1))),
            ("unknown key of the limits", Set("/limits/idle", span(1))),
            ("split without any weight", Set("/routes/b/target", json!({"Split": [{"service": "s", "weight": 0}, {"service": "t", "weight": 0.0}]}))),
        ]
    }

    #[rustfmt::skip]
    fn faults() -> Vec<(&'static str, Edit)> {
        vec![
            ("no version", Remove("/version")),
            ("first version", Set("/version", json!(1))),
            ("version that is a text", Set("/version", json!("99"))),
            ("negative version", Set("/version", json!(-1))),
            ("no base", Remove("/base")),
            ("base of another version", Set("/base", json!(1))),
            ("base that is not in force yet", Set("/base", json!(98))),
            ("no content", Remove("/content")),
            ("version twice", Replace("\"version\":", "\"version\":4000,\"version\":")),
            ("teams that are a list", Set("/teams", json!([1]))),
            ("unknown key", Set("/bulk_route", json!(["a"]))),
            ("unknown key of the content", Set("/content/Other", json!({}))),
            ("unknown key of the teams", Set("/teams", json!({"teams": {}, "public": ["a"]}))),
            ("unknown key of a team", Set("/teams", json!({"teams": {"t": {"keys": ["k"], "rates": 1}}}))),
        ]
    }

    fn patch_faults() -> Vec<(&'static str, Edit)> {
        vec![
            (
                "removal of a service in use",
                Set(
                    "/content",
                    json!({"Patch": {"routes": {}, "services": {}, "limits": null,
                    "removed_routes": [], "removed_services": ["t"]}}),
                ),
            ),
            ("no removals", Remove("/content/Patch/removed_routes")),
        ]
    }
}

/// Faults of the text, whatever it describes.
fn text_faults() -> Vec<(&'static str, Edit)> {
    vec![
        ("nothing", Text("")),
        ("a space", Text(" ")),
        ("null", Text("null")),
        ("an empty object", Text("{}")),
        ("an empty list", Text("[]")),
        ("no JSON", Text("version: r99")),
        ("letter behind it", Append("x")),
        ("bracket behind it", Append("}")),
        ("another value behind it", Append("{}")),
        ("NUL behind it", Append("\0")),
        ("byte order mark before it", Replace("{\"", "\u{feff}{\"")),
        ("comment", Replace("{\"", "/**/{\"")),
    ]
}

/// Returns the order with an edit; `items` is the place to which pointers are relative.
fn edited(order: &Value, items: &str, edit: &Edit) -> String {
    let mut order = order.clone();
    match edit {
        Set("", value) => {
            let text = value.to_string();
            let text = text.replace("\"NEW\"", &order["version"].to_string());
            return text.replace("\"BASE\"", &order["baseVersion"].to_string());
        }
        Set(place, value) => {
            let place = format!("{items}{place}");
            if let Some(part) = order.pointer_mut(&place) {
                *part = value.clone();
            } else {
                let (parent, key) = place.rsplit_once('/').unwrap();
                order.pointer_mut(parent).unwrap()[key] = value.clone();
            }
        }
        Remove(place) => {
            let place = format!("{items}{place}");
            let (parent, key) = place.rsplit_once('/').unwrap();
            match order.pointer_mut(parent).unwrap() {
                Value::Array(parts) => {
                    parts.remove(key.parse().unwrap());
                }
                Value::Object(fields) => {
                    fields.remove(key).unwrap();
                }
                _ => panic!("{place} has no parts"),
            }
        }
        Replace(from, to) => return order.to_string().replacen(from, to, 1),
        Append(text) => return format!("{order}{text}"),
        Text(text) => return (*text).to_owned(),
    }
    order.to_string()
}

/// Returns all faulty orders of a form, by the names of their faults.
fn faulty<O: Orders>(form: Form, version: u64, base: u64) -> Vec<(&'static str, String)> {
    let valid = O::body(form, version, base);
    let with = |faults: Vec<(&'static str, Edit)>, items: &'static str| {
        let valid = valid.clone();
        let edited = move |(name, edit)| (name, edited(&valid, items, &edit));
        faults.into_iter().map(edited).collect::<Vec<_>>()
    };
    let mut orders = with(O::item_faults(), O::items(form));
    orders.extend(with(O::faults(), ""));
    orders.extend(with(text_faults(), ""));
    if form == Form::Patch {
        orders.extend(with(O::patch_faults(), ""));
    }
    let present = valid.to_string();
    for (name, order) in &orders {
        assert_ne!(*order, present, "{name} changes nothing");
    }
    orders
}

/// Returns whether an operator ends a call upon this status at once.
const fn is_final(status: u16) -> bool {
    matches!(status, 400 | 409 | 412 | 413 | 422)
}

/// Sends a valid order of each form, so that what follows isn't refused for another reason.
/// Returns the version in force.
async fn advance<O: Orders>(controls: &Controls, mut version: u64) -> u64 {
    for (number, form) in FORMS.into_iter().enumerate() {
        let body = O::body(form, version + 1, version).to_string();
        let answer = controls.decide(number + 1, form, &body).await;
        assert_eq!(answer.status, 200, "{form:?} {version}: {answer:?}");
        version += 1;
    }
    version
}

/// Returns the version of a manifest that was read back.
fn version_of(manifest: &Value) -> u64 {
    let version = &manifest["version"];
    let digits = version.as_str().map(|text| text.trim_start_matches('r'));
    let number = digits.map_or(version.as_u64(), |digits| digits.parse().ok());
    number.unwrap()
}

async fn check_faulty<O: Orders>(plane: Plane) {
    let controls = Controls::start(plane);
    let mut version = advance::<O>(&controls, 0).await;
    let mut wrong = Vec::new();
    for form in FORMS {
        let mut before = controls.read_all().await;
        for index in 0..faulty::<O>(form, version + 1, version).len() {
            let (name, body) = faulty::<O>(form, version + 1, version).swap_remove(index);
            for number in 0..REPLICAS {
                let answer = controls.decide(number, form, &body).await;
                if !is_final(answer.status) {
                    wrong.push(format!("{form:?} with {name}: {answer:?} from {number}"));
                }
            }
            let after = controls.read_all().await;
            if after != before {
                wrong.push(format!("{form:?} with {name}: in force"));
                version = version_of(&after[0]);
                before = after;
            }
        }
        version = advance::<O>(&controls, version).await;
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against an invalid manifest that is confirmed or in force, at the leader or through a
/// replica that passes it on.
#[rstest]
#[case::own(Plane::Own)]
#[case::platform(Plane::Platform)]
#[tokio::test(flavor = "multi_thread")]
async fn test_invalid_orders_change_nothing(#[case] plane: Plane) {
    match plane {
        Plane::Own => check_faulty::<Own>(plane).await,
        Plane::Platform => check_faulty::<Platform>(plane).await,
    }
}

/// Returns the bytes of an order that is cut off, by how it is framed. Each of them is a valid
/// order up to the cut, or would be one if what came were all.
fn cut_orders(plane: Plane, form: Form, body: &str) -> Vec<(String, Vec<u8>)> {
    let mut orders = Vec::new();
    let whole = plane.change_text(form, body);
    let step = whole.len() / 24;
    let cuts = (0..whole.len())
        .step_by(step)
        .chain(whole.len() - 3..whole.len());
    for cut in cuts {
        orders.push((
            format!("after {cut} bytes"),
            whole.as_bytes()[..cut].to_vec(),
        ));
    }
    let length = body.len() + 1;
    let head = plane.change_head(form, &format!("content-length: {length}"));
    orders.push((
        "whole JSON, a byte missing".into(),
        format!("{head}{body}").into(),
    ));
    let head = plane.change_head(form, "transfer-encoding: chunked");
    let chunk = format!("{head}{:x}\r\n{body}\r\n", body.len());
    for end in ["", "0", "0\r\n", "1\r\n"] {
        let name = format!("chunked, {end:?} at the end");
        orders.push((name, format!("{chunk}{end}").into()));
    }
    let half = body.len() / 2;
    let (first, second) = body.split_at(half);
    let shorter = second.len() - 1;
    let chunks = format!("{head}{half:x}\r\n{first}\r\n{:x}\r\n", second.len());
    orders.push((
        "chunk cut off".into(),
        format!("{chunks}{}", &second[..shorter]).into(),
    ));
    let head = plane.change_head(form, "");
    let head = head.replacen("\r\n\r\n\r\n", "\r\n\r\n", 1);
    orders.push(("no framing".into(), format!("{head}{body}").into()));
    let head = plane.change_head(form, &format!("content-length: {}", body.len() - 1));
    orders.push(("length too short".into(), format!("{head}{body}").into()));
    let head = plane.change_head(form, "content-length: 0");
    orders.push(("length 0".into(), format!("{head}{body}").into()));
    orders
}

async fn check_cut<O: Orders>(plane: Plane, end: End) {
    let controls = Controls::start(plane);
    let mut version = advance::<O>(&controls, 0).await;
    let mut wrong = Vec::new();
    for form in FORMS {
        let before = controls.read_all().await;
        let body = O::body(form, version + 1, version).to_string();
        for (name, bytes) in cut_orders(plane, form, &body) {
            for number in 0..REPLICAS {
                let answer = exchange(controls.address(number), &bytes, end);
                if answer
                    .as_ref()
                    .is_some_and(|answer| !is_final(answer.status))
                {
                    wrong.push(format!("{form:?} {name}: {answer:?} from {number}"));
                }
            }
            let after = controls.read_all().await;
            assert_eq!(after, before, "{form:?} {name}: in force; {wrong:#?}");
        }
        version = advance::<O>(&controls, version).await;
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a manifest that is confirmed or in force although its sender broke off before its
/// end, also where what came is complete by itself.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn test_invalid_orders_cut_off_change_nothing(
    #[values(Plane::Own, Plane::Platform)] plane: Plane,
    #[values(End::HalfClosed, End::Closed, End::Reset)] end: End,
) {
    match plane {
        Plane::Own => check_cut::<Own>(plane, end).await,
        Plane::Platform => check_cut::<Platform>(plane, end).await,
    }
}
