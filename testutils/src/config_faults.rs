//! Losses of control replicas, drawn by seed, under which confirmed changes have to come into
//! force in time.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::cluster_error::ClusterError;
use crate::config_probe::ConfigProbe;
use crate::config_probe::InForce;
use crate::direct_cluster::DirectCluster;

/// Time in which everything comes to rest between two faults.
const REST: Duration = Duration::from_secs(4);

/// Says what happens to control replicas.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// Nothing.
    None,
    /// All of a region answer nobody.
    RegionDark,
    /// All of a region are frozen.
    RegionFrozen,
    /// All of a region are killed.
    RegionKilled,
    /// All of a region but one answer nobody.
    RegionDarkButOne,
    /// All of a region are cut off from the other replicas, not from entry VMs.
    RegionCutOff,
    /// The same, and a moment later they answer nobody.
    RegionCutOffThenDark,
    /// All of a place are frozen.
    PlaceFrozen,
    /// Two that are drawn answer nobody.
    TwoDark,
    /// One that is drawn is frozen again and again, for a moment each time.
    OneStutters,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 10] = [
        Self::None,
        Self::RegionDark,
        Self::RegionFrozen,
        Self::RegionKilled,
        Self::RegionDarkButOne,
        Self::RegionCutOff,
        Self::RegionCutOffThenDark,
        Self::PlaceFrozen,
        Self::TwoDark,
        Self::OneStutters,
    ];
}

/// Holds what a fault did to entry VMs.
#[derive(Clone, Debug, Default)]
pub struct LagSummary {
    /// Changes in force, over all entry VMs.
    pub count: usize,
    /// Those of them beyond the bound.
    pub late: usize,
    /// The longest lag, and where it was.
    pub worst: Option<InForce>,
}

impl LagSummary {
    fn add(&mut self, seen: &InForce, bound: Duration) {
        self.count += 1;
        self.late += usize::from(seen.lag > bound);
        if self.worst.as_ref().is_none_or(|worst| worst.lag < seen.lag) {
            self.worst = Some(seen.clone());
        }
    }
}

impl fmt::Display for LagSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in force, {} late", self.count, self.late)?;
        match &self.worst {
            Some(worst) => write!(
                f,
                ", worst {} ms (version {} at {})",
                worst.lag.as_millis(),
                worst.version,
                worst.entry
            ),
            None => Ok(()),
        }
    }
}

/// Brings faults about, one after the other.
#[derive(Debug)]
pub struct FaultRun {
    cluster: DirectCluster,
    rng: ChaCha8Rng,
    /// Longest time for which a fault lasts.
    longest: Duration,
    /// Each with when it began.
    begun: Vec<(Instant, Fault)>,
}

impl FaultRun {
    /// Begins without any.
    #[must_use]
    pub fn new(cluster: DirectCluster, seed: u64, longest: Duration) -> Self {
        Self {
            cluster,
            longest,
            rng: ChaCha8Rng::seed_from_u64(seed),
            begun: vec![(Instant::now(), Fault::None)],
        }
    }

    /// Returns the cluster.
    #[must_use]
    pub const fn cluster(&self) -> &DirectCluster {
        &self.cluster
    }

    /// Brings one of `faults` about, ends it and lets everything come to rest.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be handled.
    pub async fn play_one(&mut self, faults: &[Fault]) -> Result<Fault, ClusterError> {
        let fault = faults.choose(&mut self.rng).copied().unwrap_or(Fault::None);
        let lasts = self.longest.mul_f64(self.rng.random_range(0.4..1.0));
        self.begun.push((Instant::now(), fault));
        self.begin(fault, lasts).await?;
        for number in 0..self.cluster.controls.len() {
            self.cluster.set_frozen(number, false)?;
        }
        self.cluster.network.mend();
        self.cluster.revive_controls()?;
        tokio::time::sleep(REST).await;
        Ok(fault)
    }

