//! Tickets: who may dispatch an action, and who keeps the second record of it.
//!
//! A look-up gives the caller a ticket. The caller appends a random part of its own
//! and sends both as the action's idempotency key, so that each entry VM that gets a
//! resend learns from the key alone whom to ask.

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

/// Bound on a ticket's text, in bytes.
pub const MAX_TICKET_BYTES: usize = 1_024;

/// Longest life of a ticket, in milliseconds. Processes keep records for as long, and
/// take a ticket that expires much later for a fault.
pub const MAX_TICKET_MS: u32 = 10 * 60 * 1_000;

const TAG_BYTES: usize = 16;
const TAG_CONTEXT: &str = "heatherring 2026 ticket tag v1";

/// Names one life of an entry VM's process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TicketSession {
    /// The session.
    pub session: SessionId,
    /// The VM, for reports.
    pub vm: VmName,
}

/// Holds what a ticket states.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TicketClaims {
    /// The service that the ticket was issued for.
    pub service: ServiceName,
    /// The region of both sessions.
    pub region: RegionName,
    /// The only session that may dispatch actions of this ticket.
    pub primary: TicketSession,
    /// The session that records each action before it is dispatched.
    pub backup: TicketSession,
    /// Tells tickets apart; drawn at random by the issuer.
    pub nonce: u64,
    /// When the ticket ends, in milliseconds since the Unix epoch by the issuer's clock.
    pub expires_unix_ms: u64,
}

/// Holds the key of the integrity tag.
///
/// Each process of a deployment derives it from the cluster identity, which isn't a
/// secret among operators. The tag catches damaged and foreign tickets. Whoever knows
/// the identity can forge a ticket, which harms only the forger: a forged ticket
/// names sessions that refuse it or record the forger's own actions.
#[derive(Clone, Copy, Debug)]
pub struct TicketSecret([u8; blake3::KEY_LEN]);

impl TicketSecret {
    /// Derives the key of a deployment.
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

/// Tells why a text is no ticket of this deployment.
#[derive(Debug, Snafu)]
pub enum TicketError {
    /// The text is longer than any ticket.
    #[snafu(display("a ticket has at most {MAX_TICKET_BYTES} bytes"))]
    TooLong,
    /// The text isn't base64 for URLs.
    #[snafu(display("a ticket is written in base64 for URLs, without padding"))]
    Encoding {
        /// What the decoder said.
        source: base64::DecodeError,
    },
    /// The tag is missing or wrong: another deployment issued it, or it was damaged.
    #[snafu(display("the ticket wasn't issued by this deployment, or was damaged"))]
    Tag,
    /// The content under a right tag doesn't decode.
    #[snafu(display("the ticket was issued by another version"))]
    Content {
        /// What the decoder said.
        source: postcard::Error,
    },
}

/// Holds a ticket whose tag was checked or made here.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ticket {
    claims: TicketClaims,
    text: String,
}

impl Ticket {
    /// Issues a ticket.
    ///
    /// # Panics
    ///
    /// Never in practice: the claims hold no type that the encoder can refuse.
    #[must_use]
    pub fn issue(claims: TicketClaims, secret: &TicketSecret) -> Self {
        let mut content = postcard::to_stdvec(&claims).expect("claims are plain data");
        let tag = secret.tag(&content);
        content.extend_from_slice(&tag);
        let text = URL_SAFE_NO_PAD.encode(content);
        Self { claims, text }
    }

    /// Reads a ticket's text and checks its tag.
    ///
    /// The verdict depends on the text and the deployment alone, never on a clock or
    /// a view. So a text that one process refuses is refused by all of them for good,
    /// which makes such a refusal a proof of "not run".
    ///
    /// # Errors
    ///
    /// Fails if the text is no ticket of the deployment of `secret`.
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

    /// Returns what the ticket states.
    #[must_use]
    pub const fn claims(&self) -> &TicketClaims {
        &self.claims
    }

    /// Returns the ticket's text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
