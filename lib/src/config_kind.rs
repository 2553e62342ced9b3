//! Detection of the kind of settings or manifest that a text holds, by its fields.

use jsonc_parser::ast::Value;

use crate::config_document::Document;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_path::ConfigPath;

/// Fields that occur in only one kind, and that kind.
const DISTINGUISHING_FIELDS: [(&str, ConfigKind); 6] = [
    ("version", ConfigKind::Manifest),
    ("places", ConfigKind::Manifest),
    ("services", ConfigKind::Manifest),
    ("data_folder", ConfigKind::ControlSettings),
    ("timing", ConfigKind::ControlSettings),
    ("control", ConfigKind::EntrySettings),
];

/// What a text holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigKind {
    /// A manifest.
    Manifest,
    /// Settings of a control replica.
    ControlSettings,
    /// Settings of an entry VM.
    EntrySettings,
    /// Settings of an entry VM that dispatches directly to backend servers. [`config_kind`] does not
    /// recognize them.
    DirectSettings,
}

/// Determines what a text holds by the first field that occurs in only one kind.
///
/// # Errors
///
/// Fails if the text is not valid JSON with comments, or has no such field.
pub fn config_kind(file: &str, text: &str) -> Result<ConfigKind, ConfigFaults> {
    let document = Document::parse(file, text)?;
    if let Some(kind) = distinguished_kind(document.root()) {
        return Ok(kind);
    }
    let distinguishing = DISTINGUISHING_FIELDS
        .iter()
        .map(|(name, _)| (*name).to_owned());
    let problem = ConfigProblem::UnknownKind {
        distinguishing: distinguishing.collect(),
    };
    let fault = document.fault(&ConfigPath::root(), problem);
    Err(ConfigFaults(vec![fault]))
}

fn distinguished_kind(root: &Value<'_>) -> Option<ConfigKind> {
    let properties = &root.as_object()?.properties;
    properties.iter().find_map(|property| {
        let mut distinguishing = DISTINGUISHING_FIELDS.iter();
        let found = distinguishing.find(|(name, _)| *name == property.name.as_str());
        found.map(|(_, kind)| *kind)
    })
}
