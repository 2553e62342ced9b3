//! Detects which requests were in flight when a backend server crashed, and reports them to
//! control.
//!
//! [`CrashEvidence`] makes the decisions. After a request breaks off, one new connection to its
//! backend server is attempted: a refused connection proves within a round trip that it ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::crash_evidence::BackendIncarnations;
use heatherring_lib::crash_evidence::CrashEvidence;
use heatherring_lib::crash_evidence::Treatment;
use heatherring_lib::dispatch_request::Choice;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_update::FleetView;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::VmName;
use heatherring_lib::outcome::Attempt;
use heatherring_lib::outcome::NotRun;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::outcome::Unsent;
use heatherring_lib::quarantine::Ended;
use heatherring_lib::quarantine::InFlightRequest;
use heatherring_lib::quarantine::SuspectNote;
use heatherring_lib::quarantine::Verdict;
use heatherring_lib::request_fingerprint::CallerTag;
use heatherring_lib::request_fingerprint::Fingerprint;
use heatherring_lib::request_fingerprint::FingerprintKey;
use heatherring_lib::request_fingerprint::RequestContent;
use heatherring_lib::request_fingerprint::RequestTag;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::announcement_batch::collect_batch;
use crate::backend_pool::BackendPool;
use crate::metric;
use crate::proto::NoteSuspectsRequest;
use crate::proto::fleet_client::FleetClient;

/// Timeout of the connection attempt after a broken request: a round trip to another region,
/// with room for a moment of high load.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Retry delay returned to the caller of a quarantined request. Nothing changes within less
/// than minutes; a permanent refusal would be wrong, since the request may be innocent.
const QUARANTINE_RETRY: Duration = Duration::from_secs(30);

/// Largest number of notes that may wait to be sent to control.
const MAX_QUEUED_NOTES: usize = 1_024;

/// Largest number of notes sent to control in one call.
const MAX_BATCH: usize = 128;

/// Time for which notes are collected into one batch: the requests in flight on one backend
/// server break off together.
const BATCH_WINDOW: Duration = Duration::from_millis(50);

/// Timeout of a replica's answer; the replica may have to ask the leader.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before unconfirmed notes are sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Largest number of attempts to send a batch; with [`ANSWER_TIMEOUT`] they last longer than an
/// election.
const MAX_TRIES: usize = 20;

/// Largest number of fingerprints in one log line.
const MAX_LOGGED_FINGERPRINTS: usize = 8;

/// Tracks the evidence of an entry VM on requests that may crash backend servers.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Arc<dyn Clock>,
    pool: BackendPool,
    state: Mutex<State>,
    /// `None` on an entry VM that owns its backend servers and reports to nobody.
    notes: Option<mpsc::Sender<SuspectNote>>,
}

#[derive(Debug)]
struct State {
    key: FingerprintKey,
    incarnations: Arc<dyn BackendIncarnations>,
    evidence: CrashEvidence,
    /// Backend servers to which a connection attempt is under way.
    probing: BTreeSet<BackendIncarnation>,
}

impl State {
    fn new(key: FingerprintKey, incarnations: Arc<dyn BackendIncarnations>) -> Self {
        Self {
            key,
            incarnations,
            evidence: CrashEvidence::default(),
            probing: BTreeSet::new(),
        }
    }
}

/// Incarnations of owned backend servers, known only from the requests sent to them.
#[derive(Debug)]
struct OwnedIncarnations;

impl BackendIncarnations for OwnedIncarnations {
    fn was_replaced(&self, _life: &BackendIncarnation) -> bool {
        false
    }

    fn is_leaving(&self, _life: &BackendIncarnation) -> bool {
        false
    }
}

/// Identifies a backend server and how to reach it.
#[derive(Clone, Debug)]
pub struct TrackedBackend {
    /// The backend server's incarnation.
    pub life: BackendIncarnation,
    /// Its address.
    pub address: SocketAddr,
    /// The limit on open connections to it.
    pub max_connections: u32,
}

impl From<&Choice> for TrackedBackend {
    fn from(choice: &Choice) -> Self {
        Self {
            life: BackendIncarnation {
                backend: choice.name.clone(),
                born: choice.born,
            },
            address: choice.address,
            max_connections: choice.max_connections,
        }
    }
}

impl CrashTracker {
    /// Creates the tracker, and the reporter that sends its notes to control.
    #[must_use]
    pub fn new(vm: VmName, clock: Arc<dyn Clock>, pool: BackendPool) -> (Self, SuspectReporter) {
        let (notes, rx) = mpsc::channel(MAX_QUEUED_NOTES);
        let state = State::new(FingerprintKey::default(), Arc::new(FleetView::default()));
        let tracker = Self::with(clock, pool, state, Some(notes));
        (tracker, SuspectReporter { vm, rx })
    }

