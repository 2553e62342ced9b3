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
const NEXT_PAUSE: Duration = Duration::from_millis(50);

/// Pause after news before more is asked for. What comes after a quiet spell is told at once;
/// what comes in a row, as when many VMs or backend servers start or leave, is told together.
/// Without it each change is an answer of its own to every entry VM.
const NEWS_PAUSE: Duration = Duration::from_millis(200);

/// Replicas that are asked at a time: one more than the failures that are borne at once.
const ASKED_AT_ONCE: usize = 3;

/// Time by which each of them is asked later than the one before, so that the nearest one that is
/// of use ordinarily answers first.
const HEAD_START: Duration = Duration::from_millis(40);

/// Time for which a replica isn't asked for the state while a nearer one is tried. The state is
/// large: 45 KB for 900 backend servers take 0.2 s over a link of 2 Mbit/s.
const NEARER_FIRST: Duration = Duration::from_millis(100);

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
    question: Question,
    /// Whether others were looked for since the question was asked.
    has_searched: bool,
}

#[derive(Clone, Copy, Debug)]
enum Question {
    /// Asked, and not answered yet.
    Asked(Instant),
    /// To be asked then.
    Planned(Instant),
}

/// Says why replicas are tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Aim {
    /// None is followed, or the one that is gives no answer.
    Search,
    /// A nearer one than the one that is followed may be of use.
    Nearer,
}

/// Holds a replica that is asked whether it is of use.
#[derive(Clone, Copy, Debug)]
struct Trial {
    replica: SocketAddr,
    begins_at: Instant,
    has_begun: bool,
}

