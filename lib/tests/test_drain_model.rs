//! Backend servers that leave, in every order in which their announcements and withdrawals may
//! reach control replicas and be committed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use heatherring_lib::announcement_decision;
use heatherring_lib::announcement_decision::AnnouncementDecision;
use heatherring_lib::announcement_decision::SenderObservation;
use heatherring_lib::encoding;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendChange;
use heatherring_lib::fleet_record::BackendIncarnation;
use heatherring_lib::fleet_record::BackendRecord;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::VersionName;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::TestCaseError;

/// Number of backend servers; all share one address.
const SERVERS: usize = 3;

/// One step of a run. Indexes are taken modulo the number of what they choose from.
#[derive(Clone, Debug)]
enum Step {
    /// A backend server sends an announcement, which arrives at some time or never.
    Announce { server: usize },
    /// It announces from now on that it is draining.
    Leave { server: usize },
    /// It ends and starts again under the same name.
    Restart { server: usize },
    /// It numbers its announcements anew, and goes on as the same incarnation.
    Renumber { server: usize },
    /// An announcement arrives at a replica; it may arrive again later.
    Arrive {
        announcement: usize,
        is_behind: bool,
        may_reclaim: bool,
        again: bool,
    },
    /// A change that waits at a replica is committed; it may be committed again later.
    Commit { waiting: usize, again: bool },
    /// A backend server withdraws.
    Withdraw { server: usize },
    /// A silent backend server is forgotten.
    Forget { server: usize },
    /// The replica that is behind catches up.
    CatchUp,
    /// The state goes through a snapshot.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let server = || 0..SERVERS;
    prop_oneof![
        6 => server().prop_map(|server| Step::Announce { server }),
        2 => server().prop_map(|server| Step::Leave { server }),
        1 => server().prop_map(|server| Step::Restart { server }),
        8 => (any::<usize>(), any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
            |(announcement, is_behind, may_reclaim, again)| Step::Arrive {
                announcement,
                is_behind,
                may_reclaim,
                again,
            }
        ),
        4 => (any::<usize>(), any::<bool>())
            .prop_map(|(waiting, again)| Step::Commit { waiting, again }),
        1 => server().prop_map(|server| Step::Withdraw { server }),
        1 => server().prop_map(|server| Step::Forget { server }),
        2 => proptest::strategy::Just(Step::CatchUp),
        1 => proptest::strategy::Just(Step::Restore),
    ]
}

fn step_with_numbers_that_go_back() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        2 => (0..SERVERS).prop_map(|server| Step::Renumber { server }),
    ]
}

/// A backend server as it sees itself.
#[derive(Clone, Copy, Debug, Default)]
struct Server {
    born: u64,
    sequence: u64,
    leaves: bool,
}

fn name(server: usize) -> BackendName {
    BackendName::new(format!("backend-{server}"))
}

