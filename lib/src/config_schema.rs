//! Validation of a syntax tree against the JSON Schema of a type, with positions.
//!
//! Serde stops at the first fault and does not detect duplicate keys of maps. The schema is
//! derived from the same type, so this validation finds every fault of form in one pass without
//! a second list of fields.

use std::collections::HashMap;
use std::net::SocketAddr;

use jsonc_parser::ast::Array;
use jsonc_parser::ast::NumberLit;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::StringLit;
use jsonc_parser::ast::Value as Node;
use jsonc_parser::common::Ranged;
use serde_json::Map;
use serde_json::Value as Json;

use crate::config_document::Document;
use crate::config_fault::Allowed;
use crate::config_fault::ConfigFault;
use crate::config_fault::ConfigProblem;
use crate::config_fault::Kind;
use crate::id::is_name;
use crate::manifest::BlockPrefix;
use crate::nearest_name::nearest_name;

/// Value of the keyword `format` for an IP address with a port.
pub(crate) const SOCKET_ADDRESS_FORMAT: &str = "socket-address";
/// Value of the keyword `format` for a block of addresses.
pub(crate) const BLOCK_PREFIX_FORMAT: &str = "block-prefix";
/// Value of the keyword `format` for a name, see [`is_name`].
pub(crate) const NAME_FORMAT: &str = "name";

/// Returns every fault of form in a document.
pub(crate) fn check(document: &Document<'_>, schema: &Json) -> Vec<ConfigFault> {
    let mut checker = Checker {
        document,
        definitions: schema.get("$defs"),
        faults: Vec::new(),
    };
    checker.value(document.root(), schema);
    checker.faults
}

struct Checker<'a> {
    document: &'a Document<'a>,
    definitions: Option<&'a Json>,
    faults: Vec<ConfigFault>,
}

impl<'a> Checker<'a> {
    fn value(&mut self, node: &Node<'_>, schema: &'a Json) {
        let schema = self.resolved(schema);
        if let Some(forms) = forms(schema, "oneOf") {
            self.variant(node, forms);
            return;
        }
        if let Some(forms) = forms(schema, "anyOf") {
            self.optional(node, forms);
            return;
        }
        let kinds = kinds(schema);
        if kinds.contains(&"null") && node.as_null_keyword().is_some() {
            return;
        }
        match kinds.into_iter().find(|kind| *kind != "null") {
            Some("object") => self.object(node, schema),
            Some("array") => self.array(node, schema),
            Some("integer") => self.integer(node, schema),
            Some("string") => self.text(node, schema),
            Some("boolean") if node.as_boolean_lit().is_none() => {
                self.wrong_kind(node, Allowed::Kind(Kind::Boolean));
            }
            _ => {}
        }
    }

    /// Resolves references. Keywords beside a reference are ignored: bounds are always part of
    /// the type's own schema.
    fn resolved(&self, schema: &'a Json) -> &'a Json {
        let mut schema = schema;
        while let Some(target) = self.target(schema) {
            schema = target;
        }
        schema
    }

    fn target(&self, schema: &Json) -> Option<&'a Json> {
        let reference = schema.get("$ref")?.as_str()?;
        let name = reference.strip_prefix("#/$defs/")?;
        self.definitions?.get(name)
    }

    fn object(&mut self, node: &Node<'_>, schema: &'a Json) {
        let Some(object) = node.as_object() else {
            self.wrong_kind(node, Allowed::Kind(Kind::Object));
            return;
        };
        self.duplicates(object);
        let properties = schema.get("properties").and_then(Json::as_object);
        let others = schema.get("additionalProperties");
        for property in &object.properties {
            let name = property.name.as_str();
            if let Some(field) = properties.and_then(|properties| properties.get(name)) {
                self.value(&property.value, field);
            } else if let Some(schema) = others.filter(|schema| schema.is_object()) {
                self.map_key(property);
                self.value(&property.value, schema);
            } else {
                self.unknown_field(property, properties);
            }
        }
        self.missing_fields(object, schema);
    }

    /// Checks a key of a map. The keys of all maps in settings and manifests are names.
    fn map_key(&mut self, property: &ObjectProp<'_>) {
        let name = property.name.as_str();
        if !is_name(name) {
            self.bad_value(property.start(), format!("\"{name}\""), Allowed::Name);
        }
    }

