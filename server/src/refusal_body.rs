//! Reads the body of a backend server's refusal.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

/// Maximum size of a refusal's body, in bytes, that is read so that the connection can be
/// reused.
const MAX_REFUSAL_BODY: usize = 4_096;

/// Time-out for reading such a body.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Reads the body of a refusal to its end, so that a shed request does not cost a new
/// connection. Returns whether the end was reached, so that the connection can be reused.
pub(crate) async fn read_to_end(body: Incoming) -> bool {
    let body = Limited::new(body, MAX_REFUSAL_BODY);
    let reading = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body.collect());
    matches!(reading.await, Ok(Ok(_)))
}
