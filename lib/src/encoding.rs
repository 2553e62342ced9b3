//! Postcard encoding with a leading byte for the format version.
//!
//! Data that is stored on disk or passed between processes of different releases starts with
//! the number of its format, so that an unknown format gives a typed error rather than a wrong
//! value.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

/// A value could not be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EncodingError {
    /// The encoder failed.
    #[snafu(display("the value cannot be encoded"))]
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
    /// There are no bytes, not even the format.
    #[snafu(display("the encoded value is empty"))]
    Empty,
    /// The format is not the one that was asked for.
    #[snafu(display("format {found} is unknown; this release reads format {known}"))]
    UnknownFormat {
        /// Format byte of the encoded value.
        found: u8,
        /// The only format that can be decoded.
        known: u8,
    },
    /// The bytes after the format byte are not a valid encoding.
    #[snafu(display("the encoded value is malformed"))]
    Decode {
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// There are bytes left after the value.
    #[snafu(display("{count} bytes follow the encoded value"))]
    TrailingBytes {
        /// Number of bytes after the value.
        count: usize,
    },
}

/// Encodes `value` with the leading byte `format`.
///
/// # Errors
///
/// Returns [`EncodingError::Encode`] if the serialization of the value fails.
pub fn encode<T: Serialize>(format: u8, value: &T) -> Result<Vec<u8>, EncodingError> {
    postcard::to_extend(value, vec![format]).context(EncodeSnafu)
}

/// Decodes a value that [`encode`] encoded with the same format.
///
/// # Errors
///
/// Fails if the format differs, the bytes are malformed, or bytes are left after the value.
pub fn decode<T: DeserializeOwned>(format: u8, encoded: &[u8]) -> Result<T, EncodingError> {
    let (&found, body) = encoded.split_first().context(EmptySnafu)?;
    ensure!(
        found == format,
        UnknownFormatSnafu {
            found,
            known: format
        }
    );
    let (value, rest) = postcard::take_from_bytes(body).context(DecodeSnafu)?;
    ensure!(rest.is_empty(), TrailingBytesSnafu { count: rest.len() });
    Ok(value)
}
