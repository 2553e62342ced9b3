//! Services of a replica that has not started yet.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use http::Request;
use http::Response;
use tokio::sync::watch;
use tonic::Status;
use tonic::body::Body;
use tonic::server::NamedService;
use tower::Service;

/// Text of the refusal of a call.
pub const NOT_STARTED: &str = "this replica has not joined yet; nothing was done";

/// Passes calls on to a service once that exists. Calls that come before wait, for at most the time that
/// the gate allows, and are then refused as unavailable.
#[derive(Clone, Debug)]
pub struct ServiceGate<S> {
    service: watch::Receiver<Option<S>>,
    /// The longest wait; without it calls wait until the service exists, or the caller gives up.
    max_wait: Option<Duration>,
}

/// Creates a gate, and the sender that opens it. A gate whose sender is gone stays closed.
#[must_use]
pub fn gate<S>(max_wait: Option<Duration>) -> (watch::Sender<Option<S>>, ServiceGate<S>) {
    let (service_tx, service) = watch::channel(None);
    (service_tx, ServiceGate { service, max_wait })
}

impl<S: Clone> ServiceGate<S> {
    /// Waits for the service; `None` if it does not exist in time.
    async fn opened(&mut self) -> Option<S> {
        let service = self.service.wait_for(Option::is_some);
        let service = match self.max_wait {
            Some(max_wait) => tokio::time::timeout(max_wait, service).await.ok()?,
            None => service.await,
        };
        service.ok()?.clone()
    }
}

impl<S: NamedService> NamedService for ServiceGate<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<Request<Body>> for ServiceGate<S>
where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send,
{
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Body>) -> Self::Future {
        let mut gate = self.clone();
        Box::pin(async move {
            match gate.opened().await {
                // gRPC services of tonic are always ready.
                Some(mut service) => service.call(req).await,
                None => Ok(Status::unavailable(NOT_STARTED).into_http()),
            }
        })
    }
}
