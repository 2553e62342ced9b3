//! Waiting for a condition, in place of assertions on time.

use std::time::Duration;

use snafu::Snafu;
use tokio::time::Instant;
use tokio::time::sleep;

/// Generous: a busy machine delays everything, and nothing is proved by haste.
pub const BOUND: Duration = Duration::from_mins(1);
const POLL: Duration = Duration::from_millis(50);

/// Tells that a condition didn't come true.
#[derive(Debug, Snafu)]
#[snafu(display("still not after {bound:?}: {what}"))]
pub struct NeverTrue {
    /// What was waited for.
    pub what: String,
    /// For how long.
    pub bound: Duration,
}

/// Polls until `condition` gives a value.
///
/// # Errors
///
/// Returns an error if it gives none within [`BOUND`].
pub async fn wait_for<T>(
    what: &str,
    mut condition: impl AsyncFnMut() -> Option<T>,
) -> Result<T, NeverTrue> {
    let begun = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if begun.elapsed() > BOUND {
            return NeverTrueSnafu { what, bound: BOUND }.fail();
        }
        sleep(POLL).await;
    }
}
