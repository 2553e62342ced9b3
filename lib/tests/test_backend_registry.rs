//! What backend servers state about themselves, in the registry of their owner.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::BackendState;
use heatherring_lib::announcement_number::AnnouncementNumber;
use heatherring_lib::backend_registry::BackendRegistry;
use heatherring_lib::backend_statement::BackendStatement;
use heatherring_lib::backend_statement::ReceivedStatement;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::ServiceName;
use heatherring_lib::pushback::PushbackNotice;
use heatherring_lib::rate_limit::LimitNotice;
use heatherring_lib::rate_limit::RequestRate;
use rstest::rstest;

const ASKED: Duration = Duration::from_millis(1_500);

const SLOTS: u32 = 4;

fn announcement(port: u16) -> Announcement {
    Announcement {
        backend: BackendName::new("backend-1"),
        service: ServiceName::new("registry"),
        place: PlaceName::new("place-1"),
        address: (Ipv4Addr::LOCALHOST, port).into(),
        slots: SLOTS,
        max_connections: 10,
        state: BackendState::Ready,
        in_flight: 0,
        load: 0.0,
        number: AnnouncementNumber::default(),
    }
}

fn announce(registry: &mut BackendRegistry, now: Instant, port: u16) {
    registry.announce(now, &announcement(port), SLOTS, true);
}

fn pause(registry: &mut BackendRegistry, now: Instant, asked: Duration) {
    let received = ReceivedStatement {
        statement: BackendStatement {
            pushback: PushbackNotice::For(asked),
            ..BackendStatement::default()
        },
        at: now,
    };
    let backend = BackendName::new("backend-1");
    registry.note_statement(now, &backend, now, &received, false);
}

fn usable(registry: &BackendRegistry, now: Instant) -> u32 {
    registry.usable(now, Duration::ZERO)
}

/// Guards against a pause that a shorter one cuts short, and against all slots at once after it.
#[test]
fn test_registry_pause_is_only_lengthened() {
    let now = Instant::now();
    let mut registry = BackendRegistry::default();
    announce(&mut registry, now, 1_000);
    pause(&mut registry, now, ASKED);
    pause(&mut registry, now, ASKED / 3);
    let last = now + ASKED.saturating_sub(Duration::from_millis(1));
    assert_eq!(usable(&registry, last), 0);
    assert_eq!(usable(&registry, now + ASKED), 1);
}

/// Guards against a pause that holds for the successor of the process that asked for it.
#[test]
fn test_registry_pause_ends_with_the_process() {
    let now = Instant::now();
    let mut registry = BackendRegistry::default();
    announce(&mut registry, now, 1_000);
    pause(&mut registry, now, ASKED);
    let restarted_at = now + ASKED / 3;
    announce(&mut registry, restarted_at, 1_001);
    assert!(usable(&registry, restarted_at) > 0);
}

/// Guards against an owner that sends more than a declared limit, or follows one that has ended.
#[test]
fn test_registry_limit_spaces_requests() {
    let now = Instant::now();
    let interval = Duration::from_millis(500);
    let mut registry = BackendRegistry::default();
    announce(&mut registry, now, 1_000);
    let state = |registry: &mut BackendRegistry, at: Instant, limit: LimitNotice, is_success| {
        let received = ReceivedStatement {
            statement: BackendStatement {
                limit,
                ..BackendStatement::default()
            },
            at,
        };
        let backend = BackendName::new("backend-1");
        registry.note_statement(at, &backend, at, &received, is_success);
    };
    let reserve = |registry: &mut BackendRegistry, at: Instant| {
        registry.reserve_slot(at, Duration::ZERO, true).is_some()
    };
    let limit = LimitNotice::Limited(RequestRate::new(2.0).unwrap());
    state(&mut registry, now, limit, true);
    assert!(reserve(&mut registry, now));
    assert!(!reserve(&mut registry, now + interval / 4));
    state(
        &mut registry,
        now + interval / 3,
        LimitNotice::Absent,
        false,
    );
    assert!(!reserve(&mut registry, now + interval / 3));
    assert!(reserve(&mut registry, now + interval));
    state(&mut registry, now + interval, LimitNotice::Absent, true);
    assert!(reserve(&mut registry, now + interval));
}

/// Announces a state, and returns how many slots may be used.
fn announce_numbered(
    registry: &mut BackendRegistry,
    now: Instant,
    state: BackendState,
    number: (u64, u64),
) -> u32 {
    let number = AnnouncementNumber {
        born: number.0,
        sequence: number.1,
    };
    let announcement = Announcement {
        state,
        number,
        ..announcement(1_000)
    };
    registry.announce(now, &announcement, SLOTS, true);
    usable(registry, now)
}

/// Guards against requests to a leaving backend server, after a ready announcement of it that was
/// delayed for longer than any time that its owner waits.
#[rstest]
#[case::delayed((1, 2), Duration::from_secs(5), false, 0)]
#[case::repeated((1, 3), Duration::from_secs(5), false, 0)]
#[case::delayed_until_it_is_forgotten((1, 2), Duration::from_secs(5), true, 0)]
#[case::of_an_earlier_process((0, 9), Duration::from_secs(5), true, 0)]
#[case::of_its_next_process((2, 1), Duration::from_millis(1), false, SLOTS)]
#[case::of_its_next_process_when_forgotten((2, 1), Duration::from_secs(5), true, SLOTS)]
#[case::withdrawn_by_itself((1, 4), Duration::from_secs(5), false, SLOTS)]
fn test_registry_leaving_outlasts_late_announcements(
    #[case] number: (u64, u64),
    #[case] delay: Duration,
    #[case] forgets: bool,
    #[case] expected: u32,
) {
    let now = Instant::now();
    let mut registry = BackendRegistry::default();
    announce_numbered(&mut registry, now, BackendState::Ready, (1, 1));
    announce_numbered(&mut registry, now, BackendState::Leaving, (1, 3));
    if forgets {
        registry.forget(now + delay);
    }
    let usable = announce_numbered(&mut registry, now + delay, BackendState::Ready, number);
    assert_eq!(usable, expected);
}

/// Guards against a delayed announcement that counts after one without a number, which an entry VM of
/// an earlier release has passed on.
#[test]
fn test_registry_number_outlasts_announcements_without() {
    let now = Instant::now();
    let mut registry = BackendRegistry::default();
    announce_numbered(&mut registry, now, BackendState::Ready, (1, 2));
    announce_numbered(&mut registry, now, BackendState::Leaving, (0, 0));
    let later = now + Duration::from_secs(5);
    let usable = announce_numbered(&mut registry, later, BackendState::Ready, (1, 1));
    assert_eq!(usable, 0);
}
