//! Plans which control replicas an entry VM contacts, and when.
//!
//! The entry VM follows one replica, the nearest usable one, by long polls that the replica may
//! hold until there are changes. While no replica is followed, and once an answer is late, others
//! are probed in parallel, in as many regions as possible: replicas near each other tend to fail
//! together, and probing them one after the other may take longer than a confirmed change may take
//! to be in force. The first usable one is followed. A nearer replica that may be usable again is
//! probed before the followed one is left.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::replica_choice::ReplicaChoice;
use crate::replica_choice::ReplicaSite;
use crate::replica_choice::Unusable;
use crate::replica_timeout::ANSWER_TIMEOUT;
use crate::replica_timeout::HEDGE_AFTER;
use crate::replica_timeout::ReplicaTimeout;

/// Pause before the next probes after none found a usable replica.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Pause after an update before the next poll. A single change after an idle period is delivered at
/// once; a series of changes, as when many VMs or backend servers start or leave, is batched.
/// Without the pause each change would be a separate answer to every entry VM.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Number of replicas probed at a time: one more than the failures that are tolerated at once.
const PARALLEL_PROBES: usize = 3;

/// Delay between the starts of successive probes, so that the nearest usable replica usually
/// answers first.
const PROBE_STAGGER: Duration = Duration::from_millis(40);

/// Time for which the poll of a replica just chosen is delayed while a nearer one is probed, since
/// the first answer carries the whole state: 45 KB for 900 backend servers take 0.2 s over a link
/// of 2 Mbit/s.
const NEARER_PROBE_TIME: Duration = Duration::from_millis(100);

/// Action to be taken by the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// Probe a replica: ask whether it is usable, without the state.
    Probe(SocketAddr),
    /// Poll the followed replica for changes, in place of any earlier request to it. It may hold
    /// its answer back for [`LONG_POLL_HOLD`](crate::replica_timeout::LONG_POLL_HOLD).
    Poll(SocketAddr),
    /// Cancel the request to a replica that is no longer needed.
    Cancel(SocketAddr),
    /// Cancel the request to a replica that did not answer in time.
    TimedOut(SocketAddr),
}

/// Outcome of a request to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowOutcome {
    /// The replica is usable.
    Usable {
        /// Whether its answer contained changes.
        has_changes: bool,
    },
    /// The replica is not usable.
    Unusable(Unusable),
}

/// The followed replica.
#[derive(Clone, Copy, Debug)]
struct Followed {
    replica: SocketAddr,
    poll: PollState,
    /// Whether other replicas were probed since the poll was sent.
    is_hedged: bool,
}

#[derive(Clone, Copy, Debug)]
enum PollState {
    /// Sent at this time and not answered yet.
    Sent(Instant),
    /// To be sent at this time.
    Scheduled(Instant),
}

/// Purpose of the current probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbePurpose {
    /// No replica is followed, or the followed one does not answer.
    Search,
    /// A replica nearer than the followed one may be usable.
    Nearer,
}

/// A planned or started probe of a replica.
#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    replica: SocketAddr,
    starts_at: Instant,
    is_started: bool,
}

/// State machine that selects the replica to follow and schedules probes and polls.
#[derive(Debug)]
pub struct FollowPlan {
    choice: ReplicaChoice,
    timeout: ReplicaTimeout,
    followed: Option<Followed>,
    probes: Vec<PendingProbe>,
    purpose: ProbePurpose,
    /// When the probes time out.
    probes_deadline: Instant,
    /// When the next probes start while no replica is followed.
    search_at: Instant,
    rng: ChaCha8Rng,
}

