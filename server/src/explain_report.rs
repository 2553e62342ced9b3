//! The report that explains an entry VM's decisions to an operator.

use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_record::DecisionRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::entry_context::EntryContext;
use crate::entry_status::DrainStatus;

/// Recent decisions and the state of the planned drains.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExplainReport {
    /// The entry VM that made the decisions.
    pub vm: String,
    /// State of each planned drain.
    pub drains: Vec<DrainStatus>,
    /// Decisions that match the query, newest first.
    pub decisions: Vec<DecisionRecord>,
}

impl ExplainReport {
    /// Builds the report from the entry VM's state.
    pub async fn collect(cx: &EntryContext, filter: DecisionFilter) -> Self {
        let decisions = cx.decisions.recent(filter).await;
        let admission = cx.admission.status().await;
        Self {
            vm: cx.info.vm.as_str().to_owned(),
            drains: admission.drains.iter().map(DrainStatus::of).collect(),
            decisions,
        }
    }
}