    fn duplicates(&mut self, object: &Object<'_>) {
        let mut first_offsets: HashMap<&str, usize> = HashMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if let Some(first) = first_offsets.get(name) {
                let problem = ConfigProblem::DuplicateKey {
                    name: name.to_owned(),
                    first_line: self.document.position(*first).line,
                };
                self.fault(property.start(), problem);
            } else {
                first_offsets.insert(name, property.start());
            }
        }
    }

    fn unknown_field(&mut self, property: &ObjectProp<'_>, known: Option<&Map<String, Json>>) {
        let name = property.name.as_str();
        let known: Vec<String> = known.into_iter().flat_map(Map::keys).cloned().collect();
        let nearest = nearest_name(name, known.iter().map(String::as_str));
        let problem = ConfigProblem::UnknownField {
            name: name.to_owned(),
            nearest: nearest.map(str::to_owned),
            known: known.clone(),
        };
        self.fault(property.start(), problem);
    }

    fn missing_fields(&mut self, object: &Object<'_>, schema: &Json) {
        let required = schema.get("required").and_then(Json::as_array);
        let required: Vec<String> = required
            .into_iter()
            .flatten()
            .filter_map(Json::as_str)
            .map(str::to_owned)
            .collect();
        for name in &required {
            if object.get(name).is_none() {
                let problem = ConfigProblem::MissingField {
                    name: name.clone(),
                    required: required.clone(),
                };
                self.fault(object.start(), problem);
            }
        }
    }

    fn array(&mut self, node: &Node<'_>, schema: &'a Json) {
        let Some(array) = node.as_array() else {
            self.wrong_kind(node, Allowed::Kind(Kind::Array));
            return;
        };
        self.element_count(array, schema);
        let Some(items) = schema.get("items") else {
            return;
        };
        for element in &array.elements {
            self.value(element, items);
        }
    }

    fn element_count(&mut self, array: &Array<'_>, schema: &Json) {
        let min = schema.get("minItems").and_then(Json::as_u64).unwrap_or(0);
        if (array.elements.len() as u64) < min {
            let problem = ConfigProblem::TooFew {
                count: array.elements.len(),
                allowed: Allowed::AtLeast(min),
            };
            self.fault(array.start(), problem);
        }
    }

    fn integer(&mut self, node: &Node<'_>, schema: &Json) {
        let allowed = whole_number(schema);
        let Some(number) = node.as_number_lit() else {
            self.wrong_kind(node, allowed);
            return;
        };
        if !number_is_allowed(number, &allowed) {
            self.bad_value(number.start(), number.value.to_owned(), allowed);
        }
    }

    fn text(&mut self, node: &Node<'_>, schema: &Json) {
        let format = schema.get("format").and_then(Json::as_str);
        let min_length = schema.get("minLength").and_then(Json::as_u64).unwrap_or(0);
        let allowed = match format {
            Some(SOCKET_ADDRESS_FORMAT) => Allowed::SocketAddress,
            Some(BLOCK_PREFIX_FORMAT) => Allowed::BlockPrefix,
            Some(NAME_FORMAT) => Allowed::Name,
            _ if min_length > 0 => Allowed::NonEmpty,
            _ => Allowed::Kind(Kind::Text),
        };
        let Some(text) = node.as_string_lit() else {
            self.wrong_kind(node, allowed);
            return;
        };
        if !text_is_allowed(text, &allowed) {
            self.bad_value(text.start(), format!("\"{}\"", text.value), allowed);
        }
    }

    /// Checks a value of an enum: a string that is one of the constants, or an object whose
    /// only key is the name of a variant.
    fn variant(&mut self, node: &Node<'_>, forms: &'a [Json]) {
        let allowed = Allowed::OneOf(forms.iter().map(describe_form).collect());
        if let Some(text) = node.as_string_lit() {
            let value: &str = &text.value;
            if !forms.iter().any(|form| constant(form) == Some(value)) {
                self.bad_value(text.start(), format!("\"{value}\""), allowed);
            }
            return;
        }
        let Some(object) = node.as_object() else {
            self.wrong_kind(node, allowed);
            return;
        };
        let [property] = object.properties.as_slice() else {
            let value = format!("an object with {} keys", object.properties.len());
            self.bad_value(object.start(), value, allowed);
            return;
        };
        let name = property.name.as_str();
        let inner = forms
            .iter()
            .find_map(|form| form.get("properties")?.get(name));
        if let Some(schema) = inner {
            self.value(&property.value, schema);
        } else {
            self.bad_value(property.start(), format!("\"{name}\""), allowed);
        }
    }

    /// Checks a value of a type that may be null.
    fn optional(&mut self, node: &Node<'_>, forms: &'a [Json]) {
        if node.as_null_keyword().is_some() {
            return;
        }
        let inner = forms
            .iter()
            .find(|form| form.get("type").and_then(Json::as_str) != Some("null"));
        if let Some(schema) = inner {
            self.value(node, schema);
        }
    }

    fn wrong_kind(&mut self, node: &Node<'_>, allowed: Allowed) {
        let found = kind(node);
        self.fault(node.start(), ConfigProblem::WrongKind { found, allowed });
    }

    fn bad_value(&mut self, offset: usize, value: String, allowed: Allowed) {
        self.fault(offset, ConfigProblem::BadValue { value, allowed });
    }

    fn fault(&mut self, offset: usize, problem: ConfigProblem) {
        self.faults.push(self.document.fault_at(offset, problem));
    }
}

