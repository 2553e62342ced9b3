//! Faults of a soak over real processes, drawn by seed: what happens to which VM, and when.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::config_record::Vm;

/// Says what to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Kill a process.
    Kill(Vm),
    /// Start it, unless it runs.
    Start(Vm),
    /// Send it SIGTERM.
    Stop(Vm),
    /// Stop it in its tracks.
    Freeze(Vm),
    /// Let it go on.
    Thaw(Vm),
    /// Delete the data folder of a control replica that was killed.
    LoseFolder(usize),
    /// Cut a control replica off from everybody.
    Isolate(usize),
    /// Hold back what flows from one VM to another.
    CutOneWay {
        /// The one.
        from: Vm,
        /// The other.
        to: Vm,
        /// Which of them is cut off from the rest.
        cut_off: Vm,
    },
    /// Mend all links.
    Mend,
    /// Wait until a change is confirmed; then cut off the replica that leads, kill it after this
    /// time, and start it after as much again.
    LoseLeaderAfterConfirmation(Duration),
    /// Kill a control replica for good.
    LoseForGood {
        /// Which one.
        target: Target,
        /// Whether its address is silent from then on, instead of refusing connections.
        silent: bool,
    },
    /// Start the empty VM that replaces the lost replica.
    StartSuccessor,
    /// Start an empty VM that is to replace a control replica, which goes on.
    StartSuccessorOf(Target),
    /// End the replicas that were replaced and go on, by SIGTERM or by SIGKILL.
    EndReplaced {
        /// Whether by SIGTERM.
        by_sigterm: bool,
    },
    /// Make the settings name the present replicas.
    MoveSeeds,
}

/// Says which control replica is meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// The one that leads by then.
    Leader,
    /// The one of this number.
    Number(usize),
}

/// Bounds on the replacement of control VMs.
#[derive(Clone, Copy, Debug)]
pub struct Replacements {
    /// Time from the start of a successor until its predecessor doesn't count as lost any more.
    pub catch_up: Duration,
    /// Time from one loss to the next; drawn if `None`.
    pub gap: Option<Duration>,
    /// Number of replicas that are replaced in a row; drawn if `None`.
    pub in_a_row: Option<u32>,
}

/// An action, and when it is due after the begin of its fault.
pub type Step = (Duration, Action);

/// Names a kind of fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// Nothing.
    None,
    /// A group of control replicas answers nobody.
    GroupIsolated,
    /// A group is cut off from the other replicas, not from entry VMs.
    GroupCutOff,
    /// What one control replica sends to the others is held back.
    CutOutward,
    /// What the others send to one control replica is held back.
    CutInward,
    /// A group is frozen.
    GroupFrozen,
    /// A group is killed.
    GroupKilled,
    /// One control replica is frozen again and again.
    OneStutters,
    /// Control replicas are stopped in turn by SIGTERM.
    StoppedInTurn,
    /// All control replicas are frozen.
    AllFrozen,
    /// All control replicas are killed.
    AllKilled,
    /// All are killed and started, again and again.
    AllKilledRepeatedly,
    /// All are killed, one of them loses its folder.
    AllKilledOneLost,
    /// One control replica is killed and loses its folder.
    FolderLost,
    /// The leader is cut off right after a confirmation, and killed.
    LeaderLost,
    /// The leader is replaced by an empty VM at another address, several times in a row.
    LeaderReplaced,
    /// Control replicas are replaced by empty VMs at other addresses, in a row.
    ReplicasReplaced,
    /// The same, and each successor starts before its predecessor ends.
    ReplicasSucceeded,
    /// One is replaced, and a region or one replica is cut off as soon as the successor
    /// has had its time; in a row.
    ReplacedThenCut,
    /// The same, and they are frozen.
    ReplacedThenFrozen,
    /// The same, and they are killed.
    ReplacedThenKilled,
    /// A successor starts, and once it has had its time, its predecessor ends and a region or one
    /// replica is cut off; in a row.
    SucceededThenCut,
    /// One is replaced, and meanwhile others are cut off, frozen or killed, more than a deployment
    /// tolerates; in a row. Only one disk is lost at a time.
    ReplacedBeside,
    /// Entry VMs are killed.
    EntriesKilled,
    /// Entry VMs are frozen.
    EntriesFrozen,
    /// Entry VMs are stopped by SIGTERM.
    EntriesStopped,
    /// What flows between an entry VM and some control replicas is held back one way.
    EntryCut,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [Self; 27] = [
        Self::None,
        Self::GroupIsolated,
        Self::GroupCutOff,
        Self::CutOutward,
        Self::CutInward,
        Self::GroupFrozen,
        Self::GroupKilled,
        Self::OneStutters,
        Self::StoppedInTurn,
        Self::AllFrozen,
        Self::AllKilled,
        Self::AllKilledRepeatedly,
        Self::AllKilledOneLost,
        Self::FolderLost,
        Self::LeaderLost,
        Self::LeaderReplaced,
        Self::ReplicasReplaced,
        Self::ReplicasSucceeded,
        Self::ReplacedThenCut,
        Self::ReplacedThenFrozen,
        Self::ReplacedThenKilled,
        Self::SucceededThenCut,
        Self::ReplacedBeside,
        Self::EntriesKilled,
        Self::EntriesFrozen,
        Self::EntriesStopped,
        Self::EntryCut,
    ];
}

