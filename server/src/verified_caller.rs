//! Who sent a request, and whether that still holds.

use heatherring_lib::id::RouteName;
use heatherring_lib::id::TeamName;
use heatherring_lib::outcome::NotRunReason;
use heatherring_lib::team::KeyDigest;
use heatherring_lib::team::TeamRecord;
use heatherring_lib::team_directory::CallerIdentity;
use heatherring_lib::team_directory::TeamDirectory;

/// Holds who sent a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VerifiedCaller {
    /// The route that the request came by.
    pub route: RouteName,
    /// The caller's team, if it has to be known.
    pub team: Option<TeamName>,
    key: Option<KeyDigest>,
}

impl VerifiedCaller {
    /// Finds who sends a request on `route` with `key`.
    ///
    /// # Errors
    ///
    /// Says why nobody may.
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

    /// Returns what is known of the team.
    #[must_use]
    pub fn team_in<'a>(&self, teams: &'a TeamDirectory) -> Option<&'a TeamRecord> {
        let team = teams.team(self.team.as_ref()?)?;
        Some(team)
    }

    /// Checks whether the same key makes the caller the same one among the teams of later.
    ///
    /// # Errors
    ///
    /// Says why the request can't be sent any more. Whoever has become another one may ask
    /// again.
    pub fn check(&self, teams: &TeamDirectory) -> Result<(), NotRunReason> {
        match Self::find(teams, &self.route, self.key) {
            Ok(now) if now == *self => Ok(()),
            Ok(_) => Err(NotRunReason::CredentialChanged),
            Err(_) => Err(NotRunReason::CredentialWithdrawn),
        }
    }
}
