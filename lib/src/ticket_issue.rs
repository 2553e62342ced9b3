//! Issuing of tickets: selection of the sessions that a new ticket names.

use crate::action_record::ActionKey;
use crate::id::ServiceName;
use crate::ticket::Ticket;
use crate::ticket::TicketClaims;
use crate::ticket::TicketSecret;
use crate::ticket::TicketSession;
use crate::view::ControlView;
use crate::view::EntrySession;

/// Input to issuing a ticket for a look-up.
#[derive(Clone, Copy, Debug)]
pub struct TicketRequest<'a> {
    /// Service that was looked up.
    pub service: &'a ServiceName,
    /// Session that the look-up returned.
    pub primary: &'a EntrySession,
    /// Random number that distinguishes tickets.
    pub nonce: u64,
    /// Current time by the issuer's clock, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// Issues a ticket. Returns `None` if there is no manifest, the primary is leaving or no other
/// process of the region can record actions.
///
/// The validity of the ticket is taken from the manifest.
#[must_use]
pub fn issue_ticket(
    view: &ControlView,
    request: &TicketRequest<'_>,
    secret: &TicketSecret,
) -> Option<Ticket> {
    let look_ups = &view.manifest.as_ref()?.manifest.look_ups;
    // The look-up may have used a newer view, so `view` may not contain the session yet.
    let primary = view.sessions.get(&request.primary.id);
    let primary = primary.unwrap_or(request.primary);
    if primary.leaving {
        return None;
    }
    let backup = choose_backup(view, primary, request.nonce)?;
    let validity_ms = u64::from(look_ups.ticket_ms);
    let claims = TicketClaims {
        service: request.service.clone(),
        region: primary.info.region.clone(),
        primary: ticket_session(primary),
        backup: ticket_session(backup),
        nonce: request.nonce,
        expires_unix_ms: request.now_unix_ms.saturating_add(validity_ms),
    };
    Some(Ticket::issue(claims, secret))
}

/// Chooses the session that keeps the second record: in another place of the region, so that the
/// loss of one place does not lose both records, or else on another VM of the same place. The nonce
/// spreads tickets over the candidates.
#[must_use]
pub fn choose_backup<'a>(
    view: &'a ControlView,
    primary: &EntrySession,
    nonce: u64,
) -> Option<&'a EntrySession> {
    let in_region = |session: &&EntrySession| {
        let info = &session.info;
        !session.leaving && info.region == primary.info.region && info.vm != primary.info.vm
    };
    let candidates: Vec<&EntrySession> = view.sessions.values().filter(in_region).collect();
    let other_places: Vec<&EntrySession> = candidates
        .iter()
        .copied()
        .filter(|session| session.info.place != primary.info.place)
        .collect();
    pick(&other_places, nonce).or_else(|| pick(&candidates, nonce))
}

fn pick<'a>(candidates: &[&'a EntrySession], nonce: u64) -> Option<&'a EntrySession> {
    let count = u64::try_from(candidates.len()).ok()?;
    let index = usize::try_from(nonce.checked_rem(count)?).ok()?;
    candidates.get(index).copied()
}

fn ticket_session(session: &EntrySession) -> TicketSession {
    TicketSession {
        session: session.id,
        vm: session.info.vm.clone(),
    }
}

/// Returns the session that an action is sent to, if the view still contains it.
#[must_use]
pub fn primary_of<'a>(view: &'a ControlView, key: &ActionKey) -> Option<&'a EntrySession> {
    view.sessions.get(&key.ticket().claims().primary.session)
}

/// Returns the session that is queried when the primary is unreachable, if the view still contains
/// it.
#[must_use]
pub fn backup_of<'a>(view: &'a ControlView, key: &ActionKey) -> Option<&'a EntrySession> {
    view.sessions.get(&key.ticket().claims().backup.session)
}
