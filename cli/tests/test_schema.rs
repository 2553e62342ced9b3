//! The committed JSON Schemas are those of the types.

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
    let ran = run(Path::new("."), &["schema", kind]);
    assert!(
        committed == ran.stdout,
        "write it anew with `heatherring schema {kind} > {name}`"
    );
}

/// Collects the names of all fields that a schema describes.
fn fields(schema: &Value, names: &mut Vec<String>) {
    match schema {
        Value::Array(schemas) => schemas.iter().for_each(|schema| fields(schema, names)),
        Value::Object(entries) => {
            if let Some(Value::Object(properties)) = entries.get("properties") {
                names.extend(properties.keys().cloned());
            }
            entries.values().for_each(|schema| fields(schema, names));
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
    let ran = run(Path::new("."), &["schema", kind]);
    let schema = serde_json::from_str(&ran.stdout).unwrap();
    let mut names = Vec::new();
    fields(&schema, &mut names);
    let page = fs::read_to_string(repository_file(page)).unwrap();
    let unlisted: Vec<&String> = names.iter().filter(|name| !page.contains(*name)).collect();
    assert_eq!(unlisted, Vec::<&String>::new());
}