/// Kinds that may happen beside a replacement.
const BESIDE: [FaultKind; 8] = [
    FaultKind::GroupIsolated,
    FaultKind::GroupCutOff,
    FaultKind::CutOutward,
    FaultKind::CutInward,
    FaultKind::GroupFrozen,
    FaultKind::GroupKilled,
    FaultKind::OneStutters,
    FaultKind::AllKilled,
];

/// Draws faults for VMs whose regions and places it knows.
#[derive(Debug)]
pub struct FaultPlanner {
    /// Region and place of each control replica.
    pub controls: Vec<(String, String)>,
    /// Number of entry VMs.
    pub entries: usize,
    /// Longest time for which a fault lasts.
    pub longest: Duration,
    /// Bounds on the replacement of control VMs.
    pub replacements: Replacements,
    /// Where draws come from.
    pub rng: ChaCha8Rng,
}

impl FaultKind {
    /// Returns whether it replaces VMs, which takes all of what the deployment tolerates.
    #[must_use]
    pub const fn is_replacement(self) -> bool {
        matches!(
            self,
            Self::LeaderReplaced
                | Self::ReplicasReplaced
                | Self::ReplicasSucceeded
                | Self::ReplacedThenCut
                | Self::ReplacedThenFrozen
                | Self::ReplacedThenKilled
                | Self::SucceededThenCut
                | Self::ReplacedBeside
        )
    }
}

impl FaultPlanner {
    /// Draws the steps of one fault, the last of which ends it.
    pub fn draw(&mut self, kind: FaultKind) -> Vec<Step> {
        let lasts = self.longest.mul_f64(self.rng.random_range(0.1..1.0));
        let all: Vec<usize> = (0..self.controls.len()).collect();
        match kind {
            FaultKind::None => Vec::new(),
            FaultKind::GroupIsolated => {
                let cuts = self.draw_group().into_iter().map(Action::Isolate);
                during(lasts, cuts.collect(), vec![Action::Mend])
            }
            FaultKind::GroupCutOff => {
                let inside = self.draw_group();
                let cuts = self.cuts_around(&inside, true, true);
                during(lasts, cuts, vec![Action::Mend])
            }
            FaultKind::CutOutward | FaultKind::CutInward => {
                let one = self.draw_some(1);
                let outward = kind == FaultKind::CutOutward;
                let cuts = self.cuts_around(&one, outward, !outward);
                during(lasts, cuts, vec![Action::Mend])
            }
            FaultKind::GroupFrozen => frozen(lasts, &controls(&self.draw_group())),
            FaultKind::GroupKilled => killed(lasts, &controls(&self.draw_group())),
            FaultKind::OneStutters => self.draw_stutter(lasts),
            FaultKind::StoppedInTurn => self.draw_stops(),
            FaultKind::AllFrozen => frozen(lasts, &controls(&all)),
            FaultKind::AllKilled => killed(lasts / 2, &controls(&all)),
            FaultKind::AllKilledRepeatedly => self.draw_repeated_kills(&all),
            FaultKind::AllKilledOneLost => {
                let lost = self.draw_some(1);
                killed_with_loss(lasts / 2, &all, lost[0])
            }
            FaultKind::FolderLost => {
                let lost = self.draw_some(1);
                killed_with_loss(lasts, &lost, lost[0])
            }
            FaultKind::LeaderLost => {
                let pause = Duration::from_millis(self.rng.random_range(20..2_000));
                vec![(Duration::ZERO, Action::LoseLeaderAfterConfirmation(pause))]
            }
            FaultKind::LeaderReplaced => self.draw_replacements(|_| Target::Leader),
            FaultKind::ReplicasReplaced => self.draw_replacements(Target::Number),
            FaultKind::ReplicasSucceeded => self.draw_successions(),
            FaultKind::ReplacedThenCut
            | FaultKind::ReplacedThenFrozen
            | FaultKind::ReplacedThenKilled => self.draw_pairs(kind),
            FaultKind::SucceededThenCut => self.draw_successions_with_cuts(),
            FaultKind::ReplacedBeside => self.draw_beside(),
            FaultKind::EntriesKilled => killed(lasts / 2, &self.draw_entries()),
            FaultKind::EntriesFrozen => frozen(lasts, &self.draw_entries()),
            FaultKind::EntriesStopped => {
                let entries = self.draw_entries();
                let stops = entries.iter().copied().map(Action::Stop);
                let starts = entries.iter().copied().map(Action::Start);
                during(lasts, stops.collect(), starts.collect())
            }
            FaultKind::EntryCut => self.draw_entry_cut(lasts),
        }
    }