fn record(server: Server) -> BackendRecord {
    let state = if server.leaves {
        BackendState::Draining
    } else {
        BackendState::Ready
    };
    BackendRecord {
        service: ServiceName::new("registry"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        place: PlaceName::new("fko-hakata"),
        slots: 3,
        state,
        born: server.born,
        sequence: server.sequence,
        cold_for: Duration::ZERO,
        version: VersionName::new(""),
    }
}

/// Control with a replica that is up to date and one that is behind.
struct Run {
    servers: [Server; SERVERS],
    /// Whether backend servers name their incarnation.
    named: bool,
    under_way: Vec<(BackendName, BackendRecord)>,
    waiting: Vec<BackendChange>,
    index: u64,
    state: FleetState,
    behind: FleetState,
    /// Latest incarnation of each backend server whose end was confirmed.
    confirmed: BTreeMap<BackendName, u64>,
    /// Backend servers that were in use when their end was confirmed.
    confirmed_in_use: Vec<BackendName>,
}

impl Run {
    fn new(named: bool) -> Self {
        let server = Server {
            born: u64::from(named),
            ..Server::default()
        };
        Self {
            servers: [server; SERVERS],
            named,
            under_way: Vec::new(),
            waiting: Vec::new(),
            index: 0,
            state: FleetState::default(),
            behind: FleetState::default(),
            confirmed: BTreeMap::new(),
            confirmed_in_use: Vec::new(),
        }
    }

    fn next_index(&mut self) -> Revision {
        self.index += 1;
        Revision(self.index)
    }

    fn replica(&self, is_behind: bool) -> &FleetState {
        if is_behind { &self.behind } else { &self.state }
    }

    /// Confirms an end on the strength of the state of a replica.
    fn confirm(&mut self, backend: &BackendName, born: u64, is_behind: bool) {
        if is_in_use(self.replica(is_behind), backend, born) {
            self.confirmed_in_use.push(backend.clone());
        }
        let confirmed = self.confirmed.entry(backend.clone()).or_default();
        *confirmed = born.max(*confirmed);
    }

    /// Commits a change; returns whether it has taken effect.
    fn commit(&mut self, change: BackendChange) -> bool {
        let index = self.next_index();
        let command = FleetCommand::Announce(vec![change]);
        command.apply(index, &mut self.state).is_none()
    }

    fn arrive(
        &mut self,
        is_behind: bool,
        may_reclaim: bool,
        arrived: (BackendName, BackendRecord),
    ) {
        let (backend, record) = arrived;
        let fleet = self.replica(is_behind);
        let drains = record.state == BackendState::Draining;
        let born = record.born;
        if announcement_decision::has_ended(fleet, &backend, &record) {
            if drains {
                self.confirm(&backend, born, is_behind);
            }
            return;
        }
        let successor = announcement_decision::successor_at_address(fleet, &backend, &record);
        let observed = SenderObservation {
            may_reclaim: successor.is_none() || may_reclaim,
            new_cold_phase: false,
        };
        match announcement_decision::decide(fleet, &backend, &record, observed) {
            AnnouncementDecision::Commit(change) if drains => {
                if self.commit(change) {
                    self.confirm(&backend, born, false);
                }
            }
            AnnouncementDecision::Commit(change) => self.waiting.push(change),
            AnnouncementDecision::Unchanged if drains => self.confirm(&backend, born, is_behind),
            AnnouncementDecision::Unchanged | AnnouncementDecision::Overtaken => {}
        }
    }

    fn withdraw(&mut self, server: usize) {
        let incarnation = BackendIncarnation {
            backend: name(server),
            born: self.servers[server].born,
        };
        let index = self.next_index();
        self.state.withdraw(index, &incarnation);
        self.confirm(&incarnation.backend, incarnation.born, false);
    }

    fn forget(&mut self, server: usize) {
        let backend = name(server);
        let Some(known) = self.state.backend(&backend) else {
            return;
        };
        let born = known.born;
        let index = self.next_index();
        let forgotten = [BackendIncarnation { backend, born }];
        self.state.forget_backends(index, &forgotten);
        // No announcement of an earlier incarnation is under way for as long as that takes.
        let [BackendIncarnation { backend, .. }] = &forgotten;
        self.under_way
            .retain(|(name, record)| name != backend || record.born >= born);
        self.waiting
            .retain(|change| change.backend != *backend || change.record.born >= born);
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Announce { server } => {
                self.servers[server].sequence += 1;
                let record = record(self.servers[server]);
                self.under_way.push((name(server), record));
            }
            Step::Leave { server } => self.servers[server].leaves = true,
            Step::Restart { server } if self.named => {
                let born = self.servers[server].born + 1;
                self.servers[server] = Server {
                    born,
                    ..Server::default()
                };
            }
            Step::Restart { .. } => {}
            Step::Renumber { server } => self.servers[server].sequence = 0,
            Step::Arrive {
                announcement,
                is_behind,
                may_reclaim,
                again,
            } => {
                if let Some(arrived) = draw(&mut self.under_way, announcement, again) {
                    self.arrive(is_behind, may_reclaim, arrived);
                }
            }
            Step::Commit { waiting, again } => {
                if let Some(change) = draw(&mut self.waiting, waiting, again) {
                    self.commit(change);
                }
            }
            Step::Withdraw { server } => self.withdraw(server),
            Step::Forget { server } => self.forget(server),
            Step::CatchUp => self.behind = self.state.clone(),
            Step::Restore => {
                let snapshot = encoding::encode(1, &self.state).unwrap();
                self.state = encoding::decode(1, &snapshot).unwrap();
            }
        }
    }

    /// Checks that no backend server is in use whose end was confirmed.
    fn check(&self) -> Result<(), TestCaseError> {
        for (backend, born) in &self.confirmed {
            prop_assert!(
                !is_in_use(&self.state, backend, *born),
                "{backend} is in use"
            );
        }
        Ok(())
    }
}

/// Returns whether a state has this incarnation of a backend server, or an earlier one, in use.
fn is_in_use(fleet: &FleetState, backend: &BackendName, born: u64) -> bool {
    let known = fleet.backend(backend);
    known.is_some_and(|known| known.state == BackendState::Ready && known.born <= born)
}

fn draw<T: Clone>(items: &mut Vec<T>, index: usize, again: bool) -> Option<T> {
    let index = index.checked_rem(items.len())?;
    if again {
        items.get(index).cloned()
    } else {
        Some(items.remove(index))
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config::with_cases(4_096))]

    /// Guards against a backend server that is put back in use after control confirmed that it is
    /// draining or gone.
    #[test]
    fn test_drain_model_confirmed_end_is_final(
        named in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut run = Run::new(named);
        for step in &steps {
            run.take(step);
            run.check()?;
        }
    }

    /// Guards against the confirmation of a draining announcement that was overtaken before it was
    /// committed, by a backend server whose numbers go back.
    #[test]
    fn test_drain_model_confirmation_follows_from_a_committed_state(
        named in any::<bool>(),
        steps in proptest::collection::vec(step_with_numbers_that_go_back(), 1..60),
    ) {
        let mut run = Run::new(named);
        for step in &steps {
            run.take(step);
            prop_assert!(run.confirmed_in_use.is_empty(), "{:?}", run.confirmed_in_use);
        }
    }
}
