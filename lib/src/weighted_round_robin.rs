//! Splits requests by weight with little deviation: smooth weighted round robin.

/// Holds whose turn it is among the parts of one split.
///
/// Each part earns its weight with every request, and the richest one pays the total for
/// being picked. Over any number of requests a part is off its share by less than one,
/// where drawing by lot would be off by the square root of the number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the part that is next, or nothing if no weight is above 0.
    pub fn next(&mut self, weights: &[f64]) -> Option<usize> {
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return None;
        }
        if self.credit.len() != weights.len() {
            self.credit = vec![0.0; weights.len()];
        }
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += weight;
        }
        let (index, _) = self
            .credit
            .iter()
            .enumerate()
            .filter(|(index, _)| weights[*index] > 0.0)
            .max_by(|left, right| left.1.total_cmp(right.1))?;
        self.credit[index] -= total;
        Some(index)
    }
}
