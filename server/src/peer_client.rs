//! Client for messages to other entry VMs.
//!
//! One task owns the channels. For a slow peer only the newest digest is kept; releases
//! are kept until they are delivered or the peer's session has ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::ownership::Release;
use heatherring_lib::view::ControlView;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;
use tonic::transport::Channel;

use crate::peer_channel::ChannelTimes;
use crate::peer_channel::PeerChannels;
use crate::peer_security::PeerSecurity;
use crate::proto::DigestRequest;
use crate::proto::ReleaseRequest;
use crate::proto::peer_client::PeerClient;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a message to a peer that has not been answered counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed message before the next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reports the round trip time of each answered digest, with the session of the peer.
pub type RoundTrips = mpsc::UnboundedSender<(SessionId, Duration)>;

#[derive(Debug)]
enum Message {
    View(SessionId, Arc<ControlView>),
    Digest(Arc<DigestRequest>),
    Release(SessionId, Release),
    Channel(SessionId, oneshot::Sender<Option<Channel>>),
}

/// Handle of the task that owns the channels.
#[derive(Clone, Debug)]
pub struct PeerClients {
    tx: mpsc::UnboundedSender<Message>,
}

impl PeerClients {
    /// Starts the task for this process, which runs on the entry VM `vm`. It ends when all
    /// clones of the handle are dropped.
    #[must_use]
    pub fn spawn(vm: VmName, security: PeerSecurity, round_trips: RoundTrips) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = PeerTask {
            vm,
            security,
            round_trips,
            own: SessionId::default(),
            peers: BTreeMap::new(),
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Opens channels to the new sessions of a view and closes those of sessions that are
    /// not in it. `own` is the session of this process.
    pub fn apply_view(&self, own: SessionId, view: Arc<ControlView>) {
        self.send(Message::View(own, view));
    }

    /// Sends a digest to all peers. It replaces an older one that has not been sent yet.
    pub fn send_digest(&self, digest: &LoadDigest) {
        let Ok(digest_encoded) = postcard::to_stdvec(digest) else {
            return;
        };
        let request = DigestRequest {
            vm: String::new(),
            session: digest.session.0,
            digest_encoded,
        };
        self.send(Message::Digest(Arc::new(request)));
    }

    /// Sends a release to the new owner, and repeats it until it is delivered or the
    /// owner's session has ended.
    pub fn send_release(&self, to: SessionId, release: Release) {
        self.send(Message::Release(to, release));
    }

    /// Returns the channel to the entry VM of a session; `None` if the latest view doesn't
    /// contain the session, it is this process's own, or its address isn't allowed.
    pub async fn channel(&self, session: SessionId) -> Option<Channel> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Channel(session, reply));
        answer.await.ok().flatten()
    }

    fn send(&self, message: Message) {
        let _ = self.tx.send(message);
    }
}

#[derive(Debug)]
struct Peer {
    channel: Channel,
    digest: watch::Sender<Option<Arc<DigestRequest>>>,
    releases: mpsc::UnboundedSender<ReleaseRequest>,
    _digests_task: AbortOnDropHandle<()>,
    _releases_task: AbortOnDropHandle<()>,
}

struct PeerTask {
    vm: VmName,
    security: PeerSecurity,
    round_trips: RoundTrips,
    own: SessionId,
    peers: BTreeMap<SessionId, Peer>,
}

impl PeerTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = rx.recv().await {
            match message {
                Message::View(own, view) => self.apply_view(own, &view),
                Message::Digest(request) => self.send_digest(&request),
                Message::Release(to, release) => self.send_release(to, &release),
                Message::Channel(session, reply) => {
                    let channel = self.peers.get(&session).map(|peer| peer.channel.clone());
                    let _ = reply.send(channel);
                }
            }
        }
    }

    fn apply_view(&mut self, own: SessionId, view: &ControlView) {
        self.own = own;
        self.peers
            .retain(|session, _| *session != own && view.sessions.contains_key(session));
        for (id, session) in &view.sessions {
            if *id == own || self.peers.contains_key(id) {
                continue;
            }
            match PeerChannels::new(self.security.clone())
                .waiting(ChannelTimes::entry(CONNECT_TIMEOUT))
                .lazy(session.info.peers)
            {
                Ok(channel) => {
                    let peer = self.start(*id, channel);
                    self.peers.insert(*id, peer);
                }
                Err(error) => {
                    log::error!(event = "peer_refused", peer = session.info.vm.as_str(), error = error.to_string().as_str(); "cannot open a channel to another entry VM");
                }
            }
        }
    }

    fn start(&self, id: SessionId, channel: Channel) -> Peer {
        let (digest, digest_rx) = watch::channel(None);
        let (releases, releases_rx) = mpsc::unbounded_channel();
        let client = PeerClient::new(channel.clone());
        let digests_task = send_digests(client.clone(), id, digest_rx, self.round_trips.clone());
        let releases_task = send_releases(client, releases_rx);
        Peer {
            channel,
            digest,
            releases,
            _digests_task: AbortOnDropHandle::new(tokio::spawn(digests_task)),
            _releases_task: AbortOnDropHandle::new(tokio::spawn(releases_task)),
        }
    }

    fn send_digest(&self, request: &Arc<DigestRequest>) {
        for peer in self.peers.values() {
            peer.digest.send_replace(Some(Arc::clone(request)));
        }
    }

    fn send_release(&self, to: SessionId, release: &Release) {
        let Some(peer) = self.peers.get(&to) else {
            return;
        };
        let Ok(encoded) = release.encode() else {
            return;
        };
        let request = ReleaseRequest {
            vm: self.vm.as_str().to_owned(),
            session: self.own.0,
            revision: release.revision.0,
            releases_encoded: vec![encoded],
        };
        let _ = peer.releases.send(request);
    }
}

async fn send_digests(
    mut client: PeerClient<Channel>,
    session: SessionId,
    mut digests: watch::Receiver<Option<Arc<DigestRequest>>>,
    round_trips: RoundTrips,
) {
    while digests.changed().await.is_ok() {
        let Some(request) = digests.borrow_and_update().clone() else {
            continue;
        };
        let sent = tokio::time::Instant::now();
        let call = client.digest(DigestRequest::clone(&request));
        if matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(_))) {
            let _ = round_trips.send((session, sent.elapsed()));
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn send_releases(
    mut client: PeerClient<Channel>,
    mut releases: mpsc::UnboundedReceiver<ReleaseRequest>,
) {
    while let Some(request) = releases.recv().await {
        loop {
            let call = client.release(request.clone());
            if matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(_))) {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
