//! A client that proposes and reads at the leader all the time.

use std::time::Duration;

use heatherring_lib::raft_effects::Answer;
use heatherring_lib::raft_effects::Token;

use super::Cluster;

/// Time between two proposals, and between two reads.
const INTERVAL: Duration = Duration::from_millis(200);

/// Requests that wait for an answer, and when others had one.
#[derive(Debug, Default)]
pub struct Client {
    waiting: Vec<Token>,
    commits: Vec<Duration>,
    reads: Vec<Duration>,
    next_at: Duration,
}

impl Client {
    /// Returns the longest times without a confirmed change, and without an answered read.
    pub fn longest_gaps(&self, from: Duration, to: Duration) -> [Duration; 2] {
        [&self.commits, &self.reads].map(|times| {
            let within = times.iter().filter(|at| (from..=to).contains(*at));
            let ends = within.copied().chain([to]);
            let mut last = from;
            let gaps = ends.map(|at| at.saturating_sub(std::mem::replace(&mut last, at)));
            gaps.max().unwrap_or_default()
        })
    }
}

impl Cluster {
    /// Takes the answers that have come, and makes one proposal and one read.
    pub(super) fn step_client(&mut self) {
        let now = self.network.elapsed();
        let client = &mut self.client;
        client.waiting.retain(|token| {
            match self.network.answers.get(token) {
                Some(Answer::Committed { .. }) => client.commits.push(now),
                Some(Answer::ReadReady { .. }) => client.reads.push(now),
                Some(Answer::Refused { .. }) => {}
                None => return true,
            }
            false
        });
        if now < self.client.next_at {
            return;
        }
        self.client.next_at = now + INTERVAL;
        let leader = self.network.leader();
        if let Some(leader) = leader.filter(|leader| self.network.is_active(*leader)) {
            let proposal = self.network.propose(leader);
            let read = self.network.read(leader);
            self.client.waiting.extend([proposal, read]);
        }
    }
}