fn forms<'a>(schema: &'a Json, keyword: &str) -> Option<&'a [Json]> {
    schema.get(keyword)?.as_array().map(Vec::as_slice)
}

/// Returns the JSON types that a schema allows; for an optional value these are two.
fn kinds(schema: &Json) -> Vec<&str> {
    match schema.get("type") {
        Some(Json::Array(kinds)) => kinds.iter().filter_map(Json::as_str).collect(),
        Some(Json::String(kind)) => vec![kind],
        _ => Vec::new(),
    }
}

fn constant(form: &Json) -> Option<&str> {
    form.get("const")?.as_str()
}

fn describe_form(form: &Json) -> String {
    if let Some(constant) = constant(form) {
        return format!("\"{constant}\"");
    }
    let key = form
        .get("properties")
        .and_then(Json::as_object)
        .and_then(|properties| properties.keys().next());
    key.map_or_else(String::new, |key| format!("{{\"{key}\": ..}}"))
}

fn whole_number(schema: &Json) -> Allowed {
    let largest = match schema.get("format").and_then(Json::as_str) {
        Some("uint8") => i128::from(u8::MAX),
        Some("uint16") => i128::from(u16::MAX),
        Some("uint32") => i128::from(u32::MAX),
        _ => i128::from(u64::MAX),
    };
    Allowed::WholeNumber {
        min: bound(schema, "minimum").unwrap_or(0),
        max: bound(schema, "maximum").unwrap_or(largest).min(largest),
    }
}

fn bound(schema: &Json, keyword: &str) -> Option<i128> {
    schema.get(keyword)?.as_u64().map(i128::from)
}

fn number_is_allowed(number: &NumberLit<'_>, allowed: &Allowed) -> bool {
    let Allowed::WholeNumber { min, max } = allowed else {
        return false;
    };
    let parsed: Option<i128> = number.value.parse().ok();
    parsed.is_some_and(|value| (*min..=*max).contains(&value))
}

fn text_is_allowed(text: &StringLit<'_>, allowed: &Allowed) -> bool {
    match allowed {
        Allowed::SocketAddress => text.value.parse::<SocketAddr>().is_ok(),
        Allowed::BlockPrefix => text.value.parse::<BlockPrefix>().is_ok(),
        Allowed::Name => is_name(&text.value),
        Allowed::NonEmpty => !text.value.is_empty(),
        _ => true,
    }
}

const fn kind(node: &Node<'_>) -> Kind {
    match node {
        Node::NullKeyword(_) => Kind::Null,
        Node::BooleanLit(_) => Kind::Boolean,
        Node::NumberLit(_) => Kind::Number,
        Node::StringLit(_) => Kind::Text,
        Node::Array(_) => Kind::Array,
        Node::Object(_) => Kind::Object,
    }
}
