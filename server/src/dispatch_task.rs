//! The task that owns the dispatcher of an entry VM.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::backend_load::LoadReport;
use heatherring_lib::clock::Clock;
use heatherring_lib::cold_queries::ColdQuery;
use heatherring_lib::cold_queries::ColdReply;
use heatherring_lib::direct_dispatch::DispatchConfig;
use heatherring_lib::direct_dispatch::Dispatcher;
use heatherring_lib::dispatch_request::BackendKey;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::dispatch_request::DispatchRequest;
use heatherring_lib::dispatch_request::RETRY_ELSEWHERE_AFTER;
use heatherring_lib::dispatch_request::Refused;
use heatherring_lib::dispatch_request::RefusedReason;
use heatherring_lib::dispatch_request::SendEnd;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::request_rank::RequestRank;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::service_latency::RouteLatencyKey;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Asks for a backend server.
#[derive(Clone, Debug)]
pub struct OwnedDispatchRequest {
    /// The service.
    pub service: ServiceName,
    /// The name of the route that the request came by.
    pub route_name: RouteName,
    /// The route.
    pub route: Arc<Route>,
    /// The object that the request concerns.
    pub object: Option<ObjectHash>,
    /// Which requests it comes after.
    pub rank: RequestRank,
    /// Regions that the request must stay in; empty allows all.
    pub homes: Vec<RegionName>,
    /// When the answer must be there.
    pub deadline: Instant,
    /// When the answer should be there.
    pub objective: Instant,
    /// When this entry VM, which stops, passes on its last answers.
    pub answers_until: Option<Instant>,
    /// Backend servers that the request was sent to before.
    pub tried: Vec<BackendKey>,
    /// Whether one of them received it.
    pub resend: bool,
}

#[derive(Debug)]
enum Message {
    Choose {
        request: OwnedDispatchRequest,
        reply: oneshot::Sender<Result<Choice, Refused>>,
    },
    Ended(SendEnd),
    Connected {
        backend: BackendKey,
        took: Duration,
    },
    Streamed {
        backend: BackendKey,
        latency_key: RouteLatencyKey,
        took: Duration,
    },
    View(Arc<FleetView>),
    Silent(BTreeSet<BackendName>),
    Control,
    ColdQueries {
        reply: oneshot::Sender<(Vec<ColdQuery>, Instant)>,
    },
    ColdReply(ColdReply),
}

/// Reaches the task.
#[derive(Clone, Debug)]
pub struct DispatchHandle {
    tx: mpsc::UnboundedSender<Message>,
}

impl DispatchHandle {
    /// Starts the task.
    #[must_use]
    pub fn spawn(cfg: DispatchConfig, clock: Arc<dyn Clock>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let dispatcher = Dispatcher::new(cfg, clock.now());
        tokio::spawn(run(dispatcher, clock, rx));
        Self { tx }
    }

    /// Picks a backend server. The request counts as in flight there until the returned
    /// guard says how it ended, or is dropped.
    ///
    /// # Errors
    ///
    /// Tells why none was picked.
    pub async fn choose(
        &self,
        request: OwnedDispatchRequest,
    ) -> Result<(Choice, SendGuard), Refused> {
        let (reply, answer) = oneshot::channel();
        let object = request.object;
        // Sends fail only when the task has ended with its process.
        let _ = self.tx.send(Message::Choose { request, reply });
        let choice = answer.await.unwrap_or(Err(Refused {
            reason: RefusedReason::NoBackend,
            retry_after: RETRY_ELSEWHERE_AFTER,
            considered: 0,
            shortest_wait: None,
        }))?;
        let guard = SendGuard {
            tx: self.tx.clone(),
            end: SendEnd {
                backend: choice.backend,
                send: choice.send,
                outcome: SendOutcome::Abandoned,
                load: None,
                object,
            },
        };
        Ok((choice, guard))
    }

