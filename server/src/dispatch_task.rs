//! Task that owns the [`Dispatcher`] of an entry VM.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::backend_statement::ReceivedStatement;
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
use heatherring_lib::link_load::LinkLoad;
use heatherring_lib::request_rank::RequestRank;
use heatherring_lib::rollout::observer::RolloutReport;
use heatherring_lib::route_manifest::Route;
use heatherring_lib::send_holds::SendHolds;
use heatherring_lib::service_latency::RouteLatencyKey;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::shared_statements::SharedStatements;
use crate::statement_log;

/// Asks the dispatcher to choose a backend server. Owned counterpart of [`DispatchRequest`].
#[derive(Clone, Debug)]
pub struct OwnedDispatchRequest {
    /// The service that the caller addressed.
    pub service: ServiceName,
    /// The name of the route that the request matched.
    pub route_name: RouteName,
    /// The route's settings.
    pub route: Arc<Route>,
    /// The object that the request concerns.
    pub object: Option<ObjectHash>,
    /// The request's rank in queueing and shedding.
    pub rank: RequestRank,
    /// Regions that the request must stay in; empty allows all regions.
    pub homes: Vec<RegionName>,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Time by which the answer should be complete, by the route's latency objective.
    pub objective: Instant,
    /// When a stopping entry VM forwards its last answers; `None` while it does not stop.
    pub answers_until: Option<Instant>,
    /// Backend servers that earlier attempts of the request were sent to.
    pub tried: Vec<BackendKey>,
    /// Whether one of them received the request.
    pub resend: bool,
}

#[derive(Debug)]
enum Message {
    Choose {
        request: OwnedDispatchRequest,
        reply: oneshot::Sender<Result<Choice, Refused>>,
    },
    Ended(SendEnd),
    Statement {
        backend: BackendKey,
        received: ReceivedStatement,
    },
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
    RolloutReports {
        reply: oneshot::Sender<Vec<RolloutReport>>,
    },
    Shared(SharedStatements),
    StatementsToShare {
        all: bool,
        reply: oneshot::Sender<SharedStatements>,
    },
    StatementsShared(SharedStatements),
    StreamBegan(BackendKey),
    StreamEnded(BackendKey),
}

/// Sends messages to the dispatch task.
#[derive(Clone, Debug)]
pub struct DispatchHandle {
    tx: mpsc::UnboundedSender<Message>,
    /// Signalled while control has to be told statements of backend servers.
    reports_due: Arc<Notify>,
    holds: watch::Receiver<Arc<SendHolds>>,
}

impl DispatchHandle {
    /// Spawns the task, which ends when all handles are dropped. `link_load` is the load of this
    /// entry VM's link, if its rate is known.
    #[must_use]
    pub fn spawn(
        cfg: DispatchConfig,
        clock: Arc<dyn Clock>,
        link_load: Option<watch::Receiver<LinkLoad>>,
    ) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let dispatcher = Dispatcher::new(cfg, clock.now());
        let reports_due = Arc::new(Notify::new());
        let (holds_tx, holds) = watch::channel(Arc::default());
        let published = Published {
            reports_due: Arc::clone(&reports_due),
            holds: holds_tx,
        };
        tokio::spawn(run(dispatcher, clock, rx, link_load, published));
        Self {
            tx,
            reports_due,
            holds,
        }
    }

    /// Returns the backend servers that must not be sent requests.
    #[must_use]
    pub fn holds(&self) -> watch::Receiver<Arc<SendHolds>> {
        self.holds.clone()
    }

    /// Chooses a backend server. The request counts as in flight there until the returned guard
    /// is told its outcome or is dropped.
    ///
    /// # Errors
    ///
    /// Returns the reason if no backend server was chosen.
    pub async fn choose(
        &self,
        request: OwnedDispatchRequest,
    ) -> Result<(Choice, SendGuard), Refused> {
        let (reply, answer) = oneshot::channel();
        let object = request.object;
        // A send fails only when the task has ended together with its process.
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
                object,
                ..SendEnd::new(&choice, SendOutcome::Abandoned)
            },
        };
        Ok((choice, guard))
    }

    /// Records what the head of an answer of a backend server states.
    pub fn note_statement(&self, backend: BackendKey, received: ReceivedStatement) {
        if !received.statement.applies_from_head() {
            return;
        }
        let _ = self.tx.send(Message::Statement { backend, received });
    }

    /// Records how long it took to establish a connection.
    pub fn note_connected(&self, backend: BackendKey, took: Duration) {
        let _ = self.tx.send(Message::Connected { backend, took });
    }

    /// Records the time from head to end of an answer that was forwarded while it arrived.
    pub fn note_streamed(&self, backend: BackendKey, latency_key: RouteLatencyKey, took: Duration) {
        let _ = self.tx.send(Message::Streamed {
            backend,
            latency_key,
            took,
        });
    }

    /// Applies a new view of the fleet.
    pub fn apply_view(&self, view: Arc<FleetView>) {
        let _ = self.tx.send(Message::View(view));
    }

    /// Records that control is reachable and that all its changes have been applied.
    pub fn note_control_contact(&self) {
        let _ = self.tx.send(Message::Control);
    }

    /// Returns the backend servers to ask now whether they are cold, and when to ask next;
    /// `None` once the task has ended.
    pub async fn cold_queries(&self) -> Option<(Vec<ColdQuery>, Instant)> {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::ColdQueries { reply });
        answer.await.ok()
    }

    /// Applies a backend server's reply to a cold query.
    pub fn note_cold_reply(&self, reply: ColdReply) {
        let _ = self.tx.send(Message::ColdReply(reply));
    }

    /// Returns what was observed of each rollout in progress since the last call.
    pub async fn take_rollout_reports(&self) -> Vec<RolloutReport> {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::RolloutReports { reply });
        answer.await.unwrap_or_default()
    }

    /// Counts an answer as being passed on until the returned guard is dropped.
    #[must_use]
    pub fn stream_began(&self, backend: BackendKey) -> StreamGuard {
        let _ = self.tx.send(Message::StreamBegan(backend));
        StreamGuard {
            tx: self.tx.clone(),
            backend,
        }
    }

    /// Applies the statements of backend servers that control passed on.
    pub fn apply_shared(&self, statements: SharedStatements) {
        let _ = self.tx.send(Message::Shared(statements));
    }

    /// Waits until there is a statement that control has to be told.
    pub async fn reports_due(&self) {
        self.reports_due.notified().await;
    }

    /// Returns the statements that control has to be told: those that it does not know, or `all`.
    pub async fn statements_to_share(&self, all: bool) -> SharedStatements {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::StatementsToShare { all, reply });
        answer.await.unwrap_or_default()
    }

    /// Records that control has been told these statements.
    pub fn note_shared(&self, statements: SharedStatements) {
        let _ = self.tx.send(Message::StatementsShared(statements));
    }

    /// Applies the set of backend servers that control has received no recent heartbeat from.
    pub fn apply_silent(&self, silent: BTreeSet<BackendName>) {
        let _ = self.tx.send(Message::Silent(silent));
    }
}

