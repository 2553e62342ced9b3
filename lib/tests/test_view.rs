//! Tests of how a view applies changes.

#[path = "common/entry_sample.rs"]
mod entry_sample;

use std::sync::Arc;

use entry_sample::entry_info;
use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::ManifestVersion;
use heatherring_lib::id::Revision;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_delta::ManifestDelta;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view::ManifestChange;
use heatherring_lib::view::ManifestInForce;
use heatherring_lib::view::ViewChange;
use heatherring_lib::view::ViewChangeKind;
use heatherring_lib::view::ViewError;
use serde_json::json;

fn manifest(version: u64) -> Manifest {
    serde_json::from_value(json!({
        "version": version,
        "deployment": "test",
        "places": { "alm-a": { "region": "almaty" } },
        "services": {},
    }))
    .unwrap()
}

fn digest(version: u64) -> ContentDigest {
    ContentDigest::of(&version.to_le_bytes())
}

fn change(revision: u64, kind: ViewChangeKind) -> ViewChange {
    ViewChange {
        revision: Revision(revision),
        kind,
    }
}

fn whole(revision: u64, version: u64) -> ViewChange {
    let in_force = ManifestInForce {
        revision: Revision(revision),
        digest: digest(version),
        manifest: manifest(version),
    };
    let kind = ViewChangeKind::Manifest(ManifestChange::Whole(Arc::new(in_force)));
    change(revision, kind)
}

fn delta_of(revision: u64, base: u64, version: u64, delta: Vec<u8>) -> ViewChange {
    let delta = ManifestChange::Delta {
        base: digest(base),
        digest: digest(version),
        delta,
    };
    change(revision, ViewChangeKind::Manifest(delta))
}

fn delta(revision: u64, base: u64, version: u64) -> ViewChange {
    let delta = ManifestDelta::between(&manifest(base), &manifest(version)).unwrap();
    delta_of(revision, base, version, delta.encode().unwrap())
}

fn opened(revision: u64, session: u64) -> ViewChange {
    let session = EntrySession {
        id: SessionId(session),
        info: entry_info("entry-1", "alm-a", "almaty"),
        leaving: false,
    };
    change(revision, ViewChangeKind::SessionOpened(session))
}

/// Returns a view at revision 10 with manifest version 5 and session 10.
fn view() -> ControlView {
    let mut view = ControlView::default();
    view.apply(&whole(9, 5)).unwrap();
    view.apply(&opened(10, 10)).unwrap();
    view
}

#[test]
fn test_view_applies_changes_in_order() {
    let session = SessionId(10);
    let mut view = view();
    view.apply(&delta(11, 5, 6)).unwrap();
    view.apply(&change(12, ViewChangeKind::SessionLeaving(session)))
        .unwrap();

    let held = view.manifest.as_ref().unwrap();
    assert_eq!(held.manifest, manifest(6));
    assert_eq!(held.revision, Revision(11));
    assert!(view.sessions[&session].leaving);

    view.apply(&change(14, ViewChangeKind::SessionClosed(session)))
        .unwrap();
    assert!(view.sessions.is_empty());
    assert_eq!(view.revision, Revision(14));
}

/// Guards against an opening that counts as overtaken by a session that is not newer or not its own.
#[test]
fn test_view_tells_sessions_opened_since() {
    let view = view();
    let [own, other] = ["entry-1", "entry-2"].map(VmName::new);
    assert!(view.has_session_since(&own, Revision(9)));
    assert!(!view.has_session_since(&own, Revision(10)));
    assert!(!view.has_session_since(&other, Revision(9)));
}

macro_rules! refused {
    ($($name:ident: $change:expr => $error:pat,)+) => {
        $(
            #[test]
            fn $name() {
                let mut held = view();
                let error = held.apply(&$change).unwrap_err();
                assert!(matches!(error, $error), "{error:?}");
                assert_eq!(held, view(), "a refused change modified the view");
            }
        )+
    };
}

// Guards against an entry that acts on an older manifest or restores a session that has ended: a
// reply may arrive after its successor, or come from a replica that lags behind. A change that is
// not the next one must be refused.
refused! {
    test_view_refuses_lower_revision: whole(9, 7) => ViewError::NotNewer { .. },
    test_view_refuses_equal_revision: whole(10, 7) => ViewError::NotNewer { .. },
    test_view_refuses_older_manifest: whole(11, 4) => ViewError::ManifestNotNewer {
        change: ManifestVersion(4),
        view: ManifestVersion(5),
    },
    test_view_refuses_delta_of_other_base: delta(11, 4, 6) => ViewError::WrongBase { .. },
    test_view_refuses_damaged_delta:
        delta_of(11, 5, 6, vec![1, 2, 3]) => ViewError::Delta { .. },
    test_view_refuses_end_of_unknown_session:
        change(11, ViewChangeKind::SessionLapsed(SessionId(3))) => ViewError::UnknownSession {
            session: SessionId(3),
        },
    test_view_refuses_second_opening: opened(11, 10) => ViewError::DuplicateSession {
        session: SessionId(10),
    },
}

#[test]
fn test_view_refuses_delta_without_base() {
    let mut view = ControlView::default();
    let error = view.apply(&delta(1, 5, 6)).unwrap_err();
    assert!(matches!(error, ViewError::MissingBase { .. }), "{error:?}");
}
