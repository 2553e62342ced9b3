//! Sample keys and requests for the tests of actions.

use heatherring_lib::action_record::ActionKey;
use heatherring_lib::action_record::ActionQuery;
use heatherring_lib::action_record::ActionRequest;
use heatherring_lib::action_record::Fingerprint;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::ticket::Ticket;
use heatherring_lib::ticket::TicketClaims;
use heatherring_lib::ticket::TicketSecret;
use heatherring_lib::ticket::TicketSession;

pub const PRIMARY: SessionId = SessionId(7);
pub const BACKUP: SessionId = SessionId(8);

/// Issues a ticket that expires at `expires_unix_ms`.
pub fn ticket(expires_unix_ms: u64) -> Ticket {
    let session = |session, vm| TicketSession {
        session,
        vm: VmName::new(vm),
    };
    let claims = TicketClaims {
        service: ServiceName::new("claims"),
        region: RegionName::new("almaty"),
        primary: session(PRIMARY, "alm-a-1"),
        backup: session(BACKUP, "alm-b-1"),
        nonce: expires_unix_ms,
        expires_unix_ms,
    };
    Ticket::issue(claims, &secret())
}

pub fn secret() -> TicketSecret {
    TicketSecret::derive(ClusterId::default())
}

pub fn key(random_part: &str, expires_unix_ms: u64) -> ActionKey {
    let ticket = ticket(expires_unix_ms);
    let text = format!("{}.{random_part}", ticket.as_str());
    let service = &ticket.claims().service;
    ActionKey::parse(&text, service, &secret()).expect("the key was just made")
}

pub fn query(key: &ActionKey, body: &[u8]) -> ActionQuery {
    let request = ActionRequest {
        method: "POST",
        path: "/transfers",
        body,
        caller: b"",
    };
    ActionQuery {
        key: key.clone(),
        fingerprint: Some(Fingerprint::of(key, &request)),
    }
}
