//! Parsed settings or manifests in which the position of each value can be looked up.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;

use crate::config_fault::ConfigFault;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_fault::Position;
use crate::config_path::ConfigPath;
use crate::config_path::Step;

/// Allows comments and trailing commas in addition to strict JSON, and nothing else.
pub(crate) const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A text with its syntax tree.
pub(crate) struct Document<'a> {
    file: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
    root: Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses a text; `file` is the name under which faults report it.
    pub(crate) fn parse(file: &'a str, text: &'a str) -> Result<Self, ConfigFaults> {
        let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map_err(|error| syntax_fault(file, &error))?;
        let Some(root) = parsed.value else {
            let position = Position { line: 1, column: 1 };
            return Err(single_fault(file, position, ConfigProblem::Empty));
        };
        Ok(Self {
            file,
            text,
            line_starts: line_starts(text),
            root,
        })
    }

    /// Returns the root of the syntax tree.
    pub(crate) const fn root(&self) -> &Value<'a> {
        &self.root
    }

    /// Creates a fault at a byte offset of the text.
    pub(crate) fn fault_at(&self, offset: usize, problem: ConfigProblem) -> ConfigFault {
        ConfigFault {
            file: self.file.to_owned(),
            position: self.position(offset),
            problem,
        }
    }

    /// Creates a fault at the value or key that a path refers to.
    pub(crate) fn fault(&self, path: &ConfigPath, problem: ConfigProblem) -> ConfigFault {
        self.fault_at(self.offset(path), problem)
    }

    /// Returns the line and column of the value or key that a path refers to.
    pub(crate) fn position_of(&self, path: &ConfigPath) -> Position {
        self.position(self.offset(path))
    }

    /// Converts a byte offset to a line and column.
    pub(crate) fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let line_start = self.line_starts[line - 1];
        Position {
            line,
            column: self.text[line_start..offset].chars().count() + 1,
        }
    }

    /// Returns the byte offset of the value or key that a path refers to. If the text does not
    /// contain it, as with a field that has a default, returns the offset of the innermost
    /// enclosing value that it contains.
    fn offset(&self, path: &ConfigPath) -> usize {
        let mut value = &self.root;
        let last = path.steps().len().saturating_sub(1);
        for (depth, step) in path.steps().iter().enumerate() {
            let next = match step {
                Step::Field(name) => {
                    let Some(property) = property(value, name) else {
                        break;
                    };
                    if depth == last && path.names_key() {
                        return property.start();
                    }
                    Some(&property.value)
                }
                Step::Item(index) => value
                    .as_array()
                    .and_then(|array| array.elements.get(*index)),
            };
            let Some(next) = next else {
                break;
            };
            value = next;
        }
        value.start()
    }
}

fn property<'a, 'b>(value: &'b Value<'a>, name: &str) -> Option<&'b ObjectProp<'a>> {
    value
        .as_object()
        .and_then(|object: &Object| object.get(name))
}

fn line_starts(text: &str) -> Vec<usize> {
    let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
    std::iter::once(0).chain(after_breaks).collect()
}

/// Converts an error of the parser to a fault.
pub(crate) fn syntax_fault(file: &str, error: &ParseError) -> ConfigFaults {
    let position = Position {
        line: error.line_display(),
        column: error.column_display(),
    };
    let message = error.kind().to_string();
    single_fault(file, position, ConfigProblem::Syntax { message })
}

fn single_fault(file: &str, position: Position, problem: ConfigProblem) -> ConfigFaults {
    ConfigFaults(vec![ConfigFault {
        file: file.to_owned(),
        position,
        problem,
    }])
}
