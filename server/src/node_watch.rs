//! Reports of a control replica on its contact with the others: a leader tells of silent voters and
//! of learners that wait, a replica that is not elected who answers.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::duration_text::whole_ms;
use heatherring_lib::id::ReplicaId;
use heatherring_lib::raft_contact::MissingQuorum;
use heatherring_lib::raft_message::Membership;
use heatherring_lib::replica_watch::MemberChange;
use heatherring_lib::replica_watch::MemberCounts;
use heatherring_lib::replica_watch::MemberView;
use heatherring_lib::replica_watch::ReplicaWatch;

use crate::control_node::ControlNode;
use crate::data_folder::Disk;
use crate::metric;

/// Interval at which contact is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Smallest interval between two lines on a missing majority.
const MISSING_QUORUM_INTERVAL: Duration = Duration::from_secs(5);

/// Record of the contact with the other replicas, and the times of the next check and line.
#[derive(Clone, Debug, Default)]
pub(crate) struct ContactWatch {
    members: Option<ReplicaWatch>,
    next_check_at: Option<Instant>,
    next_line_at: Option<Instant>,
}

impl ContactWatch {
    /// Starts anew when the role of the replica changes.
    pub(crate) fn restart(&mut self, leads: bool, now: Instant) {
        self.members = leads.then(|| ReplicaWatch::new(now));
    }

    /// Returns when a replica that hears of no leader has to check: others wake for heartbeats.
    pub(crate) fn next_wake(&self, leader_known: bool) -> Option<Instant> {
        self.next_check_at.filter(|_| !leader_known)
    }
}

impl<D: Disk> ControlNode<D> {
    /// Checks the contact with the other replicas, if that is due, and reports what has changed.
    pub(crate) fn watch_contact(&mut self) {
        let now = self.clock.now();
        if self.contact.next_check_at.is_some_and(|at| now < at) {
            return;
        }
        self.contact.next_check_at = Some(now + CHECK_INTERVAL);
        metric::leaderless(self.raft.leaderless_for(now));
        metric::members(self.member_counts(now));
    }

    fn member_counts(&mut self, now: Instant) -> MemberCounts {
        if self.contact.members.is_some() {
            return self.watch_members(now);
        }
        let Some(missing) = self.raft.missing_quorum(now) else {
            return MemberCounts::default();
        };
        if self.contact.next_line_at.is_none_or(|at| now >= at) {
            self.contact.next_line_at = Some(now + MISSING_QUORUM_INTERVAL);
            log_missing(self.raft.membership(), &missing);
        }
        MemberCounts {
            voters_live: missing.answering.len(),
            voters_silent: missing.silent.len(),
            ..MemberCounts::default()
        }
    }

    fn watch_members(&mut self, now: Instant) -> MemberCounts {
        let Some(watch) = &mut self.contact.members else {
            return MemberCounts::default();
        };
        let membership = self.raft.membership();
        let progress = self.raft.progress();
        let view = MemberView {
            membership,
            progress: &progress,
            commit: self.raft.commit(),
            change_pending: !self.raft.membership_is_committed(),
            max_voters: self.cfg.voters.max_voters(),
            silent_after: self.cfg.timing.election_max(),
            now,
        };
        let changes = watch.check(&view);
        let counts = watch.counts(membership);
        for change in changes {
            log_change(membership, change, watch, counts);
        }
        counts
    }
}

/// Returns the addresses of members, separated by commas.
fn addresses<'a>(membership: &Membership, ids: impl IntoIterator<Item = &'a ReplicaId>) -> String {
    let infos = ids.into_iter().filter_map(|id| membership.info(*id));
    let addresses: Vec<String> = infos.map(|info| info.address.to_string()).collect();
    addresses.join(",")
}

fn log_missing(membership: &Membership, missing: &MissingQuorum) {
    let answering = addresses(membership, &missing.answering);
    let silent = addresses(membership, &missing.silent);
    log::warn!(
        event = "quorum_missing",
        voters = membership.voters.len(),
        needed = membership.majority(),
        answering = answering.as_str(),
        silent = silent.as_str(),
        granted = missing.granted,
        learners = missing.learners,
        leaderless_ms = whole_ms(missing.leaderless_for);
        "no leader is elected: this replica asks for votes and gets no majority"
    );
}

fn log_change(
    membership: &Membership,
    change: MemberChange,
    watch: &ReplicaWatch,
    counts: MemberCounts,
) {
    let live = counts.voters_live;
    let voters = membership.voters.len();
    let address = |id| addresses(membership, [&id]);
    match change {
        MemberChange::VoterSilent(id) => {
            log::warn!(event = "voter_silent", replica = id.0, address = address(id).as_str(), live, voters, learners_ready = counts.learners_ready; "a voter does not answer");
        }
        MemberChange::VoterAnswers(id) => {
            log::info!(event = "voter_answers", replica = id.0, address = address(id).as_str(), live, voters; "a voter answers again");
        }
        MemberChange::LearnerWaits(id, reason) => {
            let silent = addresses(membership, watch.silent_voters());
            log::info!(event = "learner_waits", replica = id.0, address = address(id).as_str(), reason = reason.name(), live, voters, silent = silent.as_str(); "a learner is not promoted to voter");
        }
    }
}
