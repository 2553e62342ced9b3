//! Relays requests from a follower to its leader, at most once each.

use std::time::Duration;

use heatherring_lib::order_stamp::OrderStamp;
use tonic::Code;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::MetadataMap;
use tonic::metadata::MetadataValue;

use crate::node_request::LeaderLink;
use crate::node_request::NodeError;
use crate::peer_channel::NOT_RUN;
use crate::peer_channel::ORDER_STAMP;
use crate::peer_channel::PASSED_ON;
use crate::peer_links::MAX_MESSAGE_BYTES;
use crate::proto::fleet_client::FleetClient;
use crate::proto::operator_client::OperatorClient;
use crate::proto::session_client::SessionClient;
use tonic::transport::Channel;

/// Timeout of a relayed request, in addition to the time for which the request itself may be
/// held.
pub const RELAY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns whether another replica has relayed the request already.
#[must_use]
pub fn is_relayed(metadata: &MetadataMap) -> bool {
    metadata.contains_key(PASSED_ON)
}

/// Wraps a message for the leader, and marks it as relayed.
#[must_use]
pub fn relayed_request<T>(message: T, timeout: Duration) -> Request<T> {
    let mut request = Request::new(message);
    request
        .metadata_mut()
        .insert(PASSED_ON, MetadataValue::from_static("1"));
    request.set_timeout(timeout);
    request
}

/// Wraps an order for the leader like [`relayed_request`], with its stamp.
#[must_use]
pub fn relayed_order<T>(message: T, timeout: Duration, stamp: OrderStamp) -> Request<T> {
    let mut request = relayed_request(message, timeout);
    // A stamp that cannot be sent becomes one that is never current.
    let stamp = stamp.to_text().parse();
    let stamp = stamp.unwrap_or_else(|_| MetadataValue::from_static("0.0"));
    request.metadata_mut().insert(ORDER_STAMP, stamp);
    request
}

/// Returns the stamp of an order. `None` if it was not passed on, if it is a change of the manifest,
/// which names its base, or if the replica that passed it on is of a release without stamps.
#[must_use]
pub fn order_stamp(metadata: &MetadataMap) -> Option<OrderStamp> {
    let text = metadata.get(ORDER_STAMP)?.to_str().ok();
    // No round has the number of the default stamp, so an unreadable one is never current.
    Some(text.and_then(OrderStamp::from_text).unwrap_or_default())
}

/// Returns a client of the leader's operator service.
#[must_use]
pub fn operator_client(leader: &LeaderLink) -> OperatorClient<Channel> {
    OperatorClient::new(leader.channel.clone())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Returns a client of the leader's session service.
#[must_use]
pub fn session_client(leader: &LeaderLink) -> SessionClient<Channel> {
    SessionClient::new(leader.channel.clone())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Returns a client of the leader's service for direct dispatch.
#[must_use]
pub fn fleet_client(leader: &LeaderLink) -> FleetClient<Channel> {
    FleetClient::new(leader.channel.clone())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Waits for the answer to a call to the leader, for `timeout` at most.
///
/// The timeout of a request counts from when the channel takes it. A channel whose connection is
/// being opened takes one after another, and a silent peer delays each.
///
/// # Errors
///
/// Returns the status with which the call failed, and that of an exceeded deadline without an answer
/// in time.
pub async fn answer_within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<Response<T>, Status> {
    let answered = tokio::time::timeout(timeout, call).await;
    answered.unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer in time")))
}

/// Returns the status of an order that failed here, with the mark of one that is proved not to be
/// run.
#[must_use]
pub fn refusal_status(error: &NodeError) -> Status {
    let mut status = Status::unavailable(error.to_string());
    if error.is_proved_absent() {
        let mark = MetadataValue::from_static("1");
        status.metadata_mut().insert(NOT_RUN, mark);
    }
    status
}

/// Returns whether an order whose call failed is proved not to be run: the leader says so, or never
/// received it.
#[must_use]
pub fn is_proved_not_run(status: &Status) -> bool {
    status.metadata().contains_key(NOT_RUN) || is_proved_unsent(status)
}

/// Returns whether a failed call is proved not to have reached the leader's process, because the
/// connection was refused.
#[must_use]
pub fn is_proved_unsent(status: &Status) -> bool {
    status.code() == Code::Unavailable && has_connect_error(status)
}

fn has_connect_error(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}
