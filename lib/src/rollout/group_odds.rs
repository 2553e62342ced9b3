//! Odds that all backend servers of the target version are worse, rather than some of them.
//!
//! Each group of backend servers answers either as its version does, or is faulty by itself and may
//! answer in any way. A likelihood ratio of such mixtures limits how much a single group counts:
//! many good groups outweigh a few bad ones, however bad these are.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::f64::consts::TAU;

use crate::rollout::evidence::Counts;
use crate::rollout::evidence::Group;
use crate::rollout::verdict::Defect;
use crate::rollout::verdict::Slice;

/// Share of the groups that are taken to be faulty by themselves.
const FAULTY_GROUPS: f64 = 0.12;

/// Spans of time that are compared, as numbers of slices, besides the whole time.
const SPANS: [usize; 8] = [1, 2, 3, 5, 8, 12, 18, 27];

impl Defect {
    /// Returns the differences, beyond the tolerance, that a worse version may have.
    const fn excesses(self) -> &'static [f64] {
        match self {
            Self::Failure => &[0.03, 0.06, 0.12, 0.25, 0.5, 0.9],
            Self::Slowness => &[0.15, 0.3, 0.6],
        }
    }
}

/// Returns the largest logarithm of the odds over spans of time that end now. The answers of the
/// other versions' groups in `worst` don't count.
pub(super) fn largest(slices: &[Slice], worst: &BTreeSet<Group>, defect: Defect) -> f64 {
    let mut groups: BTreeMap<Group, GroupAnswers> = BTreeMap::new();
    let mut largest = f64::NEG_INFINITY;
    for (span, slice) in (1..).zip(slices.iter().rev()) {
        let expected = defect.smoothed_rate(slice.others.without(worst));
        for (group, counts) in &slice.target.0 {
            let sum = groups.entry(*group).or_default();
            sum.add(*counts, expected, defect);
        }
        if SPANS.contains(&span) || span == slices.len() {
            largest = largest.max(of_groups(&groups, defect));
        }
    }
    largest
}

fn of_groups(groups: &BTreeMap<Group, GroupAnswers>, defect: Defect) -> f64 {
    let odds = defect.excesses().iter().map(|excess| {
        let of_each = groups.values().map(|group| group.odds(*excess, defect));
        of_each.sum::<f64>()
    });
    odds.fold(f64::NEG_INFINITY, f64::max)
}

/// Answers of a group of backend servers of the target version.
#[derive(Clone, Copy, Debug, Default)]
struct GroupAnswers {
    all: f64,
    bad: f64,
    /// Number of bad answers if the version is as good as the others.
    expected: f64,
}

impl GroupAnswers {
    fn add(&mut self, counts: Counts, expected: f64, defect: Defect) {
        self.all += f64::from(counts.all());
        self.bad += f64::from(defect.bad(counts));
        self.expected += f64::from(counts.all()) * expected;
    }

    /// Returns the logarithm of the odds that the version's share of bad answers is higher by
    /// `excess` than that of the others.
    fn odds(&self, excess: f64, defect: Defect) -> f64 {
        let equal = (self.expected / self.all.max(1.0) + defect.tolerance()).min(0.9);
        let worse = (equal + excess).min(0.95);
        let good = self.all - self.bad;
        // The mean likelihood over all rates, which is a beta function.
        let faulty = ln_factorial(self.bad) + ln_factorial(good) - ln_factorial(self.all + 1.0);
        let mixture = |rate: f64| {
            let as_version = self.bad * rate.ln() + good * (1.0 - rate).ln();
            ln_sum(
                as_version + (1.0 - FAULTY_GROUPS).ln(),
                faulty + FAULTY_GROUPS.ln(),
            )
        };
        mixture(worse) - mixture(equal)
    }
}

/// Returns the logarithm of the sum of two numbers that are given as logarithms.
fn ln_sum(a: f64, b: f64) -> f64 {
    let larger = a.max(b);
    larger + ((a - larger).exp() + (b - larger).exp()).ln()
}

/// Returns the logarithm of a factorial (Stirling's series).
fn ln_factorial(n: f64) -> f64 {
    if n < 1.0 {
        return 0.0;
    }
    n * n.ln() - n + 0.5 * (TAU * n).ln() + 1.0 / (12.0 * n) - 1.0 / (360.0 * n.powi(3))
}
