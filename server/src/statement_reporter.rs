//! Task of an entry VM that reports to control what backend servers state to it.

use std::time::Duration;

use tokio::sync::watch;
use tonic::Code;
use tonic::transport::Channel;

use crate::dispatch_task::DispatchHandle;
use crate::proto::fleet_client::FleetClient;

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a report that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Reports of one entry VM.
#[derive(Debug)]
pub struct StatementReporter {
    /// Knows the statements.
    pub dispatch: DispatchHandle,
    /// Client of the followed replica; `None` while there is none.
    pub replica: watch::Receiver<Option<FleetClient<Channel>>>,
}

impl StatementReporter {
    /// Reports until the process ends. The statements are read again for each report, so that a
    /// repeated one is not outdated. A newly followed replica is sent all of them.
    pub async fn run(mut self) {
        loop {
            let all = tokio::select! {
                () = self.dispatch.reports_due() => false,
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
        let statements = self.dispatch.statements_to_share(all).await;
        if statements.is_empty() {
            return true;
        }
        let Some(request) = statements.request(Vec::new()) else {
            return true;
        };
        let call = tokio::time::timeout(REPORT_TIMEOUT, client.share_limits(request)).await;
        match call {
            Ok(Ok(_)) => self.dispatch.note_shared(statements),
            // A replica of an earlier release.
            Ok(Err(status)) if status.code() == Code::Unimplemented => {}
            _ => return false,
        }
        true
    }
}