impl FollowPlan {
    /// Creates a plan that follows no replica. `seed` must differ between entry VMs, which would
    /// otherwise all return to a replica at the same moment.
    #[must_use]
    pub fn new(choice: ReplicaChoice, now: Instant, seed: u64) -> Self {
        Self {
            choice,
            timeout: ReplicaTimeout::default(),
            followed: None,
            probes: Vec::new(),
            purpose: ProbePurpose::Search,
            probes_deadline: now,
            search_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Updates the list of replicas: `sites` as named by control, and `seeds`, of which only the
    /// address is known.
    pub fn learn(&mut self, sites: &[ReplicaSite], seeds: &[SocketAddr]) {
        self.choice.learn(sites, seeds);
    }

    /// Returns the followed replica, if any.
    #[must_use]
    pub fn followed(&self) -> Option<SocketAddr> {
        self.followed.map(|followed| followed.replica)
    }

    /// Returns the time by which [`Self::wake`] must be called.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let base_wake = match self.followed {
            None if self.probes.is_empty() => self.search_at,
            None => self.probes_deadline,
            Some(followed) => match followed.poll {
                PollState::Scheduled(at) => at,
                PollState::Sent(at) if followed.is_hedged => at + ANSWER_TIMEOUT,
                PollState::Sent(at) => at + HEDGE_AFTER,
            },
        };
        let waiting = self.probes.iter().filter(|probe| !probe.is_started);
        let begins = waiting.map(|probe| probe.starts_at).min();
        let ends = (!self.probes.is_empty()).then_some(self.probes_deadline);
        [begins, ends]
            .into_iter()
            .flatten()
            .fold(base_wake, Instant::min)
    }

    /// Handles the time-outs and scheduled actions that are due at `now`.
    pub fn wake(&mut self, now: Instant) -> Vec<FollowStep> {
        let mut steps = Vec::new();
        self.expire(now, &mut steps);
        if let Some(followed) = self.followed {
            match followed.poll {
                PollState::Scheduled(at) if at <= now => self.send_poll(now, &mut steps),
                PollState::Sent(at) if at + HEDGE_AFTER <= now && !followed.is_hedged => {
                    self.followed = Some(Followed {
                        is_hedged: true,
                        ..followed
                    });
                    self.search(now);
                }
                _ => {}
            }
        } else if self.search_at <= now {
            self.search(now);
        }
        self.start_probes(now, &mut steps);
        steps
    }

    /// Polls the followed replica at once, because the entry VM's own state has changed.
    pub fn poll_now(&mut self, now: Instant) -> Vec<FollowStep> {
        let mut steps = Vec::new();
        self.send_poll(now, &mut steps);
        steps
    }

    /// Handles the outcome of a request to `replica`.
    pub fn answered(
        &mut self,
        now: Instant,
        replica: SocketAddr,
        answer: FollowOutcome,
    ) -> Vec<FollowStep> {
        let mut steps = Vec::new();
        let is_followed = self.followed() == Some(replica);
        match answer {
            FollowOutcome::Usable { has_changes } if is_followed => {
                self.handle_usable(now, replica, has_changes, &mut steps);
            }
            FollowOutcome::Usable { .. } if self.is_probed(replica) => {
                self.follow(now, replica, &mut steps);
            }
            FollowOutcome::Usable { .. } => {}
            FollowOutcome::Unusable(reason) => self.handle_unusable(now, replica, reason),
        }
        self.start_probes(now, &mut steps);
        steps
    }

    fn is_probed(&self, replica: SocketAddr) -> bool {
        self.probes.iter().any(|probe| probe.replica == replica)
    }

    fn send_poll(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        if let Some(followed) = &mut self.followed {
            followed.poll = PollState::Sent(now);
            followed.is_hedged = false;
            steps.push(FollowStep::Poll(followed.replica));
        }
    }

    /// Plans probes of replicas other than the followed one, in as many regions as possible, unless
    /// probes are under way.
    fn search(&mut self, now: Instant) {
        if !self.probes.is_empty() {
            return;
        }
        let except = self.followed();
        let picked = self.choice.pick_spread(now, except, PARALLEL_PROBES);
        self.plan_probes(now, ProbePurpose::Search, &picked);
    }

    fn plan_probes(&mut self, now: Instant, purpose: ProbePurpose, replicas: &[SocketAddr]) {
        self.purpose = purpose;
        let mut starts_at = now;
        for replica in replicas {
            self.probes.push(PendingProbe {
                replica: *replica,
                starts_at,
                is_started: false,
            });
            starts_at += PROBE_STAGGER;
        }
        self.probes_deadline = starts_at + self.timeout.first();
        self.search_at = now + RETRY_PAUSE;
    }

