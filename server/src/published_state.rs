//! State that a control replica publishes to the tasks that serve direct dispatch.
//!
//! The replica's own task changes the state; readers get a shared copy of it whenever it
//! changes, so that hundreds of waiting entry VMs add no load to that task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::order_stamp::OrderStamp;
use heatherring_lib::raft::Raft;
use heatherring_lib::raft_effects::Role;
use heatherring_lib::raft_message::ReplicaInfo;
use tokio::sync::watch;

/// Age up to which a replica's last proof of being current is valid. With heartbeats every 100 ms
/// and a round trip of 110 ms between regions, a proof is 0.4 to 0.5 s old before the next one
/// arrives; the rest allows for a few late heartbeats.
pub const MAX_PROOF_AGE: Duration = Duration::from_millis(950);

/// Applied state of a replica, with the proof that belongs to it. An answer reads it once: a proof
/// that is read separately may be that of a later state.
#[derive(Clone, Debug, Default)]
pub struct PublishedState {
    /// State on which direct dispatch relies.
    pub fleet: Arc<FleetState>,
    /// All replicas, learners included.
    pub replicas: Arc<Vec<ReplicaInfo>>,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// Address of the leader; `None` if it is unknown.
    pub leader: Option<SocketAddr>,
    /// The latest time such that the state includes everything committed before it; `None` if none
    /// is proved.
    pub proved_at: Option<Instant>,
    /// The latest heartbeat round of the leader that is known; `None` at the leader, and without
    /// one.
    pub known_round: Option<OrderStamp>,
}

impl PublishedState {
    /// Returns whether the last proof of being current is recent enough.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.proof_age(now).is_some_and(|age| age < MAX_PROOF_AGE)
    }

    /// Returns the time since the state was last proved to be current; `None` if it isn't.
    #[must_use]
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        let proved_at = self.proved_at?;
        Some(now.saturating_duration_since(proved_at))
    }
}

/// Publishes a replica's state.
#[derive(Debug)]
pub struct StatePublisher {
    published: watch::Sender<PublishedState>,
}

/// Reads a replica's published state.
#[derive(Clone, Debug)]
pub struct StateReader {
    published: watch::Receiver<PublishedState>,
}

/// Creates a publisher and a reader; the published state is empty at first.
#[must_use]
pub fn channel() -> (StatePublisher, StateReader) {
    let (published_tx, published) = watch::channel(PublishedState::default());
    let state_publisher = StatePublisher {
        published: published_tx,
    };
    (state_publisher, StateReader { published })
}

impl StatePublisher {
    /// Publishes the present state and its proof in one step. Wakes readers only if the state
    /// changed, since proofs change with each heartbeat.
    pub fn publish(&self, raft: &Raft, state: &ControlState) {
        let leads = raft.role() == Role::Leader;
        // Committed entries may wait for records that are still being written.
        let is_applied = state.revision() >= raft.commit();
        self.published.send_if_modified(|published| {
            published.proved_at = raft.proven_current_at().filter(|_| is_applied);
            published.known_round = raft.known_round();
            let fleet_changed = !Arc::ptr_eq(&published.fleet, state.fleet());
            if fleet_changed {
                published.fleet = Arc::clone(state.fleet());
            }
            let membership = raft.membership();
            let known = published.replicas.iter();
            let replicas_changed = !known.eq(membership.ids().filter_map(|id| membership.info(id)));
            if replicas_changed {
                let infos = membership.ids().filter_map(|id| membership.info(id));
                published.replicas = Arc::new(infos.cloned().collect());
            }
            let leader = raft.leader().and_then(|id| membership.info(id));
            let leader = leader.map(|info| info.address);
            let leader_changed = published.leads != leads || published.leader != leader;
            (published.leads, published.leader) = (leads, leader);
            fleet_changed || replicas_changed || leader_changed
        });
    }
}

impl StateReader {
    /// Returns the state as last published.
    #[must_use]
    pub fn read(&self) -> PublishedState {
        self.published.borrow().clone()
    }

    /// Returns the stamp of an order that is taken now, in case that it is passed on to the leader;
    /// `None` at the leader, and without one.
    #[must_use]
    pub fn order_stamp(&self) -> Option<OrderStamp> {
        self.published.borrow().known_round
    }

    /// Returns whether the last proof of being current is recent enough.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.published.borrow().is_current(now)
    }

    /// Returns the time since the replica was last proved to be current; `None` if it never was.
    #[must_use]
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.published.borrow().proof_age(now)
    }

    /// Waits until the last proof of being current has expired.
    pub async fn proof_expired(&self, clock: &dyn Clock) {
        loop {
            let now = clock.now();
            let age = self.proof_age(now).unwrap_or(MAX_PROOF_AGE);
            if age >= MAX_PROOF_AGE {
                return;
            }
            tokio::time::sleep(MAX_PROOF_AGE.saturating_sub(age)).await;
        }
    }

    /// Waits until the published state changes; forever if the replica has ended.
    pub async fn changed(&mut self) {
        if self.published.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
