//! Task of a control replica that conducts rollouts: it gathers what entry VMs observe, passes it on
//! to the leader, and decides on the next stages while this replica leads.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::clock::Clock;
use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::fleet_command::FleetCommand;
use heatherring_lib::fleet_record::BackendState;
use heatherring_lib::fleet_state::FleetState;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::Revision;
use heatherring_lib::id::RouteName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::presence::Absent;
use heatherring_lib::rollout::RollbackReason;
use heatherring_lib::rollout::Rollout;
use heatherring_lib::rollout::RolloutPhase;
use heatherring_lib::rollout::RolloutStep;
use heatherring_lib::rollout::evidence::RouteHash;
use heatherring_lib::rollout::observer::RolloutReport;
use heatherring_lib::rollout::observer::VmHash;
use heatherring_lib::rollout::plan::Decision;
use heatherring_lib::rollout::plan::RolloutFigures;
use heatherring_lib::rollout::plan::RolloutSituation;
use heatherring_lib::rollout::plan::RolloutWatch;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tonic::transport::Channel;

use crate::metric;
use crate::node_request::NodeHandle;
use crate::peer_channel::PeerChannels;
use crate::presence_task::PresenceHandle;
use crate::presence_task::PresenceView;
use crate::proto::ObserveRequest;
use crate::proto::fleet_client::FleetClient;
use crate::published_state::PublishedState;
use crate::published_state::StateReader;

/// Interval of decisions, and of reports to the leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a report to the leader.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a decision that was proposed is proposed again if it has no effect.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// Dependencies of the task.
#[derive(Debug)]
pub struct RolloutSetup {
    /// Identity of the cluster, by which the leader accepts reports.
    pub cluster: ClusterId,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Reads the replica's applied state.
    pub published: StateReader,
    /// Who is absent.
    pub presence: PresenceHandle,
    /// Proposes the next stages.
    pub node: NodeHandle,
    /// Opens the connection to the leader.
    pub channels: PeerChannels,
}

/// Sends messages to the task.
#[derive(Clone, Debug)]
pub struct RolloutHandle {
    tx: mpsc::UnboundedSender<Observation>,
    figures: watch::Receiver<BTreeMap<ServiceName, RolloutFigures>>,
}

impl RolloutHandle {
    /// Adds what entry VMs have observed. Reports that another replica has `relayed` are not
    /// passed on again.
    pub fn observe(&self, reports: Vec<RolloutReport>, relayed: bool) {
        // The task runs as long as a handle exists.
        let _ = self.tx.send(Observation { reports, relayed });
    }

    /// Returns the figures that this replica has on the latest rollouts; complete on the leader
    /// only.
    #[must_use]
    pub fn figures(&self) -> BTreeMap<ServiceName, RolloutFigures> {
        self.figures.borrow().clone()
    }
}

#[derive(Debug)]
struct Observation {
    reports: Vec<RolloutReport>,
    relayed: bool,
}

struct RolloutTask {
    setup: RolloutSetup,
    rollouts: BTreeMap<ServiceName, Observed>,
    /// Reports for the leader, by the order of their rollout.
    outgoing: BTreeMap<Revision, RolloutReport>,
    leader: Option<(SocketAddr, FleetClient<Channel>)>,
    figures: watch::Sender<BTreeMap<ServiceName, RolloutFigures>>,
}

/// A rollout as known here.
struct Observed {
    watch: RolloutWatch,
    rollout: Rollout,
    /// Entry VMs that have no requests in progress at other versions.
    idle: BTreeSet<VmHash>,
    proposed_at: Option<Instant>,
}

/// Starts the task.
#[must_use]
pub fn spawn(setup: RolloutSetup) -> RolloutHandle {
    let (tx, rx) = mpsc::unbounded_channel();
    let (figures_tx, figures) = watch::channel(BTreeMap::new());
    let task = RolloutTask {
        setup,
        rollouts: BTreeMap::new(),
        outgoing: BTreeMap::new(),
        leader: None,
        figures: figures_tx,
    };
    tokio::spawn(task.run(rx));
    RolloutHandle { tx, figures }
}

