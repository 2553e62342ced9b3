//! Judges which requests reached a backend server too late after its end was confirmed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::drain_server::Arrival;

/// Time after a confirmation from which on no request may arrive, while control is stable.
pub const BOUND: Duration = Duration::from_secs(2);

/// The same while it is not.
pub const UNSTABLE_BOUND: Duration = Duration::from_secs(7);

/// Time after a disturbance from which on control counts as stable, and an entry VM as in touch.
pub const STABILITY: Duration = Duration::from_secs(3);

/// Time before a confirmation in which the traffic of a backend server is counted.
const STEADY: Duration = Duration::from_secs(1);

/// What disturbed control and entry VMs, and when.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    control: Vec<Instant>,
    /// Begin and end of each time for which an entry VM was frozen.
    entries: BTreeMap<String, Vec<(Instant, Option<Instant>)>>,
}

impl Disturbances {
    /// Records that a control replica or its links were disturbed, or that this ended.
    pub fn note_control(&mut self) {
        self.control.push(Instant::now());
    }

    /// Records that an entry VM is frozen from now on.
    pub fn note_frozen(&mut self, entry: &str) {
        let spells = self.entries.entry(entry.to_owned()).or_default();
        spells.push((Instant::now(), None));
    }

    /// Records that an entry VM runs again.
    pub fn note_thawed(&mut self, entry: &str) {
        let spells = self.entries.get_mut(entry);
        if let Some((_, end)) = spells.and_then(|spells| spells.last_mut()) {
            *end = Some(Instant::now());
        }
    }

    fn is_stable(&self, at: Instant) -> bool {
        let is_near = |event: &Instant| *event <= at && at < *event + STABILITY;
        !self.control.iter().any(is_near)
    }

    fn is_in_touch(&self, entry: &str, at: Instant) -> bool {
        let spells = self.entries.get(entry).into_iter().flatten();
        let mut spells = spells.filter(|(begin, _)| *begin <= at);
        !spells.any(|(_, end)| end.is_none_or(|end| at < end + STABILITY))
    }
}

/// How a backend server says that it leaves.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Way {
    /// It announces that it is draining, again and again.
    Draining,
    /// It announces once that it is draining, and is silent from the confirmation on.
    DrainingOnce,
    /// It withdraws and names its incarnation.
    Withdrawal,
    /// It withdraws and does not name its incarnation.
    UnnamedWithdrawal,
    /// It states in answers that it is leaving.
    Answers,
}

impl Way {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Draining,
        Self::DrainingOnce,
        Self::Withdrawal,
        Self::UnnamedWithdrawal,
        Self::Answers,
    ];
}

/// A leaving that was confirmed.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Name of the backend server.
    pub server: String,
    /// How it said so.
    pub way: Way,
    /// Who confirmed it, and what happened to it then.
    pub by: String,
    /// When the confirmation had arrived.
    pub confirmed_at: Instant,
}

/// A request that arrived later than it may.
#[derive(Clone, Debug)]
pub struct LateArrival {
    /// The leaving that it follows.
    pub leaving: Leaving,
    /// The request.
    pub arrival: Arrival,
    /// Time from the confirmation to the arrival.
    pub lag: Duration,
    /// Whether control was stable.
    pub is_stable: bool,
}

impl fmt::Display for LateArrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            leaving,
            arrival,
            lag,
            is_stable,
        } = self;
        write!(
            f,
            "{} from {} reached {} {:.3} s after it was confirmed ({:?}, {}, control {})",
            arrival.path,
            arrival.entry,
            leaving.server,
            lag.as_secs_f64(),
            leaving.way,
            leaving.by,
            if *is_stable { "stable" } else { "not stable" },
        )
    }
}

/// What was found about all leavings of one way.
#[derive(Clone, Debug, Default)]
pub struct WaySummary {
    /// Number of leavings.
    pub leavings: usize,
    /// Number of requests that arrived in the second before the confirmation.
    pub before: usize,
    /// Number of requests that arrived after the confirmation, from entry VMs in touch.
    pub after: usize,
    /// Longest time after the confirmation at which one arrived.
    pub worst: Duration,
}

/// Judges all leavings of a run.
#[derive(Debug, Default)]
pub struct DrainJudge {
    /// By way of leaving.
    pub summary: BTreeMap<Way, WaySummary>,
    /// The requests that arrived too late.
    pub late: Vec<LateArrival>,
}

impl DrainJudge {
    /// Judges the arrivals at a backend server that left. `told` is when each entry VM was first
    /// answered that it is leaving; it counts in place of the confirmation for [`Way::Answers`].
    pub fn judge(
        &mut self,
        leaving: &Leaving,
        arrivals: &[Arrival],
        told: &BTreeMap<String, Instant>,
        disturbances: &Disturbances,
    ) {
        let summary = self.summary.entry(leaving.way).or_default();
        summary.leavings += 1;
        for arrival in arrivals {
            let since = match leaving.way {
                Way::Answers => told.get(&arrival.entry).copied(),
                _ => Some(leaving.confirmed_at),
            };
            let Some(since) = since else {
                continue;
            };
            let Some(lag) = arrival.at.checked_duration_since(since) else {
                summary.before += usize::from(since - arrival.at < STEADY);
                continue;
            };
            if !disturbances.is_in_touch(&arrival.entry, arrival.at) {
                continue;
            }
            summary.after += 1;
            summary.worst = summary.worst.max(lag);
            let is_stable = disturbances.is_stable(arrival.at);
            let bound = if is_stable { BOUND } else { UNSTABLE_BOUND };
            if lag > bound {
                self.late.push(LateArrival {
                    leaving: leaving.clone(),
                    arrival: arrival.clone(),
                    lag,
                    is_stable,
                });
            }
        }
    }
}
