//! The committed JSON Schemas are those of the types.

mod common;

use std::fs;
use std::path::Path;

use common::repository_file;
use common::run;
use rstest::rstest;

#[rstest]
#[case("manifest")]
#[case("control")]
#[case("entry")]
fn test_schema_is_up_to_date(#[case] kind: &str) {
    let name = format!("docs/schema/{kind}.schema.json");
    let committed = fs::read_to_string(repository_file(&name)).unwrap();
    let ran = run(Path::new("."), &["schema", kind]);
    assert!(
        committed == ran.stdout,
        "write it anew with `heatherring schema {kind} > {name}`"
    );
}