    async fn begin(&mut self, fault: Fault, lasts: Duration) -> Result<(), ClusterError> {
        let region = self.draw_region();
        match fault {
            Fault::None => {}
            Fault::RegionDark => self.isolate(&region),
            Fault::RegionFrozen => self.freeze(&region)?,
            Fault::RegionKilled => {
                for number in region {
                    self.cluster.kill_control(number)?;
                }
            }
            Fault::RegionDarkButOne => self.isolate(&region[1..]),
            Fault::RegionCutOff => self.cut_off(&region),
            Fault::RegionCutOffThenDark => {
                self.cut_off(&region);
                let pause = self.rng.random_range(100..1_500);
                tokio::time::sleep(Duration::from_millis(pause)).await;
                self.isolate(&region);
            }
            Fault::PlaceFrozen => {
                let place = self.draw_place();
                self.freeze(&place)?;
            }
            Fault::TwoDark => {
                let all: Vec<usize> = (0..self.cluster.controls.len()).collect();
                let two: Vec<usize> = all.choose_multiple(&mut self.rng, 2).copied().collect();
                self.isolate(&two);
            }
            Fault::OneStutters => return self.stutter(lasts).await,
        }
        tokio::time::sleep(lasts).await;
        Ok(())
    }

    async fn stutter(&mut self, lasts: Duration) -> Result<(), ClusterError> {
        let number = self.rng.random_range(0..self.cluster.controls.len());
        let ends = Instant::now() + lasts;
        while Instant::now() < ends {
            let frozen = Duration::from_millis(self.rng.random_range(100..1_500));
            let runs = Duration::from_millis(self.rng.random_range(20..600));
            self.cluster.set_frozen(number, true)?;
            tokio::time::sleep(frozen).await;
            self.cluster.set_frozen(number, false)?;
            tokio::time::sleep(runs).await;
        }
        Ok(())
    }

    fn numbers(&self, is_meant: impl Fn(&str, &str) -> bool) -> Vec<usize> {
        let controls = self.cluster.controls.iter().enumerate();
        controls
            .filter(|(_, vm)| is_meant(&vm.plan.place, &vm.plan.region))
            .map(|(number, _)| number)
            .collect()
    }

    fn draw_region(&mut self) -> Vec<usize> {
        let number = self.rng.random_range(0..self.cluster.controls.len());
        let region = self.cluster.controls[number].plan.region.clone();
        self.numbers(|_, of| of == region)
    }

    fn draw_place(&mut self) -> Vec<usize> {
        let number = self.rng.random_range(0..self.cluster.controls.len());
        let place = self.cluster.controls[number].plan.place.clone();
        self.numbers(|of, _| of == place)
    }

    fn isolate(&mut self, numbers: &[usize]) {
        for number in numbers {
            let vm = self.cluster.controls[*number].plan.vm.clone();
            self.cluster.network.isolate(&vm);
        }
    }

    fn freeze(&self, numbers: &[usize]) -> Result<(), ClusterError> {
        for number in numbers {
            self.cluster.set_frozen(*number, true)?;
        }
        Ok(())
    }

    fn cut_off(&mut self, numbers: &[usize]) {
        let controls = self.cluster.controls.iter();
        let names: Vec<String> = controls.map(|vm| vm.plan.vm.clone()).collect();
        for inside in numbers {
            for (outside, name) in names.iter().enumerate() {
                if !numbers.contains(&outside) {
                    self.cluster.network.cut(&names[*inside], name);
                }
            }
        }
    }

    /// Returns what `probe` has seen by fault: each change counts for the fault that had begun
    /// last when it came into force.
    #[must_use]
    pub fn summary(&self, probe: &ConfigProbe, bound: Duration) -> BTreeMap<Fault, LagSummary> {
        let mut summary: BTreeMap<Fault, LagSummary> = BTreeMap::new();
        for seen in probe.seen() {
            let until = seen.confirmed_at + seen.lag;
            let begun = self.begun.iter().rev().find(|(at, _)| *at <= until);
            let fault = begun.map_or(Fault::None, |(_, fault)| *fault);
            summary.entry(fault).or_default().add(&seen, bound);
        }
        summary
    }
}
