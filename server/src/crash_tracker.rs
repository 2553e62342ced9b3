//! Finds out under which requests backend servers end, and tells control.
//!
//! The decisions are those of [`CrashEvidence`]. A request that breaks is followed by one new
//! connection to its backend server: that it is refused is proof within a round trip.

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

use crate::announcement_batch::gathered;
use crate::backend_pool::BackendPool;
use crate::metric;
use crate::proto::NoteSuspectsRequest;
use crate::proto::fleet_client::FleetClient;

/// Time for which a connection is waited for: a way to another region and back, and a busy
/// moment.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// When the caller of a quarantined request is told to come back. Nothing changes sooner than
/// minutes; a refusal for good would be wrong where the request is innocent after all.
const QUARANTINE_RETRY: Duration = Duration::from_secs(30);

/// Notes that wait for control at most.
const MOST_NOTES: usize = 1_024;

/// Notes that are told together at most.
const MOST_TOGETHER: usize = 128;

/// Time for which notes are gathered: what stood on one backend server breaks together.
const GATHER_FOR: Duration = Duration::from_millis(50);

/// Time for which the answer of a replica is awaited; it may have to ask the leader.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

/// Pause before notes are told again that weren't confirmed.
const AGAIN_PAUSE: Duration = Duration::from_millis(100);

/// Tries to tell notes; together with the time of an answer longer than an election.
const MOST_TRIES: usize = 20;

/// Fingerprints that a log line names at most.
const MOST_NAMED: usize = 8;

/// Reaches what an entry VM knows of requests that may end backend servers.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Arc<dyn Clock>,
    pool: BackendPool,
    state: Mutex<State>,
    /// Nothing where there is nobody to tell.
    notes: Option<mpsc::Sender<SuspectNote>>,
}

#[derive(Debug)]
struct State {
    key: FingerprintKey,
    lives: Arc<dyn BackendIncarnations>,
    evidence: CrashEvidence,
    /// Backend servers that are being connected to.
    asked: BTreeSet<BackendIncarnation>,
}

impl State {
    fn new(key: FingerprintKey, lives: Arc<dyn BackendIncarnations>) -> Self {
        Self {
            key,
            lives,
            evidence: CrashEvidence::default(),
            asked: BTreeSet::new(),
        }
    }
}

/// Backend servers whose lives are known by what is seen of them alone.
#[derive(Debug)]
struct OwnedLives;

impl BackendIncarnations for OwnedLives {
    fn was_replaced(&self, _life: &BackendIncarnation) -> bool {
        false
    }

    fn is_leaving(&self, _life: &BackendIncarnation) -> bool {
        false
    }
}

/// Names a backend server and how it is reached.
#[derive(Clone, Debug)]
pub struct TrackedBackend {
    /// The backend server.
    pub life: BackendIncarnation,
    /// Its address.
    pub address: SocketAddr,
    /// The bound on connections to it.
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
    /// Creates the watch, and the task's part that tells control.
    #[must_use]
    pub fn new(vm: VmName, clock: Arc<dyn Clock>, pool: BackendPool) -> (Self, SuspectReporter) {
        let (notes, rx) = mpsc::channel(MOST_NOTES);
        let state = State::new(FingerprintKey::default(), Arc::new(FleetView::default()));
        let watch = Self::with(clock, pool, state, Some(notes));
        (watch, SuspectReporter { vm, rx })
    }

    /// Creates the watch of an entry VM that owns its backend servers: it alone sends to them,
    /// so that what it sees is all there is.
    #[must_use]
    pub fn of_owner(clock: Arc<dyn Clock>, pool: BackendPool) -> Self {
        let key = FingerprintKey::of_cluster(ClusterId(rand::random()));
        Self::with(clock, pool, State::new(key, Arc::new(OwnedLives)), None)
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

    /// Takes the key that all entry VMs of the cluster use.
    pub fn set_key(&self, key: FingerprintKey) {
        self.state().key = key;
    }

    /// Takes control's verdicts in.
    pub fn apply_verdicts(&self, verdicts: BTreeMap<Fingerprint, Verdict>) {
        log::info!(event = "verdicts_applied", count = verdicts.len(); "control says which requests are suspected");
        self.state().evidence.apply_verdicts(verdicts);
    }

    /// Follows a view of the fleet, by which backend servers may have ended.
    pub fn apply_view(&self, view: &Arc<FleetView>) {
        self.state().lives = Arc::clone(view) as Arc<_>;
        self.learn(|evidence, now, lives| evidence.apply_incarnations(now, lives));
    }

    /// Names a request that comes from `caller`.
    #[must_use]
    pub fn tag(&self, content: &RequestContent<'_>, caller: IpAddr) -> RequestTag {
        let key = self.state().key;
        RequestTag {
            content: Fingerprint::of(&key, content),
            caller: CallerTag::of(&key, caller),
        }
    }

    /// Returns how a request is to be treated.
    #[must_use]
    pub fn treatment(&self, tag: &RequestTag) -> Option<Treatment> {
        self.state().evidence.treatment(tag)
    }

    /// Lets a request go on, unless it is in quarantine.
    ///
    /// # Errors
    ///
    /// Returns the proof that it isn't run.
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
        self.tell(note);
        let not_run = attempt.refuse(NotRunReason::Quarantined);
        Err(not_run.with_retry_after(QUARANTINE_RETRY))
    }

