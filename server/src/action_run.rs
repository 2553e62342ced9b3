//! Runs actions at their primary.

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
use crate::action_task::DispatchDecision;
use crate::answer_body::AnswerBody;
use crate::entry_context::EntryContext;
use crate::request_path;
use crate::request_path::ServiceRequest;

/// Time beyond the deadline for which the end of an action is awaited. The run ends at the
/// deadline by itself, and its result may be more definite than "unknown".
const FINAL_RESULT_GRACE: Duration = Duration::from_millis(200);

/// An action to be run.
pub struct ActionStart {
    /// The record of the action.
    pub slot: ActionSlot,
    /// The intent, which the backup must record before the action is dispatched.
    pub intent: Box<BackupRecord>,
    /// Receives the end of the action.
    pub end: oneshot::Receiver<ActionEnd>,
}

/// Runs an action and returns the outcome for its first caller.
///
/// The action runs in a task of its own. As part of the caller's task it would be cancelled
/// half-way when the caller disconnects, and the caller's resend would find no answer.
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
    // An answer too large to store is sent before the end, so once the end has arrived an empty
    // channel means that there is none.
    let mut large_rx = large_rx;
    let outcome = wait(cx, req, start.end).await;
    match large_rx.try_recv() {
        Ok(response) => Outcome::Answer(response),
        Err(_) => outcome,
    }
}

/// Waits for the end of an action that is running.
pub async fn wait(
    cx: &Arc<EntryContext>,
    req: &ServiceRequest,
    end: oneshot::Receiver<ActionEnd>,
) -> Outcome<Response<AnswerBody>> {
    let until = req.outgoing.deadline.max(cx.now()) + FINAL_RESULT_GRACE;
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
    /// Passes on an answer that is too large to be stored.
    large: oneshot::Sender<Response<AnswerBody>>,
}

impl Run {
    async fn run(self, intent: Box<BackupRecord>) {
        let reply = action_peer::record_intent(&self.cx, &intent).await;
        let actions = self.cx.actions.clone();
        let cx = Arc::clone(&self.cx);
        let ended = match actions.backup_replied(self.slot, reply).await {
            DispatchDecision::Dispatch(permit) => self.dispatch(permit).await,
            DispatchDecision::Abandoned(ended) => Some(ended),
            DispatchDecision::Stale => None,
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
        Collected::Complete(answer) => ActionEnd::Answer(Arc::new(answer)),
        Collected::TooLarge(response) => {
            // If the caller has disconnected, nobody else needs the answer.
            let _ = large.send(response);
            ActionEnd::Unknown(UnknownReason::AnswerTooLarge)
        }
        Collected::Broken => ActionEnd::Unknown(UnknownReason::ConnectionLost),
    }
}
