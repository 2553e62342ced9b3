//! What operators and entry VMs were told by control, and the checks on it.
//!
//! The history of operations goes through a linearizability checker against the
//! sequential rules of submission; what that can't say is checked one by one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use todc_utils::Action;
use todc_utils::History;
use todc_utils::WGLChecker;

use crate::submission_spec::SpecSpan;
use crate::submission_spec::SubmissionSpec;
use crate::submission_spec::checked_spans;

/// Identifies a content; the digest in hex, as control reports it.
pub type Digest = Arc<str>;

/// Holds one operation on control.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operation {
    /// Who did it, and through which replica.
    pub client: String,
    /// When it was sent, in microseconds of one clock.
    pub sent_us: u64,
    /// When its answer arrived; without one, its effect may come any time later.
    pub answered_us: Option<u64>,
    /// What was asked and answered.
    pub call: Call,
}

/// Tells what was asked and answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// A submission.
    Submit {
        /// Its version.
        version: u64,
        /// Its content.
        digest: Digest,
        /// The answer.
        answer: SubmitAnswer,
    },
    /// A read of the manifest in force, by an operator or by an entry VM's session.
    Show(Option<Shown>),
}

/// Answers a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitAnswer {
    /// It was accepted.
    Accepted {
        /// The revision that accepted it.
        revision: u64,
    },
    /// Another content holds its version.
    Conflict {
        /// That content.
        winner: Digest,
    },
    /// A higher version is in force.
    Stale {
        /// That version.
        current: u64,
    },
    /// It was proved not to have entered the log.
    NotAccepted,
    /// It may have been accepted or may be yet.
    Unknown,
}

/// Holds a manifest that was shown.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Shown {
    /// Its version.
    pub version: u64,
    /// Its content.
    pub digest: Digest,
    /// The revision that accepted it.
    pub revision: u64,
}

/// Holds what an entry VM saw at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySight {
    /// The entry VM; it stays the same over restarts of its process.
    pub entry: String,
    /// The manifest that it acted on.
    pub shown: Shown,
}

/// Holds a time during which a session of an entry VM acted on one view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Acting {
    /// The entry VM.
    pub entry: String,
    /// The revision that opened the session.
    pub opened: u64,
    /// The view's revision.
    pub revision: u64,
    /// When the view was applied, in microseconds.
    pub from_us: u64,
    /// When the next one was applied, or the lease ran out, in microseconds.
    pub until_us: u64,
}

/// Holds a settled revision that control told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SettledTold {
    /// When the answer arrived, in microseconds.
    pub at_us: u64,
    /// The settled revision.
    pub revision: u64,
}

/// Holds everything that was recorded of a run.
#[derive(Clone, Debug, Default)]
pub struct ControlHistory {
    /// Operations in any order.
    pub operations: Vec<Operation>,
    /// What entry VMs saw, each one's in order.
    pub sights: Vec<EntrySight>,
    /// When sessions acted on which view.
    pub acting: Vec<Acting>,
    /// What control told to be settled.
    pub settled: Vec<SettledTold>,
    /// What each replica reports as accepted when all is over.
    pub final_records: BTreeMap<String, Vec<Shown>>,
}

/// Names a broken promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlComplaint {
    /// No order of the operations explains all the answers.
    NotLinearizable,
    /// Two contents were accepted for one version.
    TwoWinners {
        /// The version.
        version: u64,
        /// The contents.
        digests: BTreeSet<Digest>,
    },
    /// One acceptance was reported with two revisions.
    TwoRevisions {
        /// The version.
        version: u64,
        /// The revisions.
        revisions: BTreeSet<u64>,
    },
    /// A higher version was accepted at a lower revision.
    RevisionsOutOfOrder {
        /// The lower version.
        lower: u64,
        /// The higher version.
        higher: u64,
    },
    /// An accepted manifest is missing from a replica's final report.
    Lost {
        /// The version.
        version: u64,
        /// The replica.
        replica: String,
    },
    /// A replica reports what nobody was told.
    Invented {
        /// The version.
        version: u64,
        /// The replica.
        replica: String,
    },
    /// An entry VM went back to an older manifest.
    StepBack {
        /// The entry VM.
        entry: String,
        /// What it had.
        from: Shown,
        /// What it went back to.
        to: Shown,
    },
    /// A session with a valid lease acted on a view older than a revision that control
    /// had told to be settled.
    BehindSettled {
        /// What acted.
        acting: Acting,
        /// What was told.
        told: SettledTold,
    },
    /// One submission was given two final answers.
    Contradiction {
        /// The version.
        version: u64,
        /// The content.
        digest: Digest,
    },
}