/// Plans whom to ask.
#[derive(Debug)]
pub struct FollowPlan {
    choice: ReplicaChoice,
    patience: ReplicaTimeout,
    followed: Option<Followed>,
    trials: Vec<Trial>,
    aim: Aim,
    /// When the trials are given up.
    trials_end: Instant,
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
            patience: ReplicaTimeout::default(),
            followed: None,
            trials: Vec::new(),
            aim: Aim::Search,
            trials_end: now,
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
        let own = match self.followed {
            None if self.trials.is_empty() => self.search_at,
            None => self.trials_end,
            Some(followed) => match followed.question {
                Question::Planned(at) => at,
                Question::Asked(at) if followed.has_searched => at + ANSWER_TIMEOUT,
                Question::Asked(at) => at + HEDGE_AFTER,
            },
        };
        let waiting = self.trials.iter().filter(|trial| !trial.has_begun);
        let begins = waiting.map(|trial| trial.begins_at).min();
        let ends = (!self.trials.is_empty()).then_some(self.trials_end);
        [begins, ends].into_iter().flatten().fold(own, Instant::min)
    }

    /// Lets time pass.
    pub fn wake(&mut self, now: Instant) -> Vec<FollowStep> {
        let mut steps = Vec::new();
        self.give_up(now, &mut steps);
        if let Some(followed) = self.followed {
            match followed.question {
                Question::Planned(at) if at <= now => self.ask(now, &mut steps),
                Question::Asked(at) if at + HEDGE_AFTER <= now && !followed.has_searched => {
                    self.followed = Some(Followed {
                        has_searched: true,
                        ..followed
                    });
                    self.search(now);
                }
                _ => {}
            }
        } else if self.search_at <= now {
            self.search(now);
        }
        self.begin_trials(now, &mut steps);
        steps
    }

    /// Has the replica that is followed asked at once: what it is told has changed.
    pub fn poll_now(&mut self, now: Instant) -> Vec<FollowStep> {
        let mut steps = Vec::new();
        self.ask(now, &mut steps);
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
                self.note_useful(now, replica, has_changes, &mut steps);
            }
            FollowOutcome::Usable { .. } if self.is_tried(replica) => {
                self.follow(now, replica, &mut steps);
            }
            FollowOutcome::Usable { .. } => {}
            FollowOutcome::Unusable(why) => self.note_useless(now, replica, why),
        }
        self.begin_trials(now, &mut steps);
        steps
    }

    fn is_tried(&self, replica: SocketAddr) -> bool {
        self.trials.iter().any(|trial| trial.replica == replica)
    }

    fn ask(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        if let Some(followed) = &mut self.followed {
            followed.question = Question::Asked(now);
            followed.has_searched = false;
            steps.push(FollowStep::Poll(followed.replica));
        }
    }

    /// Plans trials unless some are under way: of replicas in as many regions as there are,
    /// besides the one that is followed.
    fn search(&mut self, now: Instant) {
        if !self.trials.is_empty() {
            return;
        }
        let besides = self.followed();
        let picked = self.choice.pick_spread(now, besides, ASKED_AT_ONCE);
        self.plan_trials(now, Aim::Search, &picked);
    }

    fn plan_trials(&mut self, now: Instant, aim: Aim, replicas: &[SocketAddr]) {
        self.aim = aim;
        let mut begins_at = now;
        for replica in replicas {
            self.trials.push(Trial {
                replica: *replica,
                begins_at,
                has_begun: false,
            });
            begins_at += HEAD_START;
        }
        self.trials_end = begins_at + self.patience.first();
        self.search_at = now + NEXT_PAUSE;
    }

    fn begin_trials(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        for trial in &mut self.trials {
            if !trial.has_begun && trial.begins_at <= now {
                trial.has_begun = true;
                steps.push(FollowStep::Probe(trial.replica));
            }
        }
    }

    /// Gives up replicas that gave no answer in time.
    fn give_up(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        if let Some(Followed {
            replica, question, ..
        }) = self.followed
            && let Question::Asked(at) = question
            && at + ANSWER_TIMEOUT <= now
        {
            self.followed = None;
            self.search_at = now;
            self.back_off(now, replica, Unusable::Unresponsive);
            steps.push(FollowStep::TimedOut(replica));
        }
        if !self.trials.is_empty() && self.trials_end <= now {
            for trial in std::mem::take(&mut self.trials) {
                self.back_off(now, trial.replica, Unusable::Unresponsive);
                steps.push(FollowStep::TimedOut(trial.replica));
            }
            if self.aim == Aim::Search {
                self.patience.note_timeout();
            }
            self.search_at = now + NEXT_PAUSE;
        }
    }

    fn note_useful(
        &mut self,
        now: Instant,
        replica: SocketAddr,
        has_changes: bool,
        steps: &mut Vec<FollowStep>,
    ) {
        self.patience.note_answer();
        self.choice.note_usable(replica);
        if self.aim == Aim::Search {
            self.drop_trials(now, steps);
        }
        self.try_nearer(now, replica);
        if !has_changes {
            self.ask(now, steps);
        } else if let Some(followed) = &mut self.followed {
            followed.question = Question::Planned(now + NEWS_PAUSE);
        }
    }

    /// Plans to try a nearer replica that may be of use; returns whether there is one.
    fn try_nearer(&mut self, now: Instant, replica: SocketAddr) -> bool {
        if !self.trials.is_empty() {
            return false;
        }
        let nearer = self.choice.nearer_than(replica, now);
        if let Some(nearer) = nearer {
            self.plan_trials(now, Aim::Nearer, &[nearer]);
        }
        nearer.is_some()
    }

    /// Follows a replica that was tried.
    fn follow(&mut self, now: Instant, replica: SocketAddr, steps: &mut Vec<FollowStep>) {
        self.trials.retain(|trial| trial.replica != replica);
        self.drop_trials(now, steps);
        if let Some(left) = self.followed.take() {
            self.defer_return(now, left.replica);
            steps.push(FollowStep::Cancel(left.replica));
        }
        self.patience.note_answer();
        self.choice.note_usable(replica);
        self.followed = Some(Followed {
            replica,
            question: Question::Planned(now + NEARER_FIRST),
            has_searched: false,
        });
        if !self.try_nearer(now, replica) {
            self.ask(now, steps);
        }
    }

    fn drop_trials(&mut self, now: Instant, steps: &mut Vec<FollowStep>) {
        for trial in std::mem::take(&mut self.trials) {
            if trial.has_begun {
                self.defer_return(now, trial.replica);
                steps.push(FollowStep::Cancel(trial.replica));
            }
        }
    }

    fn note_useless(&mut self, now: Instant, replica: SocketAddr, why: Unusable) {
        self.back_off(now, replica, why);
        self.trials.retain(|trial| trial.replica != replica);
        if self.followed() == Some(replica) {
            self.followed = None;
        }
        if self.trials.is_empty() {
            self.search_at = now + NEXT_PAUSE;
        }
    }

    fn back_off(&mut self, now: Instant, replica: SocketAddr, why: Unusable) {
        let draw = self.rng.random();
        self.choice.back_off(replica, now, why, draw);
    }

    fn defer_return(&mut self, now: Instant, replica: SocketAddr) {
        let draw = self.rng.random();
        self.choice.defer_return(replica, now, draw);
    }
}
