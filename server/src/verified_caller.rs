//! Identity of a request's sender, and whether it is still valid.

use heatherring_lib::id::RouteName;
use heatherring_lib::id::TeamName;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::team::KeyDigest;
use heatherring_lib::team::TeamRecord;
use heatherring_lib::team_directory::CallerIdentity;
use heatherring_lib::team_directory::TeamDirectory;

/// The identified sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VerifiedCaller {
    /// The route that the request matched.
    pub route: RouteName,
    /// The caller's team; `None` if the route does not require a key.
    pub team: Option<TeamName>,
    key: Option<KeyDigest>,
}

impl VerifiedCaller {
    /// Identifies who sends a request on `route` with `key`.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal if the key is missing or unknown.
    pub fn find(
        teams: &TeamDirectory,
        route: &RouteName,
        key: Option<KeyDigest>,
    ) -> Result<Self, NotRunReason> {
        let team = match teams.identify(route, key) {
            CallerIdentity::Anybody => None,
            CallerIdentity::Team(team) => Some(team.clone()),
            CallerIdentity::Missing => return Err(NotRunReason::CredentialMissing),
            CallerIdentity::Unknown => return Err(NotRunReason::CredentialUnknown),
        };
        Ok(Self {
            route: route.clone(),
            team,
            key,
        })
    }

    /// Returns the record of the caller's team.
    #[must_use]
    pub fn team_in<'a>(&self, teams: &'a TeamDirectory) -> Option<&'a TeamRecord> {
        let team = teams.team(self.team.as_ref()?)?;
        Some(team)
    }

    /// Checks that the same key still identifies the same caller among newer teams.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be sent any more. A caller whose key now belongs to
    /// another team may repeat the request.
    pub fn check(&self, teams: &TeamDirectory) -> Result<(), NotRunReason> {
        match Self::find(teams, &self.route, self.key) {
            Ok(now) if now == *self => Ok(()),
            Ok(_) => Err(NotRunReason::CredentialChanged),
            Err(_) => Err(NotRunReason::CredentialWithdrawn),
        }
    }
}
