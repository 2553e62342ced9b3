//! Whom an entry VM asks for news of control, and when.
//!
//! It follows one replica, the nearest that is of use, by questions that the replica may hold
//! until there is news. While it follows none, and once an answer is late, others are asked
//! beside, in as many regions as there are: replicas that are near each other are lost together,
//! and to ask one after the other may take longer than a confirmed change may. The first that is
//! of use is followed. A nearer one that may be of use again is tried before the present one is
//! left.

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

/// Pause before others are asked, after none was of use.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Pause after news before more is asked for. What comes after a quiet spell is told at once;
/// what comes in a row, as when many VMs or backend servers start or leave, is told together.
/// Without it each change is an answer of its own to every entry VM.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Replicas that are asked at a time: one more than the failures that are borne at once.
const PARALLEL_PROBES: usize = 3;

/// Time by which each of them is asked later than the one before, so that the nearest one that is
/// of use ordinarily answers first.
const PROBE_STAGGER: Duration = Duration::from_millis(40);

/// Time for which a replica isn't asked for the state while a nearer one is tried. The state is
/// large: 45 KB for 900 backend servers take 0.2 s over a link of 2 Mbit/s.
const NEARER_PROBE_TIME: Duration = Duration::from_millis(100);

/// Tells what to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// Ask a replica whether it is of use.
    Probe(SocketAddr),
    /// Ask the replica that is followed for news, in place of what was asked of it before. It
    /// may hold its answer back for [`LONG_POLL_HOLD`](crate::replica_timeout::LONG_POLL_HOLD).
    Poll(SocketAddr),
    /// Wait no longer for the answer of a replica that isn't needed.
    Cancel(SocketAddr),
    /// Wait no longer for the answer of a replica, which gave none in time.
    TimedOut(SocketAddr),
}

/// Says what came of a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowOutcome {
    /// The replica is of use.
    Usable {
        /// Whether it told anything new.
        has_changes: bool,
    },
    /// It isn't.
    Unusable(Unusable),
}

/// Holds the replica that is followed.
#[derive(Clone, Copy, Debug)]
struct Followed {
    replica: SocketAddr,
    poll: PollState,
    /// Whether others were looked for since the question was asked.
    is_hedged: bool,
}

#[derive(Clone, Copy, Debug)]
enum PollState {
    /// Sent, and not answered yet.
    Sent(Instant),
    /// To be asked then.
    Scheduled(Instant),
}

/// Says why replicas are tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbePurpose {
    /// None is followed, or the one that is gives no answer.
    Search,
    /// A nearer one than the one that is followed may be of use.
    Nearer,
}

/// Holds a replica that is asked whether it is of use.
#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    replica: SocketAddr,
    starts_at: Instant,
    is_started: bool,
}

/// Plans whom to ask.
#[derive(Debug)]
pub struct FollowPlan {
    choice: ReplicaChoice,
    timeout: ReplicaTimeout,
    followed: Option<Followed>,
    probes: Vec<PendingProbe>,
    purpose: ProbePurpose,
    /// When the trials are given up.
    probes_deadline: Instant,
    /// When others are asked next, while none is followed.
    search_at: Instant,
    rng: ChaCha8Rng,
}

impl FollowPlan {
    /// Starts without following any. `seed` tells this entry VM from others, which would
    /// otherwise all come back to a replica in one moment.
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

    /// Takes over which replicas there are: those that control named, and `seeds`, of which
    /// nothing but the address is known.
    pub fn learn(&mut self, sites: &[ReplicaSite], seeds: &[SocketAddr]) {
        self.choice.learn(sites, seeds);
    }

    /// Returns the replica that is followed.
    #[must_use]
    pub fn followed(&self) -> Option<SocketAddr> {
        self.followed.map(|followed| followed.replica)
    }

    /// Returns when [`Self::wake`] is to be called at the latest.
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

    /// Lets time pass.
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

    /// Has the replica that is followed asked at once: what it is told has changed.
    pub fn poll_now(&mut self, now: Instant) -> Vec<FollowStep> {
        let mut steps = Vec::new();
        self.send_poll(now, &mut steps);
        steps
    }

    /// Takes what came of the question to `replica`.
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

    /// Plans trials unless some are under way: of replicas in as many regions as there are,
    /// besides the one that is followed.
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

    /// Gives up replicas that gave no answer in time.
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

    /// Plans to try a nearer replica that may be of use; returns whether there is one.
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

    /// Follows a replica that was tried.
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
