//! Parsing of JSON with comments into typed values.

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;

use crate::config_document::Document;
use crate::config_document::PARSE_OPTIONS;
use crate::config_document::syntax_fault;
use crate::config_fault::ConfigFault;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_path::ConfigPath;
use crate::config_schema;

/// A problem and the path of the value that has it.
pub type LocatedProblem = (ConfigPath, ConfigProblem);

/// Returns the JSON Schema of a type.
#[must_use]
pub fn schema_of<T: JsonSchema>() -> Json {
    schemars::schema_for!(T).to_value()
}

/// Parses and checks a text; `file` is the name under which faults report it.
///
/// `check` finds problems that concern several values together. It runs only if the text
/// satisfies the schema of the type.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column, in the order of the
/// text. If there are faults of form, those that `check` would find are not reported.
pub fn read<T>(
    file: &str,
    text: &str,
    check: impl FnOnce(&T) -> Vec<LocatedProblem>,
) -> Result<T, ConfigFaults>
where
    T: DeserializeOwned + JsonSchema,
{
    let document = Document::parse(file, text)?;
    fail_if_any(config_schema::check(&document, &schema_of::<T>()))?;
    let value = jsonc_parser::parse_to_serde_value(text, &PARSE_OPTIONS)
        .map_err(|error| syntax_fault(file, &error))?;
    let problems = check(&value).into_iter();
    fail_if_any(
        problems
            .map(|(path, problem)| document.fault(&path, problem))
            .collect(),
    )?;
    Ok(value)
}

/// Returns `file:line:column` of the value that a path refers to, in a text that was parsed
/// before.
///
/// Some faults, such as a port that is in use, are detected only when a value is used, and
/// are reported at the value as well. For a text that does not parse, only the file is returned.
#[must_use]
pub fn position_of(file: &str, text: &str, path: &ConfigPath) -> String {
    let Ok(document) = Document::parse(file, text) else {
        return file.to_owned();
    };
    let position = document.position_of(path);
    format!("{file}:{}:{}", position.line, position.column)
}

fn fail_if_any(mut faults: Vec<ConfigFault>) -> Result<(), ConfigFaults> {
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort_by_key(|fault| fault.position);
    Err(ConfigFaults(faults))
}
