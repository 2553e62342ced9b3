//! Schedule of a rollout: when the target version gets more requests, and when it gets none.
//!
//! A small share of the requests goes to the target version for about half of the time, so that
//! also a fault that begins late is seen while few requests suffer. The share then grows fast
//! enough for all requests to have moved before the time is up. Any stage ends the rollout if the
//! target version turns out to be worse.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;
use crate::rollout::RollbackReason;
use crate::rollout::Rollout;
use crate::rollout::RolloutPhase;
use crate::rollout::TrafficShare;
use crate::rollout::evidence::Counts;
use crate::rollout::evidence::Evidence;
use crate::rollout::evidence::Side;
use crate::rollout::verdict;
use crate::rollout::verdict::Comparison;
use crate::rollout::verdict::Verdict;

/// Share of the requests by which the target version is judged at first.
pub const CANARY_SHARE: TrafficShare = TrafficShare(100);

/// Shares after that. The last one leaves room to work off what the other versions still have.
const STAGES: [TrafficShare; 2] = [TrafficShare(200), TrafficShare(500)];

/// Parts of the duration of a rollout by which its stages begin.
const OBSERVED_AT: f64 = 0.54;
const FINISHING_AT: f64 = 0.72;
const COMPLETED_AT: f64 = 0.93;

/// Part of the duration after which a rollout is rolled back that lacks evidence, or that has a
/// suspected target version with a small share.
const LATEST_START: f64 = 0.76;

/// Part of the duration for which answers of the target version have to be observed.
const MIN_OBSERVED: f64 = 0.12;

/// Smallest number of answers of the target version with which the share grows.
const MIN_ANSWERS: u32 = 40;

/// Time for which each stage between the first and the last is observed, as a part of the duration.
const STAGE_TIME: f64 = 0.08;

/// Multiple of that after which a version that has a large share and is still suspected to be worse
/// is rolled back.
const MAX_STAGE_TIMES: u32 = 2;

/// Largest number of slices of time in which answers are compared.
const MAX_SLICES: u32 = 60;

/// Shortest length of a slice: reports of entry VMs are up to half a second apart.
const MIN_SLICE: Duration = Duration::from_millis(500);

/// State of the backend servers and entry VMs, as far as the schedule depends on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutSituation {
    /// Number of backend servers of the target version that may be sent requests.
    pub usable_targets: usize,
    /// Whether no entry VM has requests in flight at the other versions any more.
    pub others_idle: bool,
}

/// What the leader decides on a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Next stage.
    pub phase: RolloutPhase,
    /// The comparison that it rests on; `None` if there was none.
    pub comparison: Option<Comparison>,
}

/// Figures on which a rollout is judged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RolloutFigures {
    /// Time since the order.
    pub elapsed: Duration,
    /// Answers of the target version.
    pub target_answers: u32,
    /// Bad ones among them.
    pub target_bad: u32,
    /// Answers of the other versions.
    pub others_answers: u32,
    /// Bad ones among them.
    pub others_bad: u32,
}

/// Judges the target version by the answers of both versions in consecutive slices of time.
pub type Judge = fn(&[Evidence]) -> Verdict;

/// A rollout as observed by one control replica.
#[derive(Debug)]
pub struct RolloutWatch {
    id: Revision,
    judge: Judge,
    duration: Duration,
    phase: RolloutPhase,
    /// When this replica learned of the stage.
    phase_at: Instant,
    /// Time from the order to the beginning of the stage.
    elapsed: Duration,
    first_answer_at: Option<Instant>,
    /// Answers in slices of time, the last of which began at `slice_at`.
    slices: Vec<Evidence>,
    slice_at: Instant,
}

impl RolloutWatch {
    /// Begins to observe a rollout that this replica learned of at `now`.
    #[must_use]
    pub fn new(now: Instant, rollout: &Rollout) -> Self {
        Self {
            id: rollout.id,
            judge: verdict::judge,
            duration: rollout.order.duration,
            phase: rollout.phase.clone(),
            phase_at: now,
            elapsed: rollout.elapsed,
            first_answer_at: None,
            slices: Vec::new(),
            slice_at: now,
        }
    }

    /// Replaces the way in which the versions are compared.
    #[must_use]
    pub fn with_judge(mut self, judge: Judge) -> Self {
        self.judge = judge;
        self
    }

    /// Returns the log position of the order.
    #[must_use]
    pub const fn id(&self) -> Revision {
        self.id
    }

    /// Follows the replicated state of the rollout.
    pub fn follow(&mut self, now: Instant, rollout: &Rollout) {
        if self.phase == rollout.phase {
            return;
        }
        self.elapsed = rollout.elapsed.max(self.elapsed(now));
        self.phase = rollout.phase.clone();
        self.phase_at = now;
    }

    /// Adds answers that entry VMs have counted. Slow ones count as good once the target version gets
    /// all new requests: what the others still answer says nothing about the load since then.
    pub fn note(&mut self, now: Instant, evidence: Evidence) {
        let evidence = if self.phase == RolloutPhase::Finishing {
            evidence.without_slow()
        } else {
            evidence
        };
        if evidence.total(Side::Target).all() > 0 {
            self.first_answer_at.get_or_insert(now);
        }
        let length = MIN_SLICE.max(self.duration / MAX_SLICES);
        match self.slices.last_mut() {
            Some(slice) if now < self.slice_at + length => slice.merge(&evidence),
            _ => {
                self.slices.push(evidence);
                self.slice_at = now;
            }
        }
    }

