//! Tests that the schemas use only keywords that the validation supports.
//!
//! With any other keyword, a text that violates the published schema would be accepted.

use std::collections::BTreeSet;

use heatherring_lib::config_text::schema_of;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::EntrySettings;
use rstest::rstest;
use serde_json::Value;

/// Keywords that the validation checks, and annotations, which need no check.
const KNOWN: [&str; 19] = [
    "$defs",
    "$ref",
    "$schema",
    "additionalProperties",
    "anyOf",
    "const",
    "default",
    "description",
    "format",
    "items",
    "maximum",
    "minItems",
    "minLength",
    "minimum",
    "oneOf",
    "properties",
    "required",
    "title",
    "type",
];

/// Collects the keywords of a schema, leaving out the names of fields and types.
fn collect<'a>(schema: &'a Value, keywords: &mut BTreeSet<&'a str>) {
    match schema {
        Value::Array(schemas) => schemas.iter().for_each(|schema| collect(schema, keywords)),
        Value::Object(entries) => {
            for (keyword, value) in entries {
                keywords.insert(keyword);
                match keyword.as_str() {
                    "properties" | "$defs" => {
                        let named = value.as_object().unwrap().values();
                        named.for_each(|schema| collect(schema, keywords));
                    }
                    "default" => {}
                    _ => collect(value, keywords),
                }
            }
        }
        _ => {}
    }
}

#[rstest]
#[case(schema_of::<Manifest>())]
#[case(schema_of::<ControlSettings>())]
#[case(schema_of::<EntrySettings>())]
fn test_config_schema_has_only_known_keywords(#[case] schema: Value) {
    let mut keywords = BTreeSet::new();
    collect(&schema, &mut keywords);
    let unknown: Vec<&str> = keywords
        .into_iter()
        .filter(|keyword| !KNOWN.contains(keyword))
        .collect();
    assert_eq!(unknown, Vec::<&str>::new());
}
