//! What became of the requests of teams, by log lines.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::request_diagnosis::LogLine;

/// Counts the requests of one team.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TeamTally {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests whose callers left before.
    pub left: u64,
    /// Requests that got no answer, by the rule that decided.
    pub refused: BTreeMap<String, u64>,
}

impl TeamTally {
    /// Returns the requests that were asked.
    #[must_use]
    pub fn asked(&self) -> u64 {
        self.answered + self.left + self.refused.values().sum::<u64>()
    }
}

/// Counts requests by team. Those without one, such as requests whose key is unknown, count under
/// an empty name.
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
