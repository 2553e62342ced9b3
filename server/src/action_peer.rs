//! RPCs between the primary and the backup of an action, and from other entry VMs that resolve
//! actions.

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

/// Time-out for recording an intent at the backup. It is added to the duration of each action
/// when the backup is gone, so it is a small fraction of a caller's time-out, yet many times the
/// round trip to another place of the region.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out for resolving an action at the backup. The caller has already waited for the primary
/// in vain, and a definite result is worth more to it than another second.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of times that the end of an action is sent to the backup, and the pause between them.
const END_TRIES: u32 = 3;
const END_PAUSE: Duration = Duration::from_millis(200);

/// Records an intent at the backup. `None` means that it is unknown whether the backup recorded
/// it.
pub async fn record_intent(
    cx: &EntryContext,
    record: &BackupRecord,
) -> Option<Result<(), RecordRefusal>> {
    let call = call_record(cx, record);
    tokio::time::timeout(RECORD_TIMEOUT, call).await.ok()?
}

/// Records the end of an action at the backup, on a best-effort basis. Without it, callers that
/// cannot reach the primary receive "unknown".
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
    log::debug!(event = "action_end_not_replicated", backup = record.key.ticket().claims().backup.vm.as_str(); "the end of an action could not be recorded at its backup");
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

/// Resolves an action at its backup. If this process is the backup or the primary, it answers
/// from its own records.
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

/// Serves another entry VM's call to record an action.
///
/// # Errors
///
/// Fails if the record cannot be decoded.
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

/// Serves another entry VM's call to resolve an action.
///
/// # Errors
///
/// Fails if the query cannot be decoded.
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
