//! Calls between the primary and the backup of an action, and of those who ask them.

use std::time::Duration;

use heatherring_lib::action_record::ActionEnd;
use heatherring_lib::action_record::ActionQuery;
use heatherring_lib::action_record::BackupRecord;
use heatherring_lib::action_record::RecordRefusal;
use heatherring_lib::action_record::Resolution;
use heatherring_lib::id::SessionId;
use heatherring_lib::outcome::UnknownReason;
use tonic::Status;

use crate::action_task::ActionHandle;
use crate::entry_context::EntryContext;
use crate::proto::RecordActionReply;
use crate::proto::RecordActionRequest;
use crate::proto::ResolveActionReply;
use crate::proto::ResolveActionRequest;
use crate::proto::peer_client::PeerClient;

/// Time within which the backup must record an intent. It adds to each action's time
/// when the backup is gone, so it is a small part of a caller's patience, and many
/// times the round to another place of the region.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which the backup must resolve an action. Its caller has waited for the
/// primary in vain already; certainty is worth more to it than another second.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Times that the end of an action is sent to the backup, and the pause between them.
const END_TRIES: u32 = 3;
const END_PAUSE: Duration = Duration::from_millis(200);

/// Has the backup record an intent. `None` means that nobody knows whether it did.
pub async fn record_intent(
    cx: &EntryContext,
    record: &BackupRecord,
) -> Option<Result<(), RecordRefusal>> {
    let call = call_record(cx, record);
    tokio::time::timeout(RECORD_TIMEOUT, call).await.ok()?
}

/// Has the backup keep the end of an action, as well as it goes. Without it, whoever
/// can't reach the primary is told "unknown".
pub async fn record_end(cx: &EntryContext, record: &BackupRecord) {
    for _ in 0..END_TRIES {
        let call = call_record(cx, record);
        if matches!(
            tokio::time::timeout(RESOLVE_TIMEOUT, call).await,
            Ok(Some(_))
        ) {
            return;
        }
        tokio::time::sleep(END_PAUSE).await;
    }
    log::debug!(event = "action_end_not_replicated", backup = record.key.ticket().claims().backup.vm.as_str(); "the backup of an action couldn't be told its end");
}

async fn call_record(
    cx: &EntryContext,
    record: &BackupRecord,
) -> Option<Result<(), RecordRefusal>> {
    let backup = record.key.ticket().claims().backup.session;
    let channel = cx.peers.channel(backup).await?;
    let record_encoded = postcard::to_stdvec(record).ok()?;
    let request = RecordActionRequest { record_encoded };
    let reply = PeerClient::new(channel).record_action(request).await.ok()?;
    let reply = reply.into_inner();
    if reply.recorded {
        return Some(Ok(()));
    }
    postcard::from_bytes(&reply.reason_encoded).ok().map(Err)
}

/// Asks the backup what became of an action. If this process is the backup itself, or
/// the primary, it answers from its own records.
pub async fn resolve(cx: &EntryContext, query: &ActionQuery) -> Resolution {
    let claims = query.key.ticket().claims();
    let own = cx.state.read().lease.session();
    if [claims.primary.session, claims.backup.session]
        .map(Some)
        .contains(&own)
    {
        return cx.actions.resolve(query.clone()).await;
    }
    let call = call_resolve(cx, claims.backup.session, query);
    tokio::time::timeout(RESOLVE_TIMEOUT, call)
        .await
        .ok()
        .flatten()
        .unwrap_or(ActionEnd::Unknown(UnknownReason::RecordsUnreachable))
}

async fn call_resolve(
    cx: &EntryContext,
    backup: SessionId,
    query: &ActionQuery,
) -> Option<Resolution> {
    let channel = cx.peers.channel(backup).await?;
    let key_encoded = postcard::to_stdvec(query).ok()?;
    let request = ResolveActionRequest { key_encoded };
    let reply = PeerClient::new(channel)
        .resolve_action(request)
        .await
        .ok()?;
    postcard::from_bytes(&reply.into_inner().resolution_encoded).ok()
}

/// Answers another entry VM's call to record an action.
///
/// # Errors
///
/// Fails if the record can't be read.
pub async fn answer_record(
    actions: &ActionHandle,
    request: RecordActionRequest,
) -> Result<RecordActionReply, Status> {
    let record =
        postcard::from_bytes(&request.record_encoded).map_err(|error| unreadable(&error))?;
    let refusal = actions.record(record).await.err();
    let reason_encoded = match refusal {
        Some(refusal) => postcard::to_stdvec(&refusal).map_err(|error| unwritable(&error))?,
        None => Vec::new(),
    };
    Ok(RecordActionReply {
        recorded: refusal.is_none(),
        reason_encoded,
    })
}

/// Answers another entry VM's question about an action.
///
/// # Errors
///
/// Fails if the question can't be read.
pub async fn answer_resolve(
    actions: &ActionHandle,
    request: ResolveActionRequest,
) -> Result<ResolveActionReply, Status> {
    let query = postcard::from_bytes(&request.key_encoded).map_err(|error| unreadable(&error))?;
    let resolution = actions.resolve(query).await;
    let resolution_encoded =
        postcard::to_stdvec(&resolution).map_err(|error| unwritable(&error))?;
    Ok(ResolveActionReply { resolution_encoded })
}

fn unreadable(error: &postcard::Error) -> Status {
    Status::invalid_argument(error.to_string())
}

fn unwritable(error: &postcard::Error) -> Status {
    Status::internal(error.to_string())
}
