//! Postcard encoding behind a format version byte.
//!
//! What is kept on disks or passed between processes of different releases starts
//! with the number of its format, so that an unknown format is a typed error rather
//! than a value that decodes to nonsense.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

/// Tells why a value couldn't be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EncodingError {
    /// The encoder failed.
    #[snafu(display("the value can't be encoded"))]
    Encode {
        /// What the encoder said.
        source: postcard::Error,
    },
    /// There are no bytes.
    #[snafu(display("the encoded value is empty"))]
    Empty,
    /// The format is none that this release knows.
    #[snafu(display("format {found} is unknown; this release reads format {known}"))]
    UnknownFormat {
        /// The format byte found.
        found: u8,
        /// The format that is known.
        known: u8,
    },
    /// The bytes after the format byte don't decode.
    #[snafu(display("the encoded value is malformed"))]
    Decode {
        /// What the decoder said.
        source: postcard::Error,
    },
    /// Bytes follow the value.
    #[snafu(display("{count} bytes follow the encoded value"))]
    TrailingBytes {
        /// Number of bytes after the value.
        count: usize,
    },
}

/// Encodes `value` after the byte `format`.
///
/// # Errors
///
/// Returns [`EncodingError::Encode`] if the value's own serialization fails.
pub fn encode<T: Serialize>(format: u8, value: &T) -> Result<Vec<u8>, EncodingError> {
    postcard::to_extend(value, vec![format]).context(EncodeSnafu)
}

/// Decodes a value that [`encode`] wrote with the same format.
///
/// # Errors
///
/// Returns an error if the format differs, the bytes are malformed or some are left.
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
