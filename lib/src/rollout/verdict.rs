//! Decides whether the target version of a rollout is worse than the other versions.
//!
//! Both versions are compared route by route, and within short slices of time, so that a crowd or
//! a lost failure domain, which affects both, counts for neither. Two conditions must hold for a
//! version to be worse:
//!
//! - a cumulative sum of log-likelihood ratios (Page, 1954) over the answers of all but the worst
//!   groups of backend servers. It weighs each answer for "as often bad as at the others" against
//!   "bad in 3 of 100 more", and starts anew whenever nothing speaks against the version, so that
//!   a fault that begins late is seen as fast as one that begins at once;
//! - Welch's test over the groups. A few faulty backend servers make the groups of their version
//!   differ widely, and a faulty version makes all of them bad.
//!
//! Neither counts if most groups show that the version is good (`group_odds`).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::rollout::evidence::Counts;
use crate::rollout::evidence::Evidence;
use crate::rollout::evidence::Group;
use crate::rollout::evidence::RouteHash;
use crate::rollout::evidence::Side;
use crate::rollout::group_odds;

/// Share of the answers of each version that are left out as those of the worst groups.
const TRIMMED: f64 = 0.34;

/// What makes an answer bad. Failures are rare, so that few more of them show; how many answers are
/// slow varies with the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Defect {
    /// The answer is a failure, or the connection broke.
    Failure,
    /// The answer takes long, or does not come.
    Slowness,
}

impl Defect {
    const ALL: [Self; 2] = [Self::Failure, Self::Slowness];

    /// Returns the name of the defect in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Failure => "failure",
            Self::Slowness => "slowness",
        }
    }

    /// Returns the difference in the share of bad answers that is still taken for equal.
    pub(super) const fn tolerance(self) -> f64 {
        match self {
            Self::Failure => 0.006,
            Self::Slowness => 0.04,
        }
    }

    /// Returns the difference that has to be detected beyond that.
    const fn detected(self) -> f64 {
        match self {
            Self::Failure => 0.02,
            Self::Slowness => 0.15,
        }
    }

    pub(super) const fn bad(self, counts: Counts) -> u32 {
        match self {
            Self::Failure => counts.failed,
            Self::Slowness => counts.slow,
        }
    }

    fn rate(self, counts: Counts) -> f64 {
        f64::from(self.bad(counts)) / f64::from(counts.all().max(1))
    }

    /// Returns the rate with one more answer that is half bad.
    pub(super) fn smoothed_rate(self, counts: Counts) -> f64 {
        (f64::from(self.bad(counts)) + 0.5) / (f64::from(counts.all()) + 1.0)
    }

    /// Returns the logarithm of the odds that the target version is bad more often.
    fn odds(self, target: Counts, others: Counts) -> f64 {
        let equal = (self.smoothed_rate(others) + self.tolerance()).min(0.95);
        let worse = (equal * 1.5 + self.detected()).min(0.99);
        let bad = self.bad(target);
        let good = target.all() - bad;
        f64::from(bad) * (worse / equal).ln()
            + f64::from(good) * ((1.0 - worse) / (1.0 - equal)).ln()
    }
}

/// Logarithm of the odds at which the target version counts as worse.
const WORSE_ODDS: f64 = 6.0;

/// Logarithm of the odds at which it is suspected to be.
const SUSPICIOUS_ODDS: f64 = 0.0;

/// Difference of the versions, in standard errors, at which it counts as real.
const MIN_ERRORS: f64 = 2.3;

/// Difference of the versions, in standard errors, at which it is suspected to be real.
const SUSPICIOUS_ERRORS: f64 = 0.6;

/// Multiples of [`WORSE_ODDS`] and of [`MIN_ERRORS`] that leave hardly any doubt.
const CLEAR_ODDS_FACTOR: f64 = 2.0;
const CLEAR_ERRORS_FACTOR: f64 = 1.75;

/// Logarithm of the odds over the groups up to which the version counts as good.
const EXONERATING_ODDS: f64 = -1.5;

/// Smallest number of bad answers that make a version worse.
const MIN_BAD: u32 = 6;

/// Number of groups below which it is not known how much they differ.
const FEW_GROUPS: usize = 3;

/// Number of answers of the other versions in a slice with which it is compared by itself.
const MIN_OTHERS: u32 = 20;

/// Assessment of the target version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Its requests on a route are bad more often.
    Worse(Comparison),
    /// Its requests on a route seem to be bad more often, but that may be chance.
    Suspected,
    /// Nothing speaks against it.
    Unsuspicious,
}

impl Verdict {
    /// Returns the comparison that shows the target version to be worse.
    #[must_use]
    pub const fn worse(self) -> Option<Comparison> {
        match self {
            Self::Worse(comparison) => Some(comparison),
            Self::Suspected | Self::Unsuspicious => None,
        }
    }
}

