//! Which sessions tickets name.

#[path = "common/entry_sample.rs"]
mod entry_sample;

use entry_sample::entry_info;
use heatherring_lib::id::SessionId;
use heatherring_lib::ticket_issue::choose_backup;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntrySession;

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
    test_ticket_backup_that_leaves_is_passed_over Some(2),
        [session(2, "almaty", "alm-a", false), session(3, "almaty", "alm-b", true)];
    test_ticket_backup_none None, [session(3, "astana", "ast-a", false)];
}
