//! Reads JSON with comments into typed values.

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

/// Ties a problem to the value that has it.
pub type LocatedProblem = (ConfigPath, ConfigProblem);

/// Returns the JSON Schema of a type.
#[must_use]
pub fn schema_of<T: JsonSchema>() -> Json {
    schemars::schema_for!(T).to_value()
}

/// Reads a value and checks it; `file` names the text in faults.
///
/// `check` looks at values together. It sees only a value whose form is right.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column, in the order of
/// the text. Faults of form hide those that `check` would find.
pub fn read<T>(
    file: &str,
    text: &str,
    check: impl FnOnce(&T) -> Vec<LocatedProblem>,
) -> Result<T, ConfigFaults>
where
    T: DeserializeOwned + JsonSchema,
{
    let document = Document::parse(file, text)?;
    faultless(config_schema::check(&document, &schema_of::<T>()))?;
    let value = jsonc_parser::parse_to_serde_value(text, &PARSE_OPTIONS)
        .map_err(|error| syntax_fault(file, &error))?;
    let problems = check(&value).into_iter();
    faultless(
        problems
            .map(|(path, problem)| document.fault(&path, problem))
            .collect(),
    )?;
    Ok(value)
}

/// Returns `file:line:column` of what a path names in a text that was read before.
///
/// Some faults show only when a value is used, such as a port that is in use; they are
/// reported at the value all the same. A text that doesn't parse gives the file alone.
#[must_use]
pub fn position_of(file: &str, text: &str, path: &ConfigPath) -> String {
    let Ok(document) = Document::parse(file, text) else {
        return file.to_owned();
    };
    let position = document.position_of(path);
    format!("{file}:{}:{}", position.line, position.column)
}

fn faultless(mut faults: Vec<ConfigFault>) -> Result<(), ConfigFaults> {
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort_by_key(|fault| fault.position);
    Err(ConfigFaults(faults))
}