impl fmt::Display for ControlComplaint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl ControlHistory {
    /// Returns everything that is wrong with the history.
    #[must_use]
    pub fn complaints(&self) -> Vec<ControlComplaint> {
        let mut complaints = Vec::new();
        complaints.extend(self.two_winners());
        complaints.extend(self.revisions());
        complaints.extend(self.lost_and_invented());
        complaints.extend(self.steps_back());
        complaints.extend(self.behind_settled());
        complaints.extend(self.contradictions());
        if !self.is_linearizable() {
            complaints.push(ControlComplaint::NotLinearizable);
        }
        complaints
    }

    /// Returns all acceptances that anyone was told of.
    fn reported(&self) -> BTreeSet<Shown> {
        let mut reported: BTreeSet<Shown> = self
            .sights
            .iter()
            .map(|sight| sight.shown.clone())
            .collect();
        for operation in &self.operations {
            match &operation.call {
                Call::Submit {
                    version,
                    digest,
                    answer: SubmitAnswer::Accepted { revision },
                } => {
                    reported.insert(Shown {
                        version: *version,
                        digest: digest.clone(),
                        revision: *revision,
                    });
                }
                Call::Show(Some(shown)) => {
                    reported.insert(shown.clone());
                }
                Call::Submit { .. } | Call::Show(None) => {}
            }
        }
        reported
    }

    fn two_winners(&self) -> Vec<ControlComplaint> {
        let mut winners: BTreeMap<u64, BTreeSet<Digest>> = BTreeMap::new();
        let finals = self.final_records.values().flatten().cloned();
        for shown in self.reported().into_iter().chain(finals) {
            winners
                .entry(shown.version)
                .or_default()
                .insert(shown.digest);
        }
        for operation in &self.operations {
            if let Call::Submit {
                version,
                answer: SubmitAnswer::Conflict { winner },
                ..
            } = &operation.call
            {
                winners.entry(*version).or_default().insert(winner.clone());
            }
        }
        let several = winners.into_iter().filter(|(_, digests)| digests.len() > 1);
        several
            .map(|(version, digests)| ControlComplaint::TwoWinners { version, digests })
            .collect()
    }

    fn revisions(&self) -> Vec<ControlComplaint> {
        let mut revisions: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        for shown in self.reported() {
            revisions
                .entry(shown.version)
                .or_default()
                .insert(shown.revision);
        }
        let mut complaints = Vec::new();
        let mut last: Option<(u64, u64)> = None;
        for (version, revisions) in revisions {
            let highest = revisions.last().copied().unwrap_or_default();
            if let Some((lower, revision)) = last
                && highest <= revision
            {
                complaints.push(ControlComplaint::RevisionsOutOfOrder {
                    lower,
                    higher: version,
                });
            }
            last = Some((version, highest));
            if revisions.len() > 1 {
                complaints.push(ControlComplaint::TwoRevisions { version, revisions });
            }
        }
        complaints
    }