    /// Creates the tracker of an entry VM that owns its backend servers. No other entry VM sends
    /// to them, so that there are no other observations to combine with.
    #[must_use]
    pub fn of_owner(clock: Arc<dyn Clock>, pool: BackendPool) -> Self {
        let key = FingerprintKey::of_cluster(ClusterId(rand::random()));
        Self::with(
            clock,
            pool,
            State::new(key, Arc::new(OwnedIncarnations)),
            None,
        )
    }

    fn with(
        clock: Arc<dyn Clock>,
        pool: BackendPool,
        state: State,
        notes: Option<mpsc::Sender<SuspectNote>>,
    ) -> Self {
        let inner = Inner {
            clock,
            pool,
            state: Mutex::new(state),
            notes,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sets the fingerprint key, which all entry VMs of the cluster share.
    pub fn set_key(&self, key: FingerprintKey) {
        self.state().key = key;
    }

    /// Applies control's verdicts; they replace the previous ones.
    pub fn apply_verdicts(&self, verdicts: BTreeMap<Fingerprint, Verdict>) {
        log::info!(event = "verdicts_applied", count = verdicts.len(); "applied control's verdicts on suspected requests");
        self.state().evidence.apply_verdicts(verdicts);
    }

    /// Applies a view of the fleet, which may show that backend servers have ended.
    pub fn apply_view(&self, view: &Arc<FleetView>) {
        self.state().incarnations = Arc::clone(view) as Arc<_>;
        self.record(|evidence, now, incarnations| evidence.apply_incarnations(now, incarnations));
    }

    /// Computes the fingerprints of a request from `caller`.
    #[must_use]
    pub fn tag(&self, content: &RequestContent<'_>, caller: IpAddr) -> RequestTag {
        let key = self.state().key;
        RequestTag {
            content: Fingerprint::of(&key, content),
            caller: CallerTag::of(&key, caller),
        }
    }

    /// Returns how the request must be treated; `None` if it is not suspected.
    #[must_use]
    pub fn treatment(&self, tag: &RequestTag) -> Option<Treatment> {
        self.state().evidence.treatment(tag)
    }

    /// Admits a request unless it is quarantined.
    ///
    /// # Errors
    ///
    /// Returns the proof that the request has not run.
    pub fn admit(
        &self,
        tag: &RequestTag,
        attempt: Attempt<Unsent>,
    ) -> Result<Attempt<Unsent>, NotRun> {
        if self.treatment(tag) != Some(Treatment::Quarantined) {
            return Ok(attempt);
        }
        let now = self.inner.clock.now();
        let note = self.state().evidence.note_refused(now, tag.content);
        self.send_note(note);
        let not_run = attempt.refuse(NotRunReason::Quarantined);
        Err(not_run.with_retry_after(QUARANTINE_RETRY))
    }

    /// Starts to track a request that is being sent to a backend server.
    #[must_use]
    pub fn follow(&self, backend: TrackedBackend, tag: RequestTag) -> TrackedRequest {
        let watched = self.treatment(&tag).is_some();
        TrackedRequest {
            tracker: Some(self.clone()),
            backend,
            in_flight: InFlightRequest { tag, watched },
        }
    }

    /// Returns the current incarnation of a backend server that does not identify its incarnations
    /// itself.
    #[must_use]
    pub fn incarnation_of(&self, backend: &BackendName) -> BackendIncarnation {
        self.state().evidence.incarnation_of(backend)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = &self.inner.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_unanswered(&self, life: &BackendIncarnation, in_flight: InFlightRequest) {
        self.record(|evidence, now, incarnations| {
            evidence.note_unanswered(now, incarnations, life, in_flight)
        });
    }

    /// Records an observation with `note`, and reports the backend servers that it shows to have
    /// ended.
    fn record<E: IntoIterator<Item = Ended>>(
        &self,
        note: impl FnOnce(&mut CrashEvidence, Instant, &dyn BackendIncarnations) -> E,
    ) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        let State {
            incarnations,
            evidence,
            ..
        } = &mut *state;
        let ended = note(evidence, now, &**incarnations);
        drop(state);
        for ended in ended {
            self.report_ended(ended);
        }
    }

    /// Connects to a backend server to find out whether it has ended.
    fn probe(&self, backend: &TrackedBackend) {
        if !self.state().probing.insert(backend.life.clone()) {
            return;
        }
        let tracker = self.clone();
        let TrackedBackend {
            life,
            address,
            max_connections: limit,
        } = backend.clone();
        tokio::spawn(async move {
            let pool = &tracker.inner.pool;
            let connected = pool.connect_anew(address, limit, CONNECT_TIMEOUT).await;
            tracker.state().probing.remove(&life);
            match connected {
                Ok(connection) => {
                    pool.give_back(connection);
                    let now = tracker.inner.clock.now();
                    tracker.state().evidence.note_reachable(now, &life);
                }
                Err(error) if error.is_refused() => {
                    tracker.record(|evidence, now, incarnations| {
                        evidence.note_ended(now, incarnations, &life)
                    });
                }
                // If the backend server has ended, a later view of the fleet shows it.
                Err(_) => {}
            }
        });
    }

    fn report_ended(&self, ended: Ended) {
        let named = ended.requests.iter().take(MAX_LOGGED_FINGERPRINTS);
        let named: Vec<String> = named
            .map(|in_flight| in_flight.tag.content.to_string())
            .collect();
        let named = named.join(", ");
        log::warn!(event = "backend_ended", backend = ended.life.backend.as_str(), standing = ended.requests.len(), fingerprints = named.as_str(); "a backend server ended with requests in flight");
        metric::backend_ended(ended.requests.len());
        self.send_note(Some(SuspectNote::Ended(ended)));
    }

    fn send_note(&self, note: Option<SuspectNote>) {
        let Some(note) = note else {
            return;
        };
        let notes = self.inner.notes.as_ref();
        if notes.is_some_and(|notes| notes.try_send(note).is_err()) {
            log::warn!(event = "suspect_note_lost"; "too many notes on suspected requests wait for control; dropped one");
        }
    }
}

/// Tracks one request at one backend server. If dropped without an outcome, the request counts
/// as unanswered: its caller disconnected, or its deadline passed.
#[derive(Debug)]
pub struct TrackedRequest {
    tracker: Option<CrashTracker>,
    backend: TrackedBackend,
    in_flight: InFlightRequest,
}

impl TrackedRequest {
    /// Records that the backend server did not receive the request, or reported that it did not
    /// run it.
    pub fn not_run(mut self) {
        self.tracker = None;
    }

    /// Records that the request was answered completely.
    pub fn answered(mut self) {
        if let Some(tracker) = self.tracker.take() {
            let now = tracker.inner.clock.now();
            let note = tracker
                .state()
                .evidence
                .note_answered(now, &self.in_flight.tag);
            tracker.send_note(note);
        }
    }

    /// Records that the connection broke.
    pub fn broken(mut self) {
        if let Some(tracker) = self.tracker.take() {
            tracker.note_unanswered(&self.backend.life, self.in_flight);
            tracker.probe(&self.backend);
        }
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        if let Some(tracker) = self.tracker.take() {
            tracker.note_unanswered(&self.backend.life, self.in_flight);
        }
    }
}

/// Sends the collected notes to control.
#[derive(Debug)]
pub struct SuspectReporter {
    vm: VmName,
    rx: mpsc::Receiver<SuspectNote>,
}

impl SuspectReporter {
    /// Sends notes to the followed control replica until the process ends.
    pub async fn run(mut self, mut replica: watch::Receiver<Option<FleetClient<Channel>>>) {
        while let Some(first) = self.rx.recv().await {
            tokio::time::sleep(BATCH_WINDOW).await;
            let notes = collect_batch(first, MAX_BATCH, || self.rx.try_recv().ok());
            self.send(&mut replica, &notes).await;
        }
    }

    /// Sends a batch until it is confirmed. Notes that arrive twice count once.
    async fn send(
        &self,
        replica: &mut watch::Receiver<Option<FleetClient<Channel>>>,
        notes: &[SuspectNote],
    ) {
        let notes_encoded = match postcard::to_stdvec(notes) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(event = "suspect_notes_unencodable", error:% = error; "cannot encode the notes on ended backend servers for control");
                return;
            }
        };
        let request = NoteSuspectsRequest {
            vm: self.vm.as_str().to_owned(),
            notes_encoded,
        };
        for _ in 0..MAX_TRIES {
            let Ok(client) = replica
                .wait_for(Option::is_some)
                .await
                .map(|client| client.clone())
            else {
                return;
            };
            let Some(mut client) = client else {
                continue;
            };
            let call = client.note_suspects(request.clone());
            if let Ok(Ok(_)) = tokio::time::timeout(ANSWER_TIMEOUT, call).await {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        log::warn!(event = "suspect_notes_lost", count = notes.len(); "no control replica confirmed the notes on ended backend servers; dropped them");
    }
}
