//! Task of an entry VM that reports the rate limits that backend servers declare to it to control.

use std::time::Duration;

use tokio::sync::watch;
use tonic::Code;
use tonic::transport::Channel;

use crate::dispatch_task::DispatchHandle;
use crate::proto::ShareLimitsRequest;
use crate::proto::fleet_client::FleetClient;

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a report that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Reports of one entry VM.
#[derive(Debug)]
pub struct LimitReporter {
    /// Knows the limits.
    pub dispatch: DispatchHandle,
    /// Client of the followed replica; `None` while there is none.
    pub replica: watch::Receiver<Option<FleetClient<Channel>>>,
}

impl LimitReporter {
    /// Reports until the process ends. The statements are read again for each report, so that a
    /// repeated one is not outdated. A newly followed replica is sent all of them.
    pub async fn run(mut self) {
        loop {
            let all = tokio::select! {
                () = self.dispatch.limit_reports_due() => false,
                changed = self.replica.changed() => match changed {
                    Ok(()) => true,
                    Err(_) => return,
                },
            };
            while !self.report(all).await {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Sends the statements that are due, or all; returns whether nothing is left to send.
    async fn report(&self, all: bool) -> bool {
        let Some(mut client) = self.replica.borrow().clone() else {
            // The next replica is sent all.
            return true;
        };
        let statements = self.dispatch.limit_statements(all).await;
        if statements.is_empty() {
            return true;
        }
        let Ok(statements_encoded) = postcard::to_stdvec(&statements) else {
            log::error!(event = "limits_unencodable"; "cannot encode rate limits of backend servers");
            return true;
        };
        let request = ShareLimitsRequest {
            cluster_id: Vec::new(),
            statements_encoded,
        };
        let call = tokio::time::timeout(REPORT_TIMEOUT, client.share_limits(request)).await;
        match call {
            Ok(Ok(_)) => self.dispatch.note_limits_reported(statements),
            // A replica of an earlier release.
            Ok(Err(status)) if status.code() == Code::Unimplemented => {}
            _ => return false,
        }
        true
    }
}
