//! The rest of a backend server's refusal.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

/// Bytes of a refusal's body that are read so that the connection can be used again.
const MAX_REFUSAL_BODY: usize = 4_096;

/// Time for which such a body is waited for.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Reads the rest of a refusal, so that shedding doesn't cost a new connection each.
/// Returns whether it was read to its end, so that the connection can be used again.
pub(crate) async fn read_to_end(body: Incoming) -> bool {
    let body = Limited::new(body, MAX_REFUSAL_BODY);
    let reading = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body.collect());
    matches!(reading.await, Ok(Ok(_)))
}