    fn start_probes(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        for probe in &mut self.probes {
            if !probe.is_started && probe.starts_at <= now {
                probe.is_started = true;
                steps.push(FollowStep::Probe(probe.replica));
            }
        }
    }

    /// Times out requests that were not answered in time.
    fn expire(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        if let Some(Followed { replica, poll, .. }) = self.followed
            && let PollState::Sent(at) = poll
            && at + ANSWER_TIMEOUT <= now
        {
            self.followed = None;
            self.search_at = now;
            self.back_off(now, replica, Unusable::Unresponsive);
            steps.push(FollowStep::TimedOut(replica));
        }
        if !self.probes.is_empty() && self.probes_deadline <= now {
            for probe in std::mem::take(&mut self.probes) {
                self.back_off(now, probe.replica, Unusable::Unresponsive);
                steps.push(FollowStep::TimedOut(probe.replica));
            }
            if self.purpose == ProbePurpose::Search {
                self.timeout.note_timeout();
            }
            self.search_at = now + RETRY_PAUSE;
        }
    }

    fn handle_usable(
        &mut self,
        now: Instant,
        replica: SocketAddr,
        has_changes: bool,
        steps: &mut Vec<FollowStep>,
    ) {
        self.timeout.note_answer();
        self.choice.note_usable(replica);
        if self.purpose == ProbePurpose::Search {
            self.cancel_probes(now, steps);
        }
        self.probe_nearer(now, replica);
        if !has_changes {
            self.send_poll(now, steps);
        } else if let Some(followed) = &mut self.followed {
            followed.poll = PollState::Scheduled(now + CHANGE_PAUSE);
        }
    }

    /// Plans a probe of a nearer replica that may be usable. Returns whether there is one.
    fn probe_nearer(&mut self, now: Instant, replica: SocketAddr) -> bool {
        if !self.probes.is_empty() {
            return false;
        }
        let nearer = self.choice.nearer_than(replica, now);
        if let Some(nearer) = nearer {
            self.plan_probes(now, ProbePurpose::Nearer, &[nearer]);
        }
        nearer.is_some()
    }

    /// Starts to follow a replica whose probe succeeded.
    fn follow(&mut self, now: Instant, replica: SocketAddr, steps: &mut Vec<FollowStep>) {
        self.probes.retain(|probe| probe.replica != replica);
        self.cancel_probes(now, steps);
        if let Some(abandoned) = self.followed.take() {
            self.defer_return(now, abandoned.replica);
            steps.push(FollowStep::Cancel(abandoned.replica));
        }
        self.timeout.note_answer();
        self.choice.note_usable(replica);
        self.followed = Some(Followed {
            replica,
            poll: PollState::Scheduled(now + NEARER_PROBE_TIME),
            is_hedged: false,
        });
        if !self.probe_nearer(now, replica) {
            self.send_poll(now, steps);
        }
    }

    fn cancel_probes(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        for probe in std::mem::take(&mut self.probes) {
            if probe.is_started {
                self.defer_return(now, probe.replica);
                steps.push(FollowStep::Cancel(probe.replica));
            }
        }
    }

    fn handle_unusable(&mut self, now: Instant, replica: SocketAddr, reason: Unusable) {
        self.back_off(now, replica, reason);
        self.probes.retain(|probe| probe.replica != replica);
        if self.followed() == Some(replica) {
            self.followed = None;
        }
        if self.probes.is_empty() {
            self.search_at = now + RETRY_PAUSE;
        }
    }

    fn back_off(&mut self, now: Instant, replica: SocketAddr, reason: Unusable) {
        let jitter = self.rng.random();
        self.choice.back_off(replica, now, reason, jitter);
    }

    fn defer_return(&mut self, now: Instant, replica: SocketAddr) {
        let jitter = self.rng.random();
        self.choice.defer_return(replica, now, jitter);
    }
}