    /// Follows a request that is being handed to a backend server.
    #[must_use]
    pub fn follow(&self, backend: TrackedBackend, tag: RequestTag) -> TrackedRequest {
        let watched = self.treatment(&tag).is_some();
        TrackedRequest {
            watch: Some(self.clone()),
            backend,
            stood: InFlightRequest { tag, watched },
        }
    }

    /// Returns the present life of a backend server that doesn't tell its lives apart itself.
    #[must_use]
    pub fn incarnation_of(&self, backend: &BackendName) -> BackendIncarnation {
        self.state().evidence.incarnation_of(backend)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = &self.inner.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_unanswered(&self, life: &BackendIncarnation, stood: InFlightRequest) {
        self.learn(|evidence, now, lives| evidence.note_unanswered(now, lives, life, stood));
    }

    /// Tells of the backend servers that are found to have ended by what `note` notes.
    fn learn<E: IntoIterator<Item = Ended>>(
        &self,
        note: impl FnOnce(&mut CrashEvidence, Instant, &dyn BackendIncarnations) -> E,
    ) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        let State {
            lives, evidence, ..
        } = &mut *state;
        let ended = note(evidence, now, &**lives);
        drop(state);
        for ended in ended {
            self.tell_ended(ended);
        }
    }

    /// Connects to a backend server to see whether it has ended.
    fn ask(&self, backend: &TrackedBackend) {
        if !self.state().asked.insert(backend.life.clone()) {
            return;
        }
        let watch = self.clone();
        let TrackedBackend {
            life,
            address,
            max_connections: limit,
        } = backend.clone();
        tokio::spawn(async move {
            let pool = &watch.inner.pool;
            let connected = pool.connect_anew(address, limit, CONNECT_WITHIN).await;
            watch.state().asked.remove(&life);
            match connected {
                Ok(connection) => {
                    pool.give_back(connection);
                    let now = watch.inner.clock.now();
                    watch.state().evidence.note_reachable(now, &life);
                }
                Err(error) if error.is_refused() => {
                    watch.learn(|evidence, now, lives| evidence.note_ended(now, lives, &life));
                }
                // The view tells it, if it has ended.
                Err(_) => {}
            }
        });
    }

    fn tell_ended(&self, ended: Ended) {
        let named = ended.requests.iter().take(MOST_NAMED);
        let named: Vec<String> = named.map(|stood| stood.tag.content.to_string()).collect();
        let named = named.join(", ");
        log::warn!(event = "backend_ended", backend = ended.life.backend.as_str(), standing = ended.requests.len(), fingerprints = named.as_str(); "a backend server ended with requests on it");
        metric::backend_ended(ended.requests.len());
        self.tell(Some(SuspectNote::Ended(ended)));
    }

    fn tell(&self, note: Option<SuspectNote>) {
        let Some(note) = note else {
            return;
        };
        let notes = self.inner.notes.as_ref();
        if notes.is_some_and(|notes| notes.try_send(note).is_err()) {
            log::warn!(event = "suspect_note_lost"; "too much waits to be told to control");
        }
    }
}

/// Follows one request at one backend server. Dropped without a word, it got no answer: its
/// caller left, or its time was over.
#[derive(Debug)]
pub struct TrackedRequest {
    watch: Option<CrashTracker>,
    backend: TrackedBackend,
    stood: InFlightRequest,
}

impl TrackedRequest {
    /// Notes that the backend server didn't get it, or said that it didn't run it.
    pub fn not_run(mut self) {
        self.watch = None;
    }

    /// Notes that it was answered whole.
    pub fn answered(mut self) {
        if let Some(watch) = self.watch.take() {
            let now = watch.inner.clock.now();
            let note = watch.state().evidence.note_answered(now, &self.stood.tag);
            watch.tell(note);
        }
    }

    /// Notes that its connection broke.
    pub fn broken(mut self) {
        if let Some(watch) = self.watch.take() {
            watch.note_unanswered(&self.backend.life, self.stood);
            watch.ask(&self.backend);
        }
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.note_unanswered(&self.backend.life, self.stood);
        }
    }
}

/// Tells control what was noted.
#[derive(Debug)]
pub struct SuspectReporter {
    vm: VmName,
    rx: mpsc::Receiver<SuspectNote>,
}

impl SuspectReporter {
    /// Tells the replica that is followed, until the process ends.
    pub async fn run(mut self, mut replica: watch::Receiver<Option<FleetClient<Channel>>>) {
        while let Some(first) = self.rx.recv().await {
            tokio::time::sleep(GATHER_FOR).await;
            let notes = gathered(first, MOST_TOGETHER, || self.rx.try_recv().ok());
            self.tell(&mut replica, &notes).await;
        }
    }

    /// Tells notes until they are confirmed. Told twice they count once.
    async fn tell(
        &self,
        replica: &mut watch::Receiver<Option<FleetClient<Channel>>>,
        notes: &[SuspectNote],
    ) {
        let notes_encoded = match postcard::to_stdvec(notes) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(event = "suspect_notes_unencodable", error:% = error; "control can't learn of ended backend servers");
                return;
            }
        };
        let request = NoteSuspectsRequest {
            vm: self.vm.as_str().to_owned(),
            notes_encoded,
        };
        for _ in 0..MOST_TRIES {
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
            if let Ok(Ok(_)) = tokio::time::timeout(ANSWER_WITHIN, call).await {
                return;
            }
            tokio::time::sleep(AGAIN_PAUSE).await;
        }
        log::warn!(event = "suspect_notes_lost", count = notes.len(); "no replica confirmed what was noted of ended backend servers");
    }
}