    /// Returns the time since the order, as far as this replica knows it.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        self.elapsed + now.saturating_duration_since(self.phase_at)
    }

    /// Returns the figures so far.
    #[must_use]
    pub fn figures(&self, now: Instant) -> RolloutFigures {
        let target = self.total(Side::Target);
        let others = self.total(Side::Others);
        RolloutFigures {
            elapsed: self.elapsed(now),
            target_answers: target.all(),
            target_bad: target.bad(),
            others_answers: others.all(),
            others_bad: others.bad(),
        }
    }

    fn total(&self, side: Side) -> Counts {
        let mut total = Counts::default();
        for slice in &self.slices {
            total.add(slice.total(side));
        }
        total
    }

    /// Returns the next stage if one is due. To be called on the leader only.
    #[must_use]
    pub fn decide(&self, now: Instant, situation: RolloutSituation) -> Option<Decision> {
        if self.phase.is_over() {
            return None;
        }
        let verdict = (self.judge)(&self.slices);
        if let Verdict::Worse(worse) = verdict
            && (self.phase != RolloutPhase::Finishing || worse.is_clear())
        {
            return Some(rolled_back(worse));
        }
        let is_unsuspicious = verdict == Verdict::Unsuspicious;
        let passed = self.elapsed(now).as_secs_f64() / self.duration.as_secs_f64().max(0.001);
        let phase = match &self.phase {
            RolloutPhase::Partial(TrafficShare(0)) => before_canary(situation, passed),
            RolloutPhase::Partial(CANARY_SHARE) => self.after_canary(now, passed, is_unsuspicious),
            RolloutPhase::Partial(share) => self.after_stage(now, *share, passed, is_unsuspicious),
            // Without backend servers of the target version, the others still serve all requests.
            RolloutPhase::Finishing if situation.usable_targets == 0 => {
                let is_late = passed >= COMPLETED_AT;
                is_late.then_some(RolloutPhase::RolledBack(RollbackReason::NoBackends))
            }
            RolloutPhase::Finishing => {
                let done = situation.others_idle || passed >= COMPLETED_AT;
                done.then_some(RolloutPhase::Completed)
            }
            RolloutPhase::Completed | RolloutPhase::RolledBack(_) => None,
        };
        phase.map(|phase| Decision {
            phase,
            comparison: verdict::worst(&self.slices),
        })
    }

    fn after_canary(
        &self,
        now: Instant,
        passed: f64,
        is_unsuspicious: bool,
    ) -> Option<RolloutPhase> {
        if passed >= OBSERVED_AT && is_unsuspicious && self.has_evidence(now) {
            return Some(after(CANARY_SHARE));
        }
        if passed < LATEST_START {
            return None;
        }
        let answers = self.total(Side::Target).all();
        let reason = if answers == 0 {
            RollbackReason::NoBackends
        } else {
            RollbackReason::TooFewAnswers { answers }
        };
        Some(RolloutPhase::RolledBack(reason))
    }

    fn after_stage(
        &self,
        now: Instant,
        share: TrafficShare,
        passed: f64,
        is_unsuspicious: bool,
    ) -> Option<RolloutPhase> {
        let observed = now.saturating_duration_since(self.phase_at);
        let stage = self.duration.mul_f64(STAGE_TIME);
        if observed < stage && passed < FINISHING_AT {
            return None;
        }
        if is_unsuspicious {
            return Some(after(share));
        }
        let doubted = if share == STAGES[0] {
            passed >= LATEST_START
        } else {
            observed >= stage * MAX_STAGE_TIMES
        };
        doubted.then_some(RolloutPhase::RolledBack(RollbackReason::OutOfTime))
    }

    /// Returns whether there is enough evidence to judge the target version by.
    fn has_evidence(&self, now: Instant) -> bool {
        let Some(first) = self.first_answer_at else {
            return false;
        };
        let observed = now.saturating_duration_since(first);
        observed >= self.duration.mul_f64(MIN_OBSERVED)
            && self.total(Side::Target).all() >= MIN_ANSWERS
    }
}

fn before_canary(situation: RolloutSituation, passed: f64) -> Option<RolloutPhase> {
    if passed >= LATEST_START {
        return Some(RolloutPhase::RolledBack(RollbackReason::NoBackends));
    }
    let may_begin = situation.usable_targets > 0;
    may_begin.then_some(RolloutPhase::Partial(CANARY_SHARE))
}

/// Returns the stage after that with a share.
fn after(share: TrafficShare) -> RolloutPhase {
    let next = STAGES.into_iter().find(|stage| *stage > share);
    next.map_or(RolloutPhase::Finishing, RolloutPhase::Partial)
}

fn rolled_back(worse: Comparison) -> Decision {
    let reason = RollbackReason::Worse {
        route: None,
        target_bad: thousandths(worse.target),
        others_bad: thousandths(worse.others),
    };
    Decision {
        phase: RolloutPhase::RolledBack(reason),
        comparison: Some(worse),
    }
}

fn thousandths(share: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is at most 1"
    )]
    let thousandths = (share.clamp(0.0, 1.0) * 1_000.0).round() as u16;
    thousandths
}
