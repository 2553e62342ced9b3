//! The committed JSON Schemas match the types and are covered by the docs.

mod common;

use std::fs;
use std::path::Path;

use common::repository_file;
use common::run;
use rstest::rstest;
use serde_json::Value;

#[rstest]
#[case("manifest")]
#[case("control")]
#[case("entry")]
#[case("direct")]
fn test_schema_is_up_to_date(#[case] kind: &str) {
    let name = format!("docs/schema/{kind}.schema.json");
    let committed = fs::read_to_string(repository_file(&name)).unwrap();
    let output = run(Path::new("."), &["schema", kind]);
    assert!(
        committed == output.stdout,
        "{name} is out of date: run `heatherring schema {kind} > {name}`"
    );
}

/// Appends the names of all fields that a schema describes to `names`, nested ones included.
fn collect_fields(schema: &Value, names: &mut Vec<String>) {
    match schema {
        Value::Array(schemas) => schemas
            .iter()
            .for_each(|schema| collect_fields(schema, names)),
        Value::Object(entries) => {
            if let Some(Value::Object(properties)) = entries.get("properties") {
                names.extend(properties.keys().cloned());
            }
            entries
                .values()
                .for_each(|schema| collect_fields(schema, names));
        }
        _ => {}
    }
}

#[rstest]
#[case("manifest", "docs/manifest.md")]
#[case("control", "docs/config.md")]
#[case("entry", "docs/config.md")]
#[case("direct", "docs/config.md")]
fn test_schema_fields_are_in_the_docs(#[case] kind: &str, #[case] page: &str) {
    let output = run(Path::new("."), &["schema", kind]);
    let schema = serde_json::from_str(&output.stdout).unwrap();
    let mut names = Vec::new();
    collect_fields(&schema, &mut names);
    let page = fs::read_to_string(repository_file(page)).unwrap();
    let undocumented: Vec<&String> = names.iter().filter(|name| !page.contains(*name)).collect();
    assert_eq!(undocumented, Vec::<&String>::new());
}