    fn lost_and_invented(&self) -> Vec<ControlComplaint> {
        let reported = self.reported();
        let submitted: BTreeSet<_> = self.submissions().map(|(key, _)| key).collect();
        let mut complaints = Vec::new();
        for (replica, records) in &self.final_records {
            let lost = reported.iter().filter(|shown| !records.contains(shown));
            complaints.extend(lost.map(|shown| ControlComplaint::Lost {
                version: shown.version,
                replica: replica.clone(),
            }));
            let invented = records
                .iter()
                .filter(|shown| !submitted.contains(&(shown.version, &shown.digest)));
            complaints.extend(invented.map(|shown| ControlComplaint::Invented {
                version: shown.version,
                replica: replica.clone(),
            }));
        }
        complaints
    }

    fn steps_back(&self) -> Vec<ControlComplaint> {
        let mut latest: BTreeMap<&str, &Shown> = BTreeMap::new();
        let mut complaints = Vec::new();
        for EntrySight { entry, shown } in &self.sights {
            if let Some(from) = latest.insert(entry, shown)
                && (shown.version < from.version || shown.revision < from.revision)
            {
                complaints.push(ControlComplaint::StepBack {
                    entry: entry.clone(),
                    from: from.clone(),
                    to: shown.clone(),
                });
            }
        }
        complaints
    }

    fn behind_settled(&self) -> Vec<ControlComplaint> {
        let mut complaints = Vec::new();
        for told in &self.settled {
            let behind = self.acting.iter().find(|acting| {
                let in_time = (acting.from_us..acting.until_us).contains(&told.at_us);
                in_time && acting.opened < told.revision && acting.revision < told.revision
            });
            complaints.extend(behind.map(|acting| ControlComplaint::BehindSettled {
                acting: acting.clone(),
                told: *told,
            }));
        }
        complaints
    }

    fn submissions(&self) -> impl Iterator<Item = ((u64, &Digest), &SubmitAnswer)> {
        self.operations
            .iter()
            .filter_map(|operation| match &operation.call {
                Call::Submit {
                    version,
                    digest,
                    answer,
                } => Some(((*version, digest), answer)),
                Call::Show(_) => None,
            })
    }

    /// A content that was accepted once never gets another final answer, and one that
    /// was refused once is never accepted: versions in force only grow.
    fn contradictions(&self) -> Vec<ControlComplaint> {
        let mut answers: BTreeMap<(u64, &Digest), (bool, bool)> = BTreeMap::new();
        for (submission, answer) in self.submissions() {
            let (accepted, refused) = answers.entry(submission).or_default();
            match answer {
                SubmitAnswer::Accepted { .. } => *accepted = true,
                SubmitAnswer::Conflict { .. } | SubmitAnswer::Stale { .. } => *refused = true,
                SubmitAnswer::NotAccepted | SubmitAnswer::Unknown => {}
            }
        }
        let both = answers
            .into_iter()
            .filter(|(_, (accepted, refused))| *accepted && *refused);
        both.map(|((version, digest), _)| ControlComplaint::Contradiction {
            version,
            digest: digest.clone(),
        })
        .collect()
    }

    /// Returns whether some order of the operations, in which each takes effect between
    /// being sent and being answered, explains all answers.
    #[must_use]
    pub fn is_linearizable(&self) -> bool {
        let records = self.final_records.values().flatten();
        let Some(spans) = checked_spans(&self.operations, records) else {
            return false;
        };
        if spans.is_empty() {
            return true;
        }
        let mut moments = Vec::new();
        for (process, span) in spans.into_iter().enumerate() {
            let SpecSpan {
                from_us,
                until_us,
                operation,
            } = span;
            // At equal times the call goes first: overlapping operations may be ordered
            // either way, so the checker must not take them for successive ones.
            moments.push((from_us, false, process, Action::Call(operation.clone())));
            moments.push((until_us, true, process, Action::Response(operation)));
        }
        moments.sort_by_key(|(at, is_response, process, _)| (*at, *is_response, *process));
        let actions = moments
            .into_iter()
            .map(|(_, _, process, action)| (process, action))
            .collect();
        WGLChecker::<SubmissionSpec>::is_linearizable(History::from_actions(actions))
    }
}
