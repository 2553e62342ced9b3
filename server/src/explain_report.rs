//! What an entry VM answers an operator who asks why.

use heatherring_lib::decision_log::DecisionFilter;
use heatherring_lib::decision_record::DecisionRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::entry_context::EntryContext;
use crate::entry_status::DrainStatus;

/// Holds recent decisions, and what becomes of the planned drains.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExplainReport {
    /// The entry VM that decided.
    pub vm: String,
    /// What becomes of each planned drain.
    pub drains: Vec<DrainStatus>,
    /// Decisions that were asked for, the newest first.
    pub decisions: Vec<DecisionRecord>,
}

impl ExplainReport {
    /// Collects what `cx` holds.
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