/// Shares of bad answers on a route over the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Route of the compared requests.
    pub route: RouteHash,
    /// What is bad about the answers.
    pub defect: Defect,
    /// Share at the target version.
    pub target: f64,
    /// Share at the other versions.
    pub others: f64,
    /// Logarithm of the odds that the target version is worse.
    pub odds: f64,
    /// Difference of the versions in standard errors.
    pub errors: f64,
    /// Logarithm of the odds that the version is worse rather than some of its backend servers.
    pub group_odds: f64,
    /// Number of answers of the target version.
    pub answers: u32,
    /// Number of bad ones among them.
    pub bad: u32,
}

impl Comparison {
    fn is_worse(&self) -> bool {
        self.bad >= MIN_BAD
            && self.odds >= WORSE_ODDS
            && self.errors >= MIN_ERRORS
            && !self.is_exonerated()
    }

    fn is_suspected(&self) -> bool {
        self.odds > SUSPICIOUS_ODDS && self.errors > SUSPICIOUS_ERRORS && !self.is_exonerated()
    }

    fn is_exonerated(&self) -> bool {
        self.group_odds <= EXONERATING_ODDS
    }

    /// Returns whether the target version is worse beyond doubt.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.odds >= WORSE_ODDS * CLEAR_ODDS_FACTOR
            && self.errors >= MIN_ERRORS * CLEAR_ERRORS_FACTOR
    }
}

/// Judges the target version by the answers of both versions in consecutive slices of time.
#[must_use]
pub fn judge(slices: &[Evidence]) -> Verdict {
    let comparisons = compare_all(slices);
    if let Some(worse) = comparisons.iter().find(|compared| compared.is_worse()) {
        return Verdict::Worse(*worse);
    }
    if comparisons.iter().any(Comparison::is_suspected) {
        Verdict::Suspected
    } else {
        Verdict::Unsuspicious
    }
}

/// Returns the comparison on the route where the target version looks worst, for reports.
#[must_use]
pub fn worst(slices: &[Evidence]) -> Option<Comparison> {
    let comparisons = compare_all(slices).into_iter();
    comparisons.max_by(|a, b| a.odds.total_cmp(&b.odds))
}

fn compare_all(slices: &[Evidence]) -> Vec<Comparison> {
    let routes: BTreeSet<RouteHash> = slices.iter().flat_map(Evidence::routes).collect();
    let mut compared = Vec::new();
    for route in routes {
        let slices = Slice::all(slices, route);
        let of_route = Defect::ALL.map(|defect| compare(&slices, route, defect));
        compared.extend(of_route.into_iter().flatten());
    }
    compared
}

/// Compares both versions on one route; `None` if the target version has no answers.
fn compare(slices: &[Slice], route: RouteHash, defect: Defect) -> Option<Comparison> {
    let mut target = GroupCounts::default();
    let mut others = GroupCounts::default();
    for slice in slices {
        target.merge(&slice.target);
        others.merge(&slice.others);
    }
    let answers = target.total();
    if answers.all() == 0 {
        return None;
    }
    let (odds, begin) = cumulative_odds(slices, &WorstGroups::all(slices, defect), defect);
    Some(Comparison {
        route,
        defect,
        target: defect.rate(answers),
        others: defect.rate(others.total()),
        odds,
        errors: errors(&slices[begin..], defect),
        group_odds: group_odds::largest(slices, &others.worst(defect), defect),
        answers: answers.all(),
        bad: defect.bad(answers),
    })
}

/// Counts of one version on one route by group.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupCounts(pub BTreeMap<Group, Counts>);

impl GroupCounts {
    fn merge(&mut self, other: &Self) {
        for (group, counts) in &other.0 {
            self.0.entry(*group).or_default().add(*counts);
        }
    }

    fn total(&self) -> Counts {
        self.0
            .values()
            .fold(Counts::default(), |mut total, counts| {
                total.add(*counts);
                total
            })
    }

    /// Returns the counts of all but some of the groups.
    pub(super) fn without(&self, groups: &BTreeSet<Group>) -> Counts {
        let mut total = Counts::default();
        for (group, counts) in &self.0 {
            if !groups.contains(group) {
                total.add(*counts);
            }
        }
        total
    }

    /// Returns the worst groups, which have up to [`TRIMMED`] of all answers.
    fn worst(&self, defect: Defect) -> BTreeSet<Group> {
        let mut sorted: Vec<(&Group, &Counts)> = self.0.iter().collect();
        sorted.sort_by(|(_, a), (_, b)| defect.rate(**b).total_cmp(&defect.rate(**a)));
        let limit = f64::from(self.total().all()) * TRIMMED;
        let mut answers = 0.0;
        let worst = sorted.into_iter().take_while(|(_, counts)| {
            answers += f64::from(counts.all());
            answers <= limit
        });
        worst.map(|(group, _)| *group).collect()
    }
}

/// Groups that are left out of a comparison.
#[derive(Debug)]
struct WorstGroups {
    target: BTreeSet<Group>,
    others: BTreeSet<Group>,
}

