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

/// Applied state of a replica.
#[derive(Clone, Debug)]
pub struct PublishedState {
    /// State on which direct dispatch relies.
    pub fleet: Arc<FleetState>,
    /// All replicas, learners included.
    pub replicas: Arc<Vec<ReplicaInfo>>,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// Address of the leader; `None` if it is unknown.
    pub leader: Option<SocketAddr>,
}

/// Publishes a replica's state.
#[derive(Debug)]
pub struct StatePublisher {
    published: watch::Sender<PublishedState>,
    proved_at: watch::Sender<Option<Instant>>,
    known_round: watch::Sender<Option<OrderStamp>>,
}

/// Reads a replica's published state.
#[derive(Clone, Debug)]
pub struct StateReader {
    published: watch::Receiver<PublishedState>,
    proved_at: watch::Receiver<Option<Instant>>,
    known_round: watch::Receiver<Option<OrderStamp>>,
}

/// Creates a publisher and a reader; the published state is empty at first.
#[must_use]
pub fn channel() -> (StatePublisher, StateReader) {
    let (published_tx, published) = watch::channel(PublishedState {
        fleet: Arc::default(),
        replicas: Arc::default(),
        leads: false,
        leader: None,
    });
    let (proved_tx, proved_at) = watch::channel(None);
    let (round_tx, known_round) = watch::channel(None);
    let state_publisher = StatePublisher {
        published: published_tx,
        proved_at: proved_tx,
        known_round: round_tx,
    };
    (
        state_publisher,
        StateReader {
            published,
            proved_at,
            known_round,
        },
    )
}

impl StatePublisher {
    /// Publishes the present state; wakes readers only if it changed.
    pub fn publish(&self, raft: &Raft, state: &ControlState) {
        self.proved_at.send_replace(raft.proven_current_at());
        self.known_round.send_replace(raft.known_round());
        let leads = raft.role() == Role::Leader;
        self.published.send_if_modified(|published| {
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
        *self.known_round.borrow()
    }

    /// Returns whether the last proof of being current is recent enough.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        let proved = *self.proved_at.borrow();
        proved.is_some_and(|at| now.saturating_duration_since(at) < MAX_PROOF_AGE)
    }

    /// Returns the time since the replica was last proved to be current; `None` if it never was.
    #[must_use]
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        let proved = *self.proved_at.borrow();
        proved.map(|at| now.saturating_duration_since(at))
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
