//! Splits requests by weight with minimal deviation: smooth weighted round robin.

/// State of one weighted split.
///
/// With every request, each part earns credit equal to its share of the weights, and the part with
/// the most credit is selected and pays for one request. Over any number of requests, each part
/// deviates from its share by less than one request, whereas a random selection would deviate
/// by the square root of that number. Credit is counted in requests, so that it is not worth more
/// or less after a change of the weights.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the next part, or `None` if no weight is above 0.
    pub fn next(&mut self, weights: &[f64]) -> Option<usize> {
        let heaviest = weights.iter().copied().fold(0.0, f64::max);
        if heaviest <= 0.0 {
            return None;
        }
        // The sum of the weights themselves may be beyond the largest number.
        let total: f64 = weights.iter().map(|weight| weight / heaviest).sum();
        if self.credit.len() != weights.len() {
            self.credit = vec![0.0; weights.len()];
        }
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += weight / heaviest / total;
        }
        let (index, _) = self
            .credit
            .iter()
            .enumerate()
            .filter(|(index, _)| weights[*index] > 0.0)
            .max_by(|left, right| left.1.total_cmp(right.1))?;
        self.credit[index] -= 1.0;
        Some(index)
    }
}