impl WorstGroups {
    /// Returns what is left out of the even and of the odd slices. Each half goes by the answers of
    /// the other one: groups that are bad by chance would otherwise be left out, and a version
    /// that is a little worse would look good.
    fn all(slices: &[Slice], defect: Defect) -> [Self; 2] {
        [1, 0].map(|first| {
            let mut target = GroupCounts::default();
            let mut others = GroupCounts::default();
            for slice in slices.iter().skip(first).step_by(2) {
                target.merge(&slice.target);
                others.merge(&slice.others);
            }
            Self {
                target: target.worst(defect),
                others: others.worst(defect),
            }
        })
    }
}

/// Answers on one route in a slice of time.
#[derive(Debug, Default)]
pub(super) struct Slice {
    pub target: GroupCounts,
    pub others: GroupCounts,
}

impl Slice {
    /// Returns the slices of a route.
    ///
    /// Where the other versions get hardly any requests any more, the failures of the target
    /// version are compared with what the others had before. Slow answers are left out there:
    /// since then there may be more load.
    fn all(slices: &[Evidence], route: RouteHash) -> Vec<Self> {
        let mut earlier = GroupCounts::default();
        let mut all = Vec::new();
        for slice in slices {
            let mut target = GroupCounts(slice.groups(route, Side::Target).collect());
            let mut others = GroupCounts(slice.groups(route, Side::Others).collect());
            let compared = target.total().all();
            if others.total().all() >= MIN_OTHERS.min(compared.max(1)) {
                earlier.merge(&others);
            } else {
                others = earlier.clone();
                for counts in target.0.values_mut().chain(others.0.values_mut()) {
                    *counts = counts.without_slow();
                }
            }
            all.push(Self { target, others });
        }
        all
    }
}

/// Returns the cumulative sum of the logarithms of the odds that the target version is worse, and
/// the slice with which the sum begins. The groups in `worst` don't count.
fn cumulative_odds(slices: &[Slice], worst: &[WorstGroups; 2], defect: Defect) -> (f64, usize) {
    let (mut sum, mut begin) = (0.0_f64, 0);
    for (number, slice) in slices.iter().enumerate() {
        let worst = &worst[number % 2];
        let target = slice.target.without(&worst.target);
        sum += defect.odds(target, slice.others.without(&worst.others));
        if sum <= 0.0 {
            (sum, begin) = (0.0, number + 1);
        }
    }
    (sum, begin.min(slices.len().saturating_sub(1)))
}

/// Returns the difference of the versions, less the tolerance, in standard errors.
fn errors(slices: &[Slice], defect: Defect) -> f64 {
    let mut target = Excess::default();
    let mut others = Excess::default();
    for slice in slices {
        let expected = defect.smoothed_rate(slice.others.total());
        target.add(&slice.target, expected, defect);
        others.add(&slice.others, expected, defect);
    }
    let few = target.groups.len() < FEW_GROUPS;
    let penalty = if few { 2.0 } else { 1.0 };
    let error = (target.squared_error() + others.squared_error()).sqrt();
    (target.mean() - defect.tolerance()) / (error * penalty)
}

/// Bad answers of one version beyond the expected ones, by group.
#[derive(Debug, Default)]
struct Excess {
    groups: BTreeMap<Group, GroupExcess>,
}

#[derive(Clone, Copy, Debug, Default)]
struct GroupExcess {
    answers: f64,
    bad: f64,
    expected: f64,
}

impl GroupExcess {
    fn rate(self) -> f64 {
        (self.bad - self.expected) / self.answers.max(1.0)
    }
}

impl Excess {
    fn add(&mut self, counts: &GroupCounts, expected: f64, defect: Defect) {
        for (group, counts) in &counts.0 {
            let sum = self.groups.entry(*group).or_default();
            sum.answers += f64::from(counts.all());
            sum.bad += f64::from(defect.bad(*counts));
            sum.expected += f64::from(counts.all()) * expected;
        }
    }

    fn total(&self) -> GroupExcess {
        let mut total = GroupExcess::default();
        for group in self.groups.values() {
            total.answers += group.answers;
            total.bad += group.bad;
            total.expected += group.expected;
        }
        total
    }

    fn mean(&self) -> f64 {
        self.total().rate()
    }

    /// Returns the squared standard error of the mean, by how much the groups differ.
    fn squared_error(&self) -> f64 {
        let total = self.total();
        let answers = total.answers.max(1.0);
        let mean = total.rate();
        let spread = self.groups.values().map(|group| {
            let part = group.answers / answers;
            part * part * (group.rate() - mean).powi(2)
        });
        let among_groups = spread.sum::<f64>();
        // The rate of few answers, or of none that is bad, is not known exactly either.
        let smoothed = (total.bad + 1.0) / (answers + 2.0);
        let by_chance = smoothed * (1.0 - smoothed) / answers;
        among_groups.max(by_chance)
    }
}
