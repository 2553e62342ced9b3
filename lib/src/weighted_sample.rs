//! Samples of a fixed size in which each member occurs in proportion to its weight.

use std::net::SocketAddr;

/// Tolerance of sums of weights.
const ROUNDING: f64 = 1e-9;

/// An address and the weight with which it is to be selected.
pub type Weighted = (SocketAddr, f64);

/// Returns how many candidates a sample can contain at most if each occurs in proportion to its
/// weight: the heaviest one occurs in every sample.
#[must_use]
pub fn largest_count(candidates: &[Weighted]) -> usize {
    let weights = candidates.iter().map(|(_, weight)| *weight);
    let heaviest = weights.clone().fold(0.0, f64::max);
    if heaviest > 0.0 {
        whole_part(weights.sum::<f64>() / heaviest + ROUNDING)
    } else {
        0
    }
}

/// Selects `count` of the candidates, or all that have a weight if they are fewer. Over all values
/// of `start` from 0 to 1, each is selected in proportion to its weight; one whose part exceeds a
/// whole sample is always selected.
#[must_use]
pub fn select(candidates: &[Weighted], count: usize, start: f64) -> Vec<SocketAddr> {
    let shares = shares_of_samples(candidates, count);
    let mut position = start + ROUNDING;
    let mut selected = Vec::with_capacity(count);
    for ((address, _), share) in candidates.iter().zip(shares) {
        let next = position + share;
        if next.floor() > position.floor() {
            selected.push(*address);
        }
        position = next;
    }
    selected
}

/// Returns the share of samples of `count` that contain each candidate.
fn shares_of_samples(candidates: &[Weighted], count: usize) -> Vec<f64> {
    let mut shares = vec![0.0; candidates.len()];
    loop {
        let is_open = |share: f64| share < 1.0;
        let always = shares.iter().filter(|share| !is_open(**share)).count();
        let open = candidates.iter().zip(&shares);
        let open = open.filter(|(_, share)| is_open(**share));
        let total: f64 = open.map(|((_, weight), _)| weight).sum();
        if total <= 0.0 {
            return shares;
        }
        let scale = as_float(count.saturating_sub(always)) / total;
        for ((_, weight), share) in candidates.iter().zip(&mut shares) {
            if is_open(*share) {
                *share = weight * scale;
            }
        }
        let mut is_exceeded = false;
        for share in shares.iter_mut().filter(|share| **share > 1.0 - ROUNDING) {
            is_exceeded |= *share > 1.0 + ROUNDING;
            *share = 1.0;
        }
        if !is_exceeded {
            return shares;
        }
    }
}

/// Tells sequences that must not depend on each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Axis {
    /// Selection in the caller's region.
    Own,
    /// Selection in other regions.
    Others,
    /// Rounding of the number of addresses in other regions.
    Rounding,
}

impl Axis {
    /// Step of the sequence as a fraction of the range of `u32`: irrational numbers of which no
    /// combination with whole factors is whole.
    const fn step(self) -> u32 {
        match self {
            Self::Own => 0x9E37_79B9,
            Self::Others => 0x6A09_E667,
            Self::Rounding => 0xBB67_AE85,
        }
    }
}

/// A sequence that fills the interval from 0 to 1 evenly.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    axis: Axis,
    position: u32,
}

impl Turn {
    /// Creates a sequence that begins at a position given by `seed`.
    #[must_use]
    pub const fn new(axis: Axis, seed: u32) -> Self {
        Self {
            axis,
            position: seed,
        }
    }

    /// Returns the next number, which is below 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.position = self.position.wrapping_add(self.axis.step());
        f64::from(self.position) / (f64::from(u32::MAX) + 1.0)
    }

    /// Returns one of the two integers nearest to `value`; over the sequence, their mean is
    /// `value`.
    pub fn rounded(&mut self, value: f64) -> usize {
        whole_part(value + self.next_fraction())
    }
}

fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a saturating cast of a number of addresses"
)]
fn whole_part(value: f64) -> usize {
    value.floor() as usize
}
