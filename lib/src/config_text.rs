//! Reads JSON with comments into typed values.

use jsonc_parser::ParseOptions;
use jsonc_parser::errors::ParseError;
use serde::de::DeserializeOwned;

use crate::config_fault::ConfigFault;
use crate::config_fault::ConfigFaults;
use crate::config_fault::ConfigProblem;
use crate::config_fault::Position;

/// Allows comments and trailing commas beside strict JSON, and nothing else.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
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

/// Reads a value; `file` names the text in faults.
///
/// # Errors
///
/// Returns every fault that was found, each with its line and column.
pub fn read<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, ConfigFaults> {
    jsonc_parser::parse_to_serde_value(text, &PARSE_OPTIONS)
        .map_err(|error| ConfigFaults(vec![syntax_fault(file, &error)]))
}

fn syntax_fault(file: &str, error: &ParseError) -> ConfigFault {
    ConfigFault {
        file: file.to_owned(),
        position: Position {
            line: error.line_display(),
            column: error.column_display(),
        },
        problem: ConfigProblem::Syntax {
            message: error.kind().to_string(),
        },
    }
}