    /// Draws a region, a place, or some control replicas.
    fn draw_group(&mut self) -> Vec<usize> {
        let (region, place) = match self.controls.choose(&mut self.rng) {
            Some(drawn) => drawn.clone(),
            None => return Vec::new(),
        };
        match self.rng.random_range(0..4) {
            0 => self.numbers(|control| control.0 == region),
            1 => self.numbers(|control| control.1 == place),
            2 => self.draw_some(1),
            _ => self.draw_some(2),
        }
    }

    /// Draws what a deployment tolerates to lose: mostly a region, else one replica.
    fn draw_tolerated(&mut self) -> Vec<usize> {
        let one = self.draw_some(1);
        let region = self.controls[one[0]].0.clone();
        if self.rng.random_bool(0.75) {
            self.numbers(|control| control.0 == region)
        } else {
            one
        }
    }

    fn numbers(&self, is_meant: impl Fn(&(String, String)) -> bool) -> Vec<usize> {
        let controls = self.controls.iter().enumerate();
        let meant = controls.filter(|(_, control)| is_meant(control));
        meant.map(|(number, _)| number).collect()
    }

    fn draw_some(&mut self, count: usize) -> Vec<usize> {
        let all: Vec<usize> = (0..self.controls.len()).collect();
        let some = all.choose_multiple(&mut self.rng, count);
        some.copied().collect()
    }

    fn draw_entries(&mut self) -> Vec<Vm> {
        let all: Vec<usize> = (0..self.entries).collect();
        let count = self.rng.random_range(1..=self.entries.clamp(1, 4));
        let some = all.choose_multiple(&mut self.rng, count);
        some.copied().map(Vm::Entry).collect()
    }

    /// Returns the cuts of the links between these control replicas and the others.
    fn cuts_around(&self, inside: &[usize], outward: bool, inward: bool) -> Vec<Action> {
        let mut cuts = Vec::new();
        for own in inside {
            let others = (0..self.controls.len()).filter(|other| !inside.contains(other));
            for other in others {
                let (own, other) = (Vm::Control(*own), Vm::Control(other));
                cuts.extend(outward.then(|| cut_one_way(own, other, own)));
                cuts.extend(inward.then(|| cut_one_way(other, own, own)));
            }
        }
        cuts
    }

    fn draw_stutter(&mut self, lasts: Duration) -> Vec<Step> {
        let vm = Vm::Control(self.rng.random_range(0..self.controls.len()));
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        while at < lasts {
            steps.push((at, Action::Freeze(vm)));
            at += Duration::from_millis(self.rng.random_range(100..1_500));
            steps.push((at, Action::Thaw(vm)));
            at += Duration::from_millis(self.rng.random_range(20..600));
        }
        steps
    }

    fn draw_stops(&mut self) -> Vec<Step> {
        let mut turn: Vec<usize> = (0..self.controls.len()).collect();
        turn.shuffle(&mut self.rng);
        let pause = Duration::from_millis(self.rng.random_range(300..2_500));
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        for vm in turn.into_iter().map(Vm::Control) {
            steps.push((at, Action::Stop(vm)));
            at += pause;
            steps.push((at, Action::Start(vm)));
            at += pause;
        }
        steps
    }

