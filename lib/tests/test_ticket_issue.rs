//! Selection of the sessions that tickets name.

#[path = "common/entry_sample.rs"]
mod entry_sample;

use std::sync::Arc;

use entry_sample::entry_info;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::manifest_text::read_manifest;
use heatherring_lib::ticket::Ticket;
use heatherring_lib::ticket::TicketSecret;
use heatherring_lib::ticket_issue::TicketRequest;
use heatherring_lib::ticket_issue::choose_backup;
use heatherring_lib::ticket_issue::issue_ticket;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view::ManifestInForce;

const MANIFEST: &str = include_str!("../../samples/kyushu.jsonc");

fn session(id: u64, region: &str, place: &str, leaving: bool) -> EntrySession {
    let info = entry_info(&format!("vm-{id}"), place, region);
    EntrySession {
        id: SessionId(id),
        info,
        leaving,
    }
}

fn backup_among(others: &[EntrySession]) -> Option<u64> {
    let primary = session(1, "almaty", "alm-a", false);
    let mut view = ControlView::default();
    for other in others.iter().chain([&primary]) {
        view.sessions.insert(other.id, other.clone());
    }
    choose_backup(&view, &primary, 5).map(|backup| backup.id.0)
}

fn issue(view: &ControlView, primary: &EntrySession) -> Option<Ticket> {
    let service = ServiceName::new("registry");
    let request = TicketRequest {
        service: &service,
        primary,
        nonce: 5,
        now_unix_ms: 1,
    };
    issue_ticket(view, &request, &TicketSecret::derive(ClusterId([7; 16])))
}

/// Returns a view with a manifest and these sessions.
fn view_of(sessions: &[EntrySession]) -> ControlView {
    let manifest = read_manifest("manifest", MANIFEST).unwrap();
    let mut view = ControlView {
        manifest: Some(Arc::new(ManifestInForce {
            revision: Revision(1),
            digest: ContentDigest::of(MANIFEST.as_bytes()),
            manifest,
        })),
        ..ControlView::default()
    };
    for session in sessions {
        view.sessions.insert(session.id, session.clone());
    }
    view
}

/// Symptom: all actions of a caller are refused with `ticket_invalid` for as long as it keeps the
/// result of a look-up, after the entry VM that the look-up names has started.
///
/// Sequence: an entry VM reads its view for a look-up; an update adds a new session; the look-up
/// returns this session, based on the newer view; the ticket is issued from the older view, which
/// does not contain it. The look-up is answered without a ticket.
///
/// Cause: the session is searched for in a view that may differ from the one that the look-up used.
#[test]
fn test_ticket_for_a_session_that_is_not_in_the_view_yet() {
    let named = session(3, "almaty", "alm-b", false);
    let older = view_of(&[session(2, "almaty", "alm-a", false)]);
    let ticket = issue(&older, &named).expect("the backup is known");
    assert_eq!(ticket.claims().primary.session, named.id);
    assert_eq!(ticket.claims().backup.session, SessionId(2));
}

#[test]
fn test_ticket_for_a_leaving_session_is_none() {
    let named = session(3, "almaty", "alm-b", false);
    let leaving = session(3, "almaty", "alm-b", true);
    let other = session(2, "almaty", "alm-a", false);
    let newer = view_of(&[other.clone(), leaving.clone()]);
    assert!(issue(&newer, &named).is_none());
    assert!(issue(&view_of(std::slice::from_ref(&other)), &leaving).is_none());
    assert!(issue(&view_of(&[other, named.clone()]), &named).is_some());
}

macro_rules! backups {
    ($($name:ident $expected:expr, [$($other:expr),*];)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(backup_among(&[$($other),*]), $expected);
            }
        )*
    };
}

backups! {
    test_ticket_backup_in_another_place Some(3),
        [session(2, "almaty", "alm-a", false), session(3, "almaty", "alm-b", false)];
    test_ticket_backup_on_another_vm_of_the_place Some(2),
        [session(2, "almaty", "alm-a", false), session(3, "astana", "ast-a", false)];
    test_ticket_backup_that_is_leaving_is_skipped Some(2),
        [session(2, "almaty", "alm-a", false), session(3, "almaty", "alm-b", true)];
    test_ticket_backup_none None, [session(3, "astana", "ast-a", false)];
}