impl RolloutTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Observation>) {
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let in_progress = self.rollouts.values().any(Observed::is_in_progress);
            tokio::select! {
                observation = rx.recv() => match observation {
                    Some(observation) => self.note(&observation),
                    None => return,
                },
                () = self.setup.published.changed() => self.follow(),
                _ = check.tick(), if in_progress => self.check(),
            }
        }
    }

    /// Follows the replicated state.
    fn follow(&mut self) {
        let now = self.setup.clock.now();
        let PublishedState { fleet, leads, .. } = self.setup.published.read();
        self.rollouts
            .retain(|service, _| fleet.rollouts().get(service).is_some());
        for (service, rollout) in fleet.rollouts().iter() {
            let known = self.rollouts.get_mut(service);
            let changed = match known {
                Some(known) if known.rollout == *rollout => false,
                Some(known) if known.rollout.id == rollout.id => {
                    known.follow(now, rollout);
                    true
                }
                _ => {
                    let observed = Observed::new(now, rollout);
                    self.rollouts.insert(service.clone(), observed);
                    true
                }
            };
            if changed && leads {
                log_stage(service, rollout);
            }
        }
    }

    fn note(&mut self, observation: &Observation) {
        let now = self.setup.clock.now();
        for report in &observation.reports {
            let known = self
                .rollouts
                .values_mut()
                .find(|observed| observed.rollout.id == report.rollout);
            if let Some(known) = known {
                known.watch.note(now, report.evidence.clone());
                known.idle.extend(&report.idle);
            }
            if !observation.relayed {
                report.merge_into(&mut self.outgoing);
            }
        }
    }

    fn check(&mut self) {
        let published = self.setup.published.read();
        if published.leads {
            self.outgoing.clear();
            self.decide(&published);
        } else {
            self.report(&published);
        }
        let now = self.setup.clock.now();
        let figures = self.rollouts.iter();
        let figures =
            figures.map(|(service, observed)| (service.clone(), observed.watch.figures(now)));
        self.figures.send_replace(figures.collect());
    }

    /// Sends what was observed here since the last report to the leader.
    fn report(&mut self, published: &PublishedState) {
        if self.outgoing.is_empty() {
            return;
        }
        let Some(mut client) = self.leader_client(published) else {
            return;
        };
        let reports: Vec<RolloutReport> =
            std::mem::take(&mut self.outgoing).into_values().collect();
        let Ok(reports_encoded) = postcard::to_stdvec(&reports) else {
            log::error!(event = "report_unencodable"; "cannot encode a report on rollouts");
            return;
        };
        let request = ObserveRequest {
            cluster_id: self.setup.cluster.0.to_vec(),
            reports_encoded,
        };
        tokio::spawn(async move {
            let call = tokio::time::timeout(REPORT_TIMEOUT, client.observe(request)).await;
            if !matches!(call, Ok(Ok(_))) {
                log::debug!(event = "rollout_report_lost"; "a report on rollouts did not reach the leader");
            }
        });
    }

    fn leader_client(&mut self, published: &PublishedState) -> Option<FleetClient<Channel>> {
        let address = published.leader?;
        if let Some((known, client)) = &self.leader
            && *known == address
        {
            return Some(client.clone());
        }
        let client = self.setup.channels.fleet_client(address)?;
        self.leader = Some((address, client.clone()));
        Some(client)
    }

    /// Decides on the next stage of each rollout.
    fn decide(&mut self, published: &PublishedState) {
        let now = self.setup.clock.now();
        let presence = self.setup.presence.view();
        for (service, observed) in &mut self.rollouts {
            if observed.is_waiting(now) {
                continue;
            }
            let situation = observed.situation(&published.fleet, &presence);
            let Some(decision) = observed.watch.decide(now, situation) else {
                continue;
            };
            observed.proposed_at = Some(now);
            let elapsed = observed.watch.elapsed(now);
            log_decision(service, &observed.rollout, &decision, elapsed);
            let step = RolloutStep {
                service: service.clone(),
                id: observed.rollout.id,
                phase: with_route(decision, &published.fleet),
                elapsed,
            };
            propose(self.setup.node.clone(), step);
        }
    }
}

