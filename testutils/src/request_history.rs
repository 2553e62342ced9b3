//! The history of a run, and the checks on it.
//!
//! A history joins what every caller was told with what every backend server's ledger
//! holds. The ledgers are the truth; a caller's record is a claim to be tested.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::caller::Attempt;
use crate::caller::CallRecord;
use crate::caller::Told;
use crate::ledger::Asked;
use crate::ledger::LedgerEvent;
use crate::ledger::LedgerEventKind;

const WINDOW_US: u64 = 1_000_000;

/// Holds everything that was recorded of a run.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    /// What callers sent and were told.
    pub calls: Vec<CallRecord>,
    /// The ledgers; each one's events in their order.
    pub events: Vec<LedgerEvent>,
    /// Caps on arrivals.
    pub caps: Vec<ArrivalCap>,
    /// Drains by manifest; the leaving of a backend server is in its ledger.
    pub drains: Vec<DrainMark>,
    /// Time after a drain's beginning until no new work may arrive, in microseconds.
    pub drain_bound_us: u64,
}

/// Caps the arrivals at a set of places from a set of origins, in every window of one
/// second.
#[derive(Clone, Debug)]
pub struct ArrivalCap {
    /// The service.
    pub service: String,
    /// Places of callers.
    pub origins: BTreeSet<String>,
    /// Places of backend servers.
    pub places: BTreeSet<String>,
    /// Most arrivals in a window.
    pub max: usize,
    /// When the cap was in force everywhere, in microseconds of the machine's clock.
    pub from_us: u64,
}

/// Tells when a drain was in force.
#[derive(Clone, Debug)]
pub struct DrainMark {
    /// Backend servers that are drained.
    pub backends: BTreeSet<String>,
    /// When the drain was in force everywhere, in microseconds of the machine's clock.
    pub from_us: u64,
    /// When it was taken back, if it was.
    pub until_us: Option<u64>,
}

