//! Tickets, which name the session that may dispatch an action and the session that keeps the
//! second record of it.
//!
//! A look-up gives the caller a ticket. The caller appends a random part of its own and sends both
//! as the action's idempotency key, so that every entry VM that receives a resend learns from the
//! key alone which sessions to ask.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::id::ClusterId;
use crate::id::RegionName;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::id::VmName;

/// Maximum length of a ticket's text, in bytes.
pub const MAX_TICKET_BYTES: usize = 1_024;

/// Maximum validity of a ticket, in milliseconds. Processes keep records for as long, and reject a
/// ticket that expires much later as faulty.
pub const MAX_TICKET_MS: u32 = 10 * 60 * 1_000;

const TAG_BYTES: usize = 16;
const TAG_CONTEXT: &str = "heatherring 2026 ticket tag v1";

/// Identifies one incarnation of an entry VM's process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TicketSession {
    /// The session.
    pub session: SessionId,
    /// VM of the session, for reports only.
    pub vm: VmName,
}

/// The content of a ticket.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TicketClaims {
    /// Service that the ticket was issued for.
    pub service: ServiceName,
    /// Region of both sessions.
    pub region: RegionName,
    /// Only session that may dispatch actions with this ticket.
    pub primary: TicketSession,
    /// Session that records each action before it is dispatched.
    pub backup: TicketSession,
    /// Distinguishes tickets; chosen at random by the issuer.
    pub nonce: u64,
    /// Expiry, in milliseconds since the Unix epoch by the issuer's clock.
    pub expires_unix_ms: u64,
}

/// Key of the integrity tag.
///
/// Each process of a deployment derives it from the cluster identity, which is not a secret among
/// operators. The tag detects tickets that are damaged or from another deployment. Anyone who knows
/// the identity can forge a ticket, but this harms only the forger: a forged ticket names sessions
/// that refuse it or that record the forger's own actions.
#[derive(Clone, Copy, Debug)]
pub struct TicketSecret([u8; blake3::KEY_LEN]);

impl TicketSecret {
    /// Derives the key of a deployment from its cluster identity.
    #[must_use]
    pub fn derive(cluster: ClusterId) -> Self {
        Self(blake3::derive_key(TAG_CONTEXT, &cluster.0))
    }

    fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, content);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// Reason why a text is not a ticket of this deployment.
#[derive(Debug, Snafu)]
pub enum TicketError {
    /// The text is longer than any ticket.
    #[snafu(display("a ticket has at most {MAX_TICKET_BYTES} bytes"))]
    TooLong,
    /// The text is not unpadded URL-safe base64.
    #[snafu(display("a ticket is encoded in URL-safe base64 without padding"))]
    Encoding {
        /// Error of the base64 decoder.
        source: base64::DecodeError,
    },
    /// The tag is missing or wrong: another deployment issued it, or it was damaged.
    #[snafu(display("the ticket was not issued by this deployment, or was damaged"))]
    Tag,
    /// The tag is correct, but the content cannot be decoded.
    #[snafu(display("the ticket was issued by another version"))]
    Content {
        /// Error of the postcard decoder.
        source: postcard::Error,
    },
}

/// A ticket whose tag was computed or verified by this process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ticket {
    claims: TicketClaims,
    text: String,
}

impl Ticket {
    /// Creates a ticket with these claims.
    ///
    /// # Panics
    ///
    /// Never in practice: the claims contain only types that the encoder supports.
    #[must_use]
    pub fn issue(claims: TicketClaims, secret: &TicketSecret) -> Self {
        let mut content = postcard::to_stdvec(&claims).expect("claims are plain data");
        let tag = secret.tag(&content);
        content.extend_from_slice(&tag);
        let text = URL_SAFE_NO_PAD.encode(content);
        Self { claims, text }
    }

    /// Parses a ticket's text and verifies its tag.
    ///
    /// The result depends on the text and the deployment only, never on a clock or a view. So a
    /// text that one process refuses is refused permanently by all of them, which makes such a
    /// refusal a proof of "not run".
    ///
    /// # Errors
    ///
    /// Fails if the text is not a ticket of the deployment of `secret`.
    pub fn parse(text: &str, secret: &TicketSecret) -> Result<Self, TicketError> {
        ensure!(text.len() <= MAX_TICKET_BYTES, TooLongSnafu);
        let bytes = URL_SAFE_NO_PAD.decode(text).context(EncodingSnafu)?;
        let Some((content, tag)) = bytes.split_last_chunk::<TAG_BYTES>() else {
            return TagSnafu.fail();
        };
        ensure!(secret.tag(content) == *tag, TagSnafu);
        let claims = postcard::from_bytes(content).context(ContentSnafu)?;
        let text = text.to_owned();
        Ok(Self { claims, text })
    }

    /// Returns the content of the ticket.
    #[must_use]
    pub const fn claims(&self) -> &TicketClaims {
        &self.claims
    }

    /// Returns the ticket's text, as it is sent to callers.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
