//! Task of an entry VM that reports to control what it observes of rollouts in progress.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::rollout::observer::RolloutReport;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::dispatch_task::DispatchHandle;
use crate::proto::ObserveRequest;
use crate::proto::fleet_client::FleetClient;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reports of one entry VM.
#[derive(Debug)]
pub struct RolloutReporter {
    /// The view, which says whether a rollout is in progress.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Counts the answers.
    pub dispatch: DispatchHandle,
    /// Client of the followed replica; `None` while there is none.
    pub replica: watch::Receiver<Option<FleetClient<Channel>>>,
}

impl RolloutReporter {
    /// Reports until the process ends.
    pub async fn run(mut self) {
        let mut unsent = BTreeMap::new();
        loop {
            if self.view.wait_for(has_rollout).await.is_err() {
                return;
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
            for report in self.dispatch.take_rollout_reports().await {
                report.merge_into(&mut unsent);
            }
            if self.send(unsent.values()).await {
                unsent.clear();
            }
        }
    }

    /// Sends the reports to the followed replica; returns whether they arrived.
    async fn send(&self, reports: impl Iterator<Item = &RolloutReport>) -> bool {
        let reports: Vec<&RolloutReport> = reports.collect();
        let Some(mut client) = self.replica.borrow().clone() else {
            return false;
        };
        let Ok(reports_encoded) = postcard::to_stdvec(&reports) else {
            log::error!(event = "report_unencodable"; "cannot encode a report on rollouts");
            return true;
        };
        let request = ObserveRequest {
            cluster_id: Vec::new(),
            reports_encoded,
        };
        let call = tokio::time::timeout(REPORT_TIMEOUT, client.observe(request)).await;
        matches!(call, Ok(Ok(_)))
    }
}

fn has_rollout(view: &Arc<FleetView>) -> bool {
    let mut rollouts = view.rollouts.values();
    rollouts.any(|rollout| !rollout.phase.is_over())
}