/// Reports the outcome of a request to the dispatcher; `Abandoned` if dropped without one. A
/// caller that disconnects drops the whole handling of its request, and without this guard
/// the request would count as in flight for ever.
#[derive(Debug)]
pub struct SendGuard {
    tx: mpsc::UnboundedSender<Message>,
    end: SendEnd,
}

impl SendGuard {
    /// Reports how the request ended, and the size of a successful answer if it is known.
    pub fn ended(
        mut self,
        outcome: SendOutcome,
        statement: Option<ReceivedStatement>,
        answer_bytes: Option<u64>,
    ) {
        self.end.outcome = outcome;
        self.end.statement = statement;
        self.end.answer_bytes = answer_bytes;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let _ = self.tx.send(Message::Ended(self.end));
    }
}

/// An answer whose body is being passed on.
#[derive(Debug)]
pub struct StreamGuard {
    tx: mpsc::UnboundedSender<Message>,
    backend: BackendKey,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let _ = self.tx.send(Message::StreamEnded(self.backend));
    }
}

/// What the task makes known to others.
struct Published {
    reports_due: Arc<Notify>,
    holds: watch::Sender<Arc<SendHolds>>,
}

impl Published {
    fn update(&self, dispatcher: &mut Dispatcher) {
        for event in dispatcher.take_statement_events() {
            statement_log::log(&event);
        }
        if let Some(holds) = dispatcher.take_send_holds() {
            self.holds.send_replace(Arc::new(holds));
        }
        if dispatcher.take_reports_due() {
            self.reports_due.notify_one();
        }
    }
}

async fn run(
    mut dispatcher: Dispatcher,
    clock: Arc<dyn Clock>,
    mut rx: mpsc::UnboundedReceiver<Message>,
    link_load: Option<watch::Receiver<LinkLoad>>,
    published: Published,
) {
    while let Some(message) = rx.recv().await {
        let now = clock.now();
        match message {
            Message::Choose { request, reply } => {
                if let Some(load) = &link_load {
                    dispatcher.note_link_load(*load.borrow());
                }
                let result = dispatcher.choose(now, &borrowed(&request));
                if let Err(Ok(choice)) = reply.send(result) {
                    // The requester has gone.
                    dispatcher.ended(now, &SendEnd::new(&choice, SendOutcome::Abandoned));
                }
            }
            Message::Ended(end) => dispatcher.ended(now, &end),
            Message::Statement { backend, received } => {
                dispatcher.note_statement(now, backend, &received);
            }
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
                // A requester that has gone is stopping together with the process.
                let _ = reply.send(dispatcher.cold_queries(now));
            }
            Message::ColdReply(reply) => dispatcher.note_cold_reply(now, &reply),
            Message::RolloutReports { reply } => {
                let _ = reply.send(dispatcher.take_rollout_reports(now));
            }
            Message::Shared(statements) => {
                dispatcher.apply_limits(now, &statements.limits);
                dispatcher.apply_leaving(&statements.leaving);
            }
            Message::StatementsToShare { all, reply } => {
                let _ = reply.send(SharedStatements {
                    limits: dispatcher.limit_statements(now, all),
                    leaving: dispatcher.leaving_statements(all),
                });
            }
            Message::StatementsShared(statements) => {
                dispatcher.note_limits_reported(&statements.limits);
                dispatcher.note_leaving_reported(&statements.leaving);
            }
            Message::StreamBegan(backend) => dispatcher.stream_began(backend),
            Message::StreamEnded(backend) => dispatcher.stream_ended(backend),
        }
        published.update(&mut dispatcher);
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