    /// Draws how many replicas are replaced, and which.
    fn draw_row(&mut self) -> Vec<usize> {
        let mut row: Vec<usize> = (0..self.controls.len()).collect();
        row.shuffle(&mut self.rng);
        let count = match self.replacements.in_a_row {
            Some(count) => usize::try_from(count).unwrap_or(usize::MAX),
            None => self.rng.random_range(1..=row.len()),
        };
        row.into_iter().cycle().take(count).collect()
    }

    /// Draws the time from one loss to the next, where a successor starts `offset` after the loss.
    fn draw_gap(&mut self, offset: Duration) -> Duration {
        self.replacements.gap.unwrap_or_else(|| {
            let rest = Duration::from_millis(self.rng.random_range(300..6_000));
            offset + self.replacements.catch_up + rest
        })
    }

    fn draw_replacements(&mut self, target: impl Fn(usize) -> Target) -> Vec<Step> {
        let moves_seeds = self.rng.random_bool(0.5);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        for number in self.draw_row() {
            let offset = self.draw_offset();
            let next = at + self.draw_gap(offset);
            steps.extend(self.replace_at(at, offset, target(number), moves_seeds));
            at = next;
        }
        steps.push((at, Action::Mend));
        steps
    }

    /// Draws the time from a loss to the start of the successor.
    fn draw_offset(&mut self) -> Duration {
        match self.replacements.gap {
            Some(_) => Duration::from_secs(2),
            None => Duration::from_millis(self.rng.random_range(0..2_000)),
        }
    }

    fn replace_at(
        &mut self,
        at: Duration,
        offset: Duration,
        target: Target,
        moves_seeds: bool,
    ) -> Vec<Step> {
        let silent = self.rng.random_bool(0.5);
        let mut steps = vec![
            (at, Action::LoseForGood { target, silent }),
            (at + offset, Action::StartSuccessor),
        ];
        steps.extend(moves_seeds.then_some((at + offset, Action::MoveSeeds)));
        steps
    }

    fn draw_target(&mut self, number: usize) -> Target {
        if self.rng.random_bool(0.5) {
            Target::Leader
        } else {
            Target::Number(number)
        }
    }

    fn draw_pairs(&mut self, kind: FaultKind) -> Vec<Step> {
        let moves_seeds = self.rng.random_bool(0.5);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        for number in self.draw_row() {
            let target = self.draw_target(number);
            let offset = self.draw_offset();
            steps.extend(self.replace_at(at, offset, target, moves_seeds));
            let rest = Duration::from_millis(self.rng.random_range(0..300));
            let gap = self.replacements.gap;
            at += gap.unwrap_or(offset + self.replacements.catch_up + rest);
            let second = self.draw_second(kind);
            let lasts = second.last().map_or(Duration::ZERO, |(ends, _)| *ends);
            steps.extend(second.into_iter().map(|(due, action)| (at + due, action)));
            let rest = Duration::from_millis(self.rng.random_range(300..2_000));
            at += lasts + self.replacements.catch_up + rest;
        }
        steps.push((at, Action::Mend));
        steps
    }

    fn draw_successions_with_cuts(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        for number in self.draw_row() {
            let target = self.draw_target(number);
            let by_sigterm = self.rng.random_bool(0.5);
            steps.push((at, Action::StartSuccessorOf(target)));
            at += self.replacements.catch_up + Duration::from_millis(self.rng.random_range(0..500));
            steps.push((at, Action::MoveSeeds));
            steps.push((at, Action::EndReplaced { by_sigterm }));
            at += Duration::from_millis(self.rng.random_range(0..300));
            let group = self.draw_tolerated().into_iter().map(Action::Isolate);
            let cut = during(self.longest, group.collect(), vec![Action::Mend]);
            steps.extend(cut.into_iter().map(|(due, action)| (at + due, action)));
            let rest = Duration::from_millis(self.rng.random_range(300..2_000));
            at += self.longest + self.replacements.catch_up + rest;
        }
        steps.push((at, Action::Mend));
        steps
    }