/// Names a broken promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// An action ran more than once.
    RanTwice {
        /// Its key.
        key: String,
        /// The backend servers that ran it, in the ledgers' order.
        backends: Vec<String>,
    },
    /// A caller was told "not run", but it ran.
    RanAfterAll {
        /// The nonce of the request.
        nonce: String,
        /// The backend server that ran it.
        backend: String,
    },
    /// A caller got an answer that isn't the whole answer to its request.
    WrongAnswer {
        /// The caller.
        caller: String,
        /// What is wrong.
        fault: String,
    },
    /// A caller got an answer that no ledger knows of.
    AnswerFromNowhere {
        /// The nonce of the request.
        nonce: String,
    },
    /// A backend server ran something else than the caller sent.
    OtherRequest {
        /// The nonce of the request.
        nonce: String,
    },
    /// A response was no answer and no well-formed refusal.
    Malformed {
        /// The caller.
        caller: String,
        /// What is wrong.
        fault: String,
    },
    /// A backend server had more requests than slots.
    OverSlots {
        /// The backend server.
        backend: String,
        /// When, in microseconds of the machine's clock.
        at_us: u64,
    },
    /// A backend server had more connections than it announced.
    OverConnections {
        /// The backend server.
        backend: String,
    },
    /// A backend server got new work although it had been leaving for longer than the
    /// bound.
    WorkAfterDrain {
        /// The backend server.
        backend: String,
        /// Time since the drain began, in microseconds.
        late_us: u64,
    },
    /// More arrivals than a cap allows fell in one window.
    OverCap {
        /// The service.
        service: String,
        /// Arrivals in the window.
        arrivals: usize,
        /// The cap.
        max: usize,
        /// Start of the window.
        from_us: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl RequestHistory {
    /// Returns every broken promise that the history shows.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = self.check_runs_at_most_once();
        violations.extend(self.check_not_run());
        violations.extend(self.check_answers());
        violations.extend(self.check_slots());
        violations.extend(self.check_drains());
        violations.extend(self.check_caps());
        violations
    }

    /// Returns requests that began to run.
    fn starts(&self) -> impl Iterator<Item = (&LedgerEvent, &Asked)> {
        self.events.iter().filter_map(|event| match &event.kind {
            LedgerEventKind::Start(asked) => Some((event, asked)),
            _ => None,
        })
    }

    fn attempts(&self) -> impl Iterator<Item = (&CallRecord, &Attempt)> {
        let calls = self.calls.iter();
        calls.flat_map(|call| call.attempts.iter().map(move |attempt| (call, attempt)))
    }

    /// Returns the key of each action's nonce, so that a run whose key got lost on the
    /// way to the backend server is still known as that action's.
    fn keys_by_nonce(&self) -> BTreeMap<&str, &str> {
        let attempts = self.attempts();
        attempts
            .filter_map(|(_, attempt)| Some((attempt.nonce.as_str(), attempt.key.as_deref()?)))
            .collect()
    }

    fn check_runs_at_most_once(&self) -> Vec<Violation> {
        let keys = self.keys_by_nonce();
        let mut runs: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (event, asked) in self.starts() {
            let key = keys.get(asked.nonce.as_str()).copied();
            if let Some(key) = key.or(asked.key.as_deref()) {
                runs.entry(key).or_default().push(event.backend.clone());
            }
        }
        let twice = runs.into_iter().filter(|(_, backends)| backends.len() > 1);
        twice
            .map(|(key, backends)| Violation::RanTwice {
                key: key.to_owned(),
                backends,
            })
            .collect()
    }

    fn check_not_run(&self) -> Vec<Violation> {
        let denied = self
            .attempts()
            .filter(|(_, attempt)| attempt.told.is_not_run());
        let denied: BTreeSet<_> = denied.map(|(_, attempt)| attempt.nonce.as_str()).collect();
        self.starts()
            .filter(|(_, asked)| denied.contains(asked.nonce.as_str()))
            .map(|(event, asked)| Violation::RanAfterAll {
                nonce: asked.nonce.clone(),
                backend: event.backend.clone(),
            })
            .collect()
    }

    fn check_answers(&self) -> Vec<Violation> {
        let ran: BTreeMap<_, _> = self
            .starts()
            .map(|(_, asked)| (asked.nonce.as_str(), asked.digest.as_str()))
            .collect();
        let mut violations = Vec::new();
        for (call, attempt) in self.attempts() {
            let digest = ran.get(attempt.nonce.as_str()).copied();
            if digest.is_some_and(|digest| digest != attempt.digest) {
                violations.push(Violation::OtherRequest {
                    nonce: attempt.nonce.clone(),
                });
            }
            match &attempt.told {
                Told::WrongAnswer { fault } => violations.push(Violation::WrongAnswer {
                    caller: call.caller.clone(),
                    fault: fault.clone(),
                }),
                Told::Malformed { fault, .. } => violations.push(Violation::Malformed {
                    caller: call.caller.clone(),
                    fault: fault.clone(),
                }),
                Told::Answer { .. } if digest.is_none() => {
                    violations.push(Violation::AnswerFromNowhere {
                        nonce: attempt.nonce.clone(),
                    });
                }
                _ => {}
            }
        }
        violations
    }

    fn check_slots(&self) -> Vec<Violation> {
        let mut running: BTreeMap<&str, u32> = BTreeMap::new();
        let mut violations = Vec::new();
        for event in &self.events {
            let count = running.entry(&event.backend).or_default();
            match event.kind {
                LedgerEventKind::Started => *count = 0,
                LedgerEventKind::Start(_) => *count += 1,
                LedgerEventKind::End { .. } => *count = count.saturating_sub(1),
                LedgerEventKind::ConnectionOverrun => {
                    violations.push(Violation::OverConnections {
                        backend: event.backend.clone(),
                    });
                }
                _ => {}
            }
            let overrun = matches!(event.kind, LedgerEventKind::Overrun(_));
            if overrun || *count > event.slots {
                violations.push(Violation::OverSlots {
                    backend: event.backend.clone(),
                    at_us: event.at_us,
                });
            }
        }
        violations
    }

    fn check_drains(&self) -> Vec<Violation> {
        let leaving = self.events.iter().filter_map(|event| {
            let leaves = event.kind == LedgerEventKind::Leaving;
            leaves.then(|| DrainMark {
                backends: BTreeSet::from([event.backend.clone()]),
                from_us: event.at_us,
                until_us: None,
            })
        });
        let drains: Vec<_> = leaving.chain(self.drains.iter().cloned()).collect();
        let mut violations = Vec::new();
        for (event, _) in self.starts() {
            let late = drains
                .iter()
                .filter(|drain| drain.backends.contains(&event.backend));
            let late = late.filter(|drain| drain.until_us.is_none_or(|until| event.at_us < until));
            let late = late
                .map(|drain| event.at_us.saturating_sub(drain.from_us))
                .max();
            if let Some(late_us) = late.filter(|late| *late > self.drain_bound_us) {
                violations.push(Violation::WorkAfterDrain {
                    backend: event.backend.clone(),
                    late_us,
                });
            }
        }
        violations
    }

    fn check_caps(&self) -> Vec<Violation> {
        let capped = self.caps.iter().filter_map(|cap| {
            let (from_us, arrivals) = fullest_window(&self.arrivals(cap))?;
            (arrivals > cap.max).then(|| Violation::OverCap {
                service: cap.service.clone(),
                arrivals,
                max: cap.max,
                from_us,
            })
        });
        capped.collect()
    }

    /// Returns when requests under a cap arrived, in order, whether they ran or not.
    #[must_use]
    pub fn arrivals(&self, cap: &ArrivalCap) -> Vec<u64> {
        let events = self.events.iter().filter(|event| {
            let (LedgerEventKind::Start(asked)
            | LedgerEventKind::Overrun(asked)
            | LedgerEventKind::Shed(asked)) = &event.kind
            else {
                return false;
            };
            event.service == cap.service
                && event.at_us >= cap.from_us
                && cap.origins.contains(&asked.origin)
                && cap.places.contains(&event.place)
        });
        let mut arrivals: Vec<_> = events.map(|event| event.at_us).collect();
        arrivals.sort_unstable();
        arrivals
    }
}

/// Returns the start of the window of one second with the most of these instants, and
/// how many it holds. The instants must be in order.
#[must_use]
pub fn fullest_window(instants: &[u64]) -> Option<(u64, usize)> {
    let mut first = 0;
    let mut fullest = None;
    for (last, at) in instants.iter().enumerate() {
        while at - instants[first] >= WINDOW_US {
            first += 1;
        }
        let held = last - first + 1;
        if fullest.is_none_or(|(_, most)| held > most) {
            fullest = Some((instants[first], held));
        }
    }
    fullest
}