    /// Notes how long a connection took to be established.
    pub fn note_connected(&self, backend: BackendKey, took: Duration) {
        let _ = self.tx.send(Message::Connected { backend, took });
    }

    /// Notes how long an answer that was passed on as it came took from its head to its end.
    pub fn note_streamed(&self, backend: BackendKey, latency_key: RouteLatencyKey, took: Duration) {
        let _ = self.tx.send(Message::Streamed {
            backend,
            latency_key,
            took,
        });
    }

    /// Follows a view of the fleet.
    pub fn apply_view(&self, view: Arc<FleetView>) {
        let _ = self.tx.send(Message::View(view));
    }

    /// Notes that control is in reach and that all it knows has been applied.
    pub fn note_control_contact(&self) {
        let _ = self.tx.send(Message::Control);
    }

    /// Returns which backend servers must be asked now whether they are cold, and when to
    /// ask next; nothing once the task has ended.
    pub async fn cold_queries(&self) -> Option<(Vec<ColdQuery>, Instant)> {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::ColdQueries { reply });
        answer.await.ok()
    }

    /// Notes what a backend server answered.
    pub fn note_cold_reply(&self, reply: ColdReply) {
        let _ = self.tx.send(Message::ColdReply(reply));
    }

    /// Notes which backend servers control hasn't heard of lately.
    pub fn apply_silent(&self, silent: BTreeSet<BackendName>) {
        let _ = self.tx.send(Message::Silent(silent));
    }
}

/// Tells the dispatcher how a request ended; that it was abandoned, if nobody says. A
/// caller that leaves drops the whole handling of its request, and would otherwise leave
/// the request in flight for ever.
#[derive(Debug)]
pub struct SendGuard {
    tx: mpsc::UnboundedSender<Message>,
    end: SendEnd,
}

impl SendGuard {
    /// Says how the request ended.
    pub fn ended(mut self, outcome: SendOutcome, load: Option<LoadReport>) {
        self.end.outcome = outcome;
        self.end.load = load;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let _ = self.tx.send(Message::Ended(self.end));
    }
}

async fn run(
    mut dispatcher: Dispatcher,
    clock: Arc<dyn Clock>,
    mut rx: mpsc::UnboundedReceiver<Message>,
) {
    while let Some(message) = rx.recv().await {
        let now = clock.now();
        match message {
            Message::Choose { request, reply } => {
                let result = dispatcher.choose(now, &borrowed(&request));
                if let Err(Ok(choice)) = reply.send(result) {
                    dispatcher.ended(now, &unused(&choice));
                }
            }
            Message::Ended(end) => dispatcher.ended(now, &end),
            Message::Connected { backend, took } => dispatcher.note_connected(backend, took),
            Message::Streamed {
                backend,
                latency_key,
                took,
            } => dispatcher.note_streamed(backend, latency_key, took),
            Message::View(view) => dispatcher.apply_view(now, &view),
            Message::Silent(silent) => dispatcher.apply_silent(silent),
            Message::Control => dispatcher.note_control_contact(now),
            Message::ColdQueries { reply } => {
                // An asker that has gone ends with the process.
                let _ = reply.send(dispatcher.cold_queries(now));
            }
            Message::ColdReply(reply) => dispatcher.note_cold_reply(now, &reply),
        }
    }
}

fn borrowed(request: &OwnedDispatchRequest) -> DispatchRequest<'_> {
    DispatchRequest {
        service: &request.service,
        route: &request.route_name,
        latency_objective: request.route.latency_objective,
        object: request.object,
        rank: request.rank,
        deadline: request.deadline,
        objective: request.objective,
        answers_until: request.answers_until,
        homes: &request.homes,
        tried: &request.tried,
        resend: request.resend,
    }
}

/// Ends a choice whose asker has gone away.
const fn unused(choice: &Choice) -> SendEnd {
    SendEnd {
        backend: choice.backend,
        send: choice.send,
        outcome: SendOutcome::Abandoned,
        load: None,
        object: None,
    }
}
