//! What a fake backend server answers, and how a caller checks that the answer is
//! whole and its own.
//!
//! An answer is one line of JSON, [`AnswerHead`], followed by a filler that is derived
//! from the digest of the request. An answer that was cut, mixed with another one or
//! given to the wrong caller can't pass [`check_answer`].

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

/// Carries the caller's nonce to the backend server.
pub const NONCE_HEADER: &str = "x-test-nonce";
/// Carries the place of the caller, for the check of shift caps.
pub const ORIGIN_HEADER: &str = "x-test-origin";
/// Says what became of a request.
pub const OUTCOME_HEADER: &str = "heatherring-outcome";
/// Header by which a backend server states that it is leaving.
pub const LEAVING_HEADER: &str = "heatherring-leaving";
/// Carries the time left for an answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "heatherring-deadline-ms";
/// Identifies a request through all hops.
pub const REQUEST_ID_HEADER: &str = "heatherring-request-id";
/// Carries the key of an action.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The value of [`OUTCOME_HEADER`] with a refusal before anything ran.
pub const NOT_RUN: &str = "not_run";

/// Opens each answer of a fake backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerHead {
    /// The nonce of the request.
    pub nonce: String,
    /// The digest of the request, hex.
    pub digest: String,
    /// The backend server that ran it.
    pub backend: String,
    /// The place of that backend server.
    pub place: String,
    /// Bytes that follow the head's line.
    pub filler_bytes: usize,
}

/// Tells why an answer isn't the whole answer to the request.
#[derive(Debug, Snafu)]
pub enum AnswerError {
    /// The body has no first line.
    #[snafu(display("the answer breaks off before the end of its head"))]
    NoHead,
    /// The first line is no head.
    #[snafu(display("the answer's head doesn't parse"))]
    Head {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The answer belongs to another request.
    #[snafu(display("the answer belongs to nonce {found}, expected {expected}"))]
    OtherNonce {
        /// The nonce that was sent.
        expected: String,
        /// The nonce that came back.
        found: String,
    },
    /// The backend server was asked something else than the caller sent.
    #[snafu(display("the backend server was asked {found}, the caller sent {expected}"))]
    OtherDigest {
        /// The digest of what was sent.
        expected: String,
        /// The digest of what arrived.
        found: String,
    },
    /// The filler is too short, too long or another request's.
    #[snafu(display("the filler of {found} bytes isn't the expected one of {expected} bytes"))]
    Filler {
        /// Bytes that the head promises.
        expected: usize,
        /// Bytes that came.
        found: usize,
    },
}

/// Computes the digest of a request as the backend server sees it, hex.
#[must_use]
pub fn request_digest(method: &str, path: &str, nonce: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), nonce.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

fn filler(digest: &str, bytes: usize) -> Vec<u8> {
    let mut buf = vec![0; bytes];
    blake3::Hasher::new()
        .update(digest.as_bytes())
        .finalize_xof()
        .fill(&mut buf);
    buf
}

/// Builds the body of an answer.
///
/// # Panics
///
/// Panics if the head can't be written as JSON, which its field types exclude.
#[must_use]
pub fn answer_body(head: &AnswerHead) -> Vec<u8> {
    let mut body = serde_json::to_vec(head).expect("a head of strings is writable");
    body.push(b'\n');
    body.extend(filler(&head.digest, head.filler_bytes));
    body
}

/// Checks that `body` is the whole answer to the request with this nonce and digest.
///
/// # Errors
///
/// Returns what is wrong with the answer.
pub fn check_answer(nonce: &str, digest: &str, body: &[u8]) -> Result<AnswerHead, AnswerError> {
    let end = body.iter().position(|byte| *byte == b'\n');
    let end = end.context(NoHeadSnafu)?;
    let head: AnswerHead = serde_json::from_slice(&body[..end]).context(HeadSnafu)?;
    ensure!(
        head.nonce == nonce,
        OtherNonceSnafu {
            expected: nonce,
            found: &head.nonce
        }
    );
    ensure!(
        head.digest == digest,
        OtherDigestSnafu {
            expected: digest,
            found: &head.digest
        }
    );
    let rest = &body[end + 1..];
    ensure!(
        rest == filler(digest, head.filler_bytes),
        FillerSnafu {
            expected: head.filler_bytes,
            found: rest.len()
        }
    );
    Ok(head)
}
