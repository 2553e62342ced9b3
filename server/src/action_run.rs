//! Runs an action at its primary.

use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::action_primary::DispatchPermit;
use heatherring_lib::action_primary::Ended;
use heatherring_lib::action_record::ActionEnd;
use heatherring_lib::action_record::BackupRecord;
use heatherring_lib::action_store::ActionSlot;
use heatherring_lib::outcome::Outcome;
use heatherring_lib::outcome::Unknown;
use heatherring_lib::outcome::UnknownReason;
use http::Response;
use tokio::sync::oneshot;

use crate::action_answer;
use crate::action_answer::Collected;
use crate::action_peer;
use crate::action_task::Verdict;
use crate::answer_body::AnswerBody;
use crate::entry_context::EntryContext;
use crate::request_path;
use crate::request_path::ServiceRequest;

/// Time beyond the deadline for which the end of an action is waited for. The run ends
/// at the deadline by itself, and its own last word may be better than "unknown".
const LAST_WORD: Duration = Duration::from_millis(200);

/// Holds an action that is to be run.
pub struct ActionStart {
    /// Its record.
    pub slot: ActionSlot,
    /// What the backup must record first.
    pub intent: Box<BackupRecord>,
    /// Yields the end.
    pub end: oneshot::Receiver<ActionEnd>,
}

/// Runs an action and returns what its first caller is told.
///
/// The run is a task of its own. If it were a part of the caller's, a caller that goes
/// away would cancel the action half-way, and its resend would find no answer.
pub async fn run(
    cx: &Arc<EntryContext>,
    req: &ServiceRequest,
    start: ActionStart,
) -> Outcome<Response<AnswerBody>> {
    let (large, large_rx) = oneshot::channel();
    let run = Run {
        cx: Arc::clone(cx),
        req: req.clone(),
        slot: start.slot,
        large,
    };
    cx.actions.runs().spawn(run.run(start.intent));
    // A large answer is sent before the end is, so the end alone means that there is none.
    let mut large_rx = large_rx;
    let outcome = wait(cx, req, start.end).await;
    match large_rx.try_recv() {
        Ok(response) => Outcome::Answer(response),
        Err(_) => outcome,
    }
}

/// Waits for the end of an action under way.
pub async fn wait(
    cx: &Arc<EntryContext>,
    req: &ServiceRequest,
    end: oneshot::Receiver<ActionEnd>,
) -> Outcome<Response<AnswerBody>> {
    let until = req.outgoing.deadline.max(cx.now()) + LAST_WORD;
    match tokio::time::timeout_at(until.into(), end).await {
        Ok(Ok(end)) => action_answer::outcome_of(&end),
        Ok(Err(_)) => Unknown::new(UnknownReason::RecordsUnreachable).into(),
        Err(_) => Unknown::new(UnknownReason::DeadlinePassed).into(),
    }
}

struct Run {
    cx: Arc<EntryContext>,
    req: ServiceRequest,
    slot: ActionSlot,
    /// Takes an answer that is too large to be kept.
    large: oneshot::Sender<Response<AnswerBody>>,
}

impl Run {
    async fn run(self, intent: Box<BackupRecord>) {
        let reply = action_peer::record_intent(&self.cx, &intent).await;
        let actions = self.cx.actions.clone();
        let cx = Arc::clone(&self.cx);
        let ended = match actions.backup_replied(self.slot, reply).await {
            Verdict::Dispatch(permit) => self.dispatch(permit).await,
            Verdict::GivenUp(ended) => Some(ended),
            Verdict::Stale => None,
        };
        if let Some(ended) = ended {
            action_peer::record_end(&cx, &ended.record).await;
        }
    }

    async fn dispatch(self, permit: DispatchPermit) -> Option<Ended> {
        let outcome = request_path::run(&self.cx, &self.req, permit.begin()).await;
        let end = match outcome {
            Outcome::Answer(response) => read_answer(response, self.large).await,
            Outcome::NotRun(not_run) => ActionEnd::not_run(not_run),
            Outcome::Unknown(unknown) => ActionEnd::Unknown(unknown.reason()),
        };
        self.cx.actions.ended(self.slot, end).await
    }
}

async fn read_answer(
    response: Response<AnswerBody>,
    large: oneshot::Sender<Response<AnswerBody>>,
) -> ActionEnd {
    match action_answer::collect(response).await {
        Collected::Whole(answer) => ActionEnd::Answer(Arc::new(answer)),
        Collected::TooLarge(response) => {
            // If the caller has gone away, so has the only one who could read it.
            let _ = large.send(response);
            ActionEnd::Unknown(UnknownReason::AnswerTooLarge)
        }
        Collected::Broken => ActionEnd::Unknown(UnknownReason::ConnectionLost),
    }
}
