//! Counts of teams' requests by outcome, computed from log lines.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::request_diagnosis::LogLine;

/// Counts of one team's requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TeamTally {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests whose callers disconnected before the answer.
    pub left: u64,
    /// Refused requests, by reason code.
    pub refused: BTreeMap<String, u64>,
}

impl TeamTally {
    /// Returns the total number of requests.
    #[must_use]
    pub fn asked(&self) -> u64 {
        self.answered + self.left + self.refused.values().sum::<u64>()
    }
}

/// Counts requests by team. Requests without a team, such as those with an unknown key, are counted
/// under an empty name.
#[must_use]
pub fn tally(lines: &[LogLine]) -> BTreeMap<String, TeamTally> {
    let mut teams: BTreeMap<String, TeamTally> = BTreeMap::new();
    for line in lines {
        let is_request = matches!(line.event.as_str(), "answered" | "refused" | "caller_left");
        if !is_request || !line.fields.contains_key("team") {
            continue;
        }
        let tally = teams.entry(line.text("team").to_owned()).or_default();
        match line.event.as_str() {
            "answered" => tally.answered += 1,
            "refused" => {
                let reason = line.text("reason").to_owned();
                *tally.refused.entry(reason).or_default() += 1;
            }
            _ => tally.left += 1,
        }
    }
    teams
}