    fn draw_beside(&mut self) -> Vec<Step> {
        let moves_seeds = self.rng.random_bool(0.5);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        for number in self.draw_row() {
            let target = self.draw_target(number);
            let offset = self.draw_offset();
            steps.extend(self.replace_at(at, offset, target, moves_seeds));
            let kind = BESIDE.choose(&mut self.rng).copied();
            let other = self.draw(kind.unwrap_or(FaultKind::None));
            let begins = Duration::from_millis(self.rng.random_range(0..3_000));
            let lasts = other.last().map_or(Duration::ZERO, |(ends, _)| *ends);
            let other = other.into_iter();
            steps.extend(other.map(|(due, action)| (at + begins + due, action)));
            let rest = Duration::from_millis(self.rng.random_range(300..2_000));
            at += offset.max(begins + lasts) + self.replacements.catch_up + rest;
        }
        steps.push((at, Action::Mend));
        steps
    }

    /// Draws what follows the replacement in a pair.
    fn draw_second(&mut self, kind: FaultKind) -> Vec<Step> {
        let group = self.draw_tolerated();
        match kind {
            FaultKind::ReplacedThenCut => {
                let cuts = group.iter().copied().map(Action::Isolate);
                during(self.longest, cuts.collect(), vec![Action::Mend])
            }
            FaultKind::ReplacedThenFrozen => frozen(self.longest.mul_f64(0.6), &controls(&group)),
            _ => {
                let lasts = self.longest.mul_f64(self.rng.random_range(0.1..1.0));
                killed(lasts, &controls(&group))
            }
        }
    }

    fn draw_successions(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        for number in self.draw_row() {
            let lead = Duration::from_millis(self.rng.random_range(500..6_000));
            let by_sigterm = self.rng.random_bool(0.5);
            let target = self.draw_target(number);
            steps.push((at, Action::StartSuccessorOf(target)));
            steps.push((at + lead, Action::MoveSeeds));
            steps.push((at + lead, Action::EndReplaced { by_sigterm }));
            at += lead + self.draw_gap(Duration::ZERO);
        }
        steps.push((at, Action::Mend));
        steps
    }

    fn draw_repeated_kills(&mut self, all: &[usize]) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        for _ in 0..self.rng.random_range(2..6) {
            steps.extend(all.iter().map(|vm| (at, Action::Kill(Vm::Control(*vm)))));
            at += Duration::from_millis(self.rng.random_range(50..1_000));
            steps.extend(all.iter().map(|vm| (at, Action::Start(Vm::Control(*vm)))));
            at += Duration::from_millis(self.rng.random_range(100..4_000));
        }
        steps
    }

    fn draw_entry_cut(&mut self, lasts: Duration) -> Vec<Step> {
        let entry = Vm::Entry(self.rng.random_range(0..self.entries));
        let count = self.rng.random_range(1..=self.controls.len());
        let inward = self.rng.random_bool(0.5);
        let cut = |control| {
            let control = Vm::Control(control);
            if inward {
                cut_one_way(control, entry, entry)
            } else {
                cut_one_way(entry, control, entry)
            }
        };
        let cuts = self.draw_some(count).into_iter().map(cut);
        during(lasts, cuts.collect(), vec![Action::Mend])
    }
}

fn controls(numbers: &[usize]) -> Vec<Vm> {
    numbers.iter().copied().map(Vm::Control).collect()
}

const fn cut_one_way(from: Vm, to: Vm, cut_off: Vm) -> Action {
    Action::CutOneWay { from, to, cut_off }
}

/// Returns the steps that begin something and end it after a while.
fn during(lasts: Duration, begin: Vec<Action>, end: Vec<Action>) -> Vec<Step> {
    let begin = begin.into_iter().map(|action| (Duration::ZERO, action));
    let end = end.into_iter().map(|action| (lasts, action));
    begin.chain(end).collect()
}

fn frozen(lasts: Duration, vms: &[Vm]) -> Vec<Step> {
    let freeze = vms.iter().copied().map(Action::Freeze);
    let thaw = vms.iter().copied().map(Action::Thaw);
    during(lasts, freeze.collect(), thaw.collect())
}

fn killed(lasts: Duration, vms: &[Vm]) -> Vec<Step> {
    let kill = vms.iter().copied().map(Action::Kill);
    let start = vms.iter().copied().map(Action::Start);
    during(lasts, kill.collect(), start.collect())
}

fn killed_with_loss(lasts: Duration, numbers: &[usize], lost: usize) -> Vec<Step> {
    let vms = controls(numbers);
    let kill = vms.iter().copied().map(Action::Kill);
    let start = vms.iter().copied().map(Action::Start);
    let begin = kill.chain([Action::LoseFolder(lost)]);
    during(lasts, begin.collect(), start.collect())
}
