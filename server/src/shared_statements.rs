//! What processes tell each other about what backend servers state.

use heatherring_lib::backend_statement::LeavingStatement;
use heatherring_lib::rate_limit::LimitStatement;

use crate::proto::FollowReply;
use crate::proto::ShareLimitsRequest;

/// Statements of backend servers that all entry VMs have to know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedStatements {
    /// Rate limits.
    pub limits: Vec<LimitStatement>,
    /// Backend servers that are leaving.
    pub leaving: Vec<LeavingStatement>,
}

impl SharedStatements {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty()
    }

    /// Returns the message to a replica; `None` if the statements cannot be encoded.
    #[must_use]
    pub fn request(&self, cluster_id: Vec<u8>) -> Option<ShareLimitsRequest> {
        let (statements_encoded, leaving_encoded) = self.encoded()?;
        Some(ShareLimitsRequest {
            cluster_id,
            statements_encoded,
            leaving_encoded,
        })
    }

    /// Returns the encoded lists of limits and of leaving backend servers, of which the latter is
    /// no bytes if it is empty; `None` if they cannot be encoded.
    #[must_use]
    pub fn encoded(&self) -> Option<(Vec<u8>, Vec<u8>)> {
        let limits = postcard::to_stdvec(&self.limits);
        let leaving = if self.leaving.is_empty() {
            Ok(Vec::new())
        } else {
            postcard::to_stdvec(&self.leaving)
        };
        let encoded = limits.and_then(|limits| Ok((limits, leaving?)));
        if encoded.is_err() {
            log::error!(event = "statements_unencodable"; "cannot encode statements of backend servers");
        }
        encoded.ok()
    }

    /// Reads the message to a replica.
    ///
    /// # Errors
    ///
    /// Fails if a list cannot be decoded.
    pub fn of_request(request: &ShareLimitsRequest) -> Result<Self, postcard::Error> {
        Self::decoded(&request.statements_encoded, &request.leaving_encoded)
    }

    /// Reads the statements of a reply that has news of them.
    ///
    /// # Errors
    ///
    /// Fails if a list cannot be decoded.
    pub fn of_reply(reply: &FollowReply) -> Result<Self, postcard::Error> {
        Self::decoded(&reply.limits_encoded, &reply.leaving_encoded)
    }

    fn decoded(limits: &[u8], leaving: &[u8]) -> Result<Self, postcard::Error> {
        Ok(Self {
            limits: postcard::from_bytes(limits)?,
            // Processes of earlier releases send none.
            leaving: if leaving.is_empty() {
                Vec::new()
            } else {
                postcard::from_bytes(leaving)?
            },
        })
    }
}