impl Observed {
    fn new(now: Instant, rollout: &Rollout) -> Self {
        Self {
            watch: RolloutWatch::new(now, rollout),
            rollout: rollout.clone(),
            idle: BTreeSet::new(),
            proposed_at: None,
        }
    }

    fn is_in_progress(&self) -> bool {
        !self.rollout.phase.is_over()
    }

    fn follow(&mut self, now: Instant, rollout: &Rollout) {
        self.watch.follow(now, rollout);
        self.rollout = rollout.clone();
        self.proposed_at = None;
    }

    /// Returns whether an earlier decision may still take effect.
    fn is_waiting(&self, now: Instant) -> bool {
        self.proposed_at.is_some_and(|at| now < at + REPEAT_AFTER)
    }

    fn situation(&self, fleet: &FleetState, presence: &PresenceView) -> RolloutSituation {
        let is_finishing = self.rollout.phase == RolloutPhase::Finishing;
        RolloutSituation {
            usable_targets: usable_targets(&self.rollout, fleet, presence),
            others_idle: is_finishing && self.all_idle(fleet, presence),
        }
    }

    fn all_idle(&self, fleet: &FleetState, presence: &PresenceView) -> bool {
        let mut live = fleet.entries().filter(|(vm, _)| presence.is_live(vm));
        live.all(|(vm, _)| self.idle.contains(&VmHash::of(vm)))
    }
}

fn usable_targets(rollout: &Rollout, fleet: &FleetState, presence: &PresenceView) -> usize {
    let is_silent = |name: &BackendName| {
        let absent = presence.absent.as_ref();
        absent.is_some_and(|absent| absent.members().contains(&Absent::Backend(name.clone())))
    };
    let targets = fleet.backends().filter(|(name, record)| {
        record.service == rollout.order.service
            && record.version == rollout.order.target
            && record.state == BackendState::Ready
            && !fleet.is_evacuated(&record.place)
            && !is_silent(name)
    });
    targets.count()
}

/// Returns the decided stage, with the name of the route if the target version is worse there.
fn with_route(decision: Decision, fleet: &FleetState) -> RolloutPhase {
    let mut phase = decision.phase;
    let compared = decision.comparison.map(|comparison| comparison.route);
    if let RolloutPhase::RolledBack(RollbackReason::Worse { route, .. }) = &mut phase {
        *route = compared.and_then(|hash| route_name(fleet, hash));
    }
    phase
}

fn route_name(fleet: &FleetState, hash: RouteHash) -> Option<RouteName> {
    let mut names = fleet.manifest().routes.keys();
    names.find(|name| RouteHash::of(name) == hash).cloned()
}

fn propose(node: NodeHandle, step: RolloutStep) {
    tokio::spawn(async move {
        let command = FleetCommand::StepRollout(step);
        if let Err(error) = node.propose_fleet(command).await {
            log::debug!(event = "rollout_step_open", error:% = error; "stage of a rollout not known to be committed; it is decided again");
        }
    });
}

fn log_stage(service: &ServiceName, rollout: &Rollout) {
    metric::rollout(rollout.phase.name());
    log::info!(event = "rollout_stage", service = service.as_str(), target = rollout.order.target.as_str(), phase = rollout.phase.name(), share = rollout.phase.share().0, rollout = rollout.id.0, elapsed_ms = whole_ms(rollout.elapsed); "rollout reached a stage");
}

fn log_decision(service: &ServiceName, rollout: &Rollout, decision: &Decision, elapsed: Duration) {
    let compared = decision.comparison;
    log::info!(
        event = "rollout_decision",
        service = service.as_str(),
        target = rollout.order.target.as_str(),
        phase = decision.phase.name(),
        share = decision.phase.share().0,
        elapsed_ms = whole_ms(elapsed),
        defect = compared.map_or("", |compared| compared.defect.name()),
        answers = compared.map_or(0, |compared| compared.answers),
        target_bad = compared.map_or(0.0, |compared| compared.target),
        others_bad = compared.map_or(0.0, |compared| compared.others),
        odds = compared.map_or(0.0, |compared| compared.odds),
        errors = compared.map_or(0.0, |compared| compared.errors),
        group_odds = compared.map_or(0.0, |compared| compared.group_odds);
        "decided on the next stage of a rollout, by the route where the target version looks worst"
    );
}
