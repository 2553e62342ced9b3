//! Tells settings and manifests apart by their fields.

use jsonc_parser::ast::Value;

use crate::config_document::Document;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_path::ConfigPath;

/// Fields that only one kind has.
const TELLING_FIELDS: [(&str, ConfigKind); 6] = [
    ("version", ConfigKind::Manifest),
    ("places", ConfigKind::Manifest),
    ("services", ConfigKind::Manifest),
    ("data_folder", ConfigKind::ControlSettings),
    ("timing", ConfigKind::ControlSettings),
    ("control", ConfigKind::EntrySettings),
];

/// Names what a text holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigKind {
    /// A manifest.
    Manifest,
    /// Settings of a control replica.
    ControlSettings,
    /// Settings of an entry VM.
    EntrySettings,
    /// Settings of an entry VM that dispatches directly.
    DirectSettings,
}

/// Tells what a text holds by the first field that only one kind has.
///
/// # Errors
///
/// Fails if the text is no JSON with comments, or has no such field.
pub fn config_kind(file: &str, text: &str) -> Result<ConfigKind, ConfigFaults> {
    let document = Document::parse(file, text)?;
    if let Some(kind) = telling_kind(document.root()) {
        return Ok(kind);
    }
    let telling = TELLING_FIELDS.iter().map(|(name, _)| (*name).to_owned());
    let problem = ConfigProblem::UnknownKind {
        telling: telling.collect(),
    };
    let fault = document.fault(&ConfigPath::root(), problem);
    Err(ConfigFaults(vec![fault]))
}

fn telling_kind(root: &Value<'_>) -> Option<ConfigKind> {
    let properties = &root.as_object()?.properties;
    properties.iter().find_map(|property| {
        let mut telling = TELLING_FIELDS.iter();
        let found = telling.find(|(name, _)| *name == property.name.as_str());
        found.map(|(_, kind)| *kind)
    })
}
