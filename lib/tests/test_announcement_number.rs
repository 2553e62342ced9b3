//! Numbers of announcements on the wire, also between entry VMs of different releases.

use std::net::Ipv4Addr;

use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::AnnouncementBody;
use heatherring_lib::announcement::BackendState;
use heatherring_lib::announcement_number::AnnouncementNumber;
use heatherring_lib::id::BackendName;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::ownership::Group;
use heatherring_lib::ownership::Release;
use heatherring_lib::ownership::ReleasedBackend;
use rstest::rstest;
use serde_json::json;

const NUMBER: AnnouncementNumber = AnnouncementNumber {
    born: 1_700_000_000_000,
    sequence: 3,
};

fn announcement(number: AnnouncementNumber) -> Announcement {
    Announcement {
        backend: BackendName::new("backend-1"),
        service: ServiceName::new("registry"),
        place: PlaceName::new("place-1"),
        address: (Ipv4Addr::LOCALHOST, 80).into(),
        slots: 3,
        max_connections: 10,
        state: BackendState::Leaving,
        in_flight: 1,
        load: 0.5,
        number,
    }
}

fn release(number: AnnouncementNumber) -> Release {
    let group = Group::new(ServiceName::new("registry"), PlaceName::new("place-1"));
    Release {
        group,
        from: SessionId(1),
        revision: Revision(2),
        serial: 3,
        in_flight: Vec::new(),
        recent: Vec::new(),
        backends: vec![ReleasedBackend {
            announcement: announcement(number),
            age_ms: 4,
        }],
        complete: true,
    }
}

/// Guards against a number that gets lost between a backend server and its owner.
#[rstest]
#[case::with(json!({"born": NUMBER.born, "sequence": NUMBER.sequence}), NUMBER)]
#[case::without(json!({}), AnnouncementNumber::default())]
fn test_announcement_number_is_read(
    #[case] fields: serde_json::Value,
    #[case] expected: AnnouncementNumber,
) {
    let mut body = serde_json::to_value(announcement(expected)).unwrap();
    let fields = fields.as_object().unwrap().clone();
    body.as_object_mut().unwrap().extend(fields);
    let body: AnnouncementBody = serde_json::from_value(body).unwrap();
    let read = Announcement::from(body);
    assert_eq!(read, announcement(expected));
    assert_eq!(Announcement::decode(&read.encode().unwrap()).unwrap(), read);
}

/// Guards against announcements and releases that entry VMs of another release can't read.
#[test]
fn test_announcement_number_is_left_out_by_earlier_releases() {
    let (numbered, plain) = (
        announcement(NUMBER),
        announcement(AnnouncementNumber::default()),
    );
    let earlier = postcard::to_stdvec(&numbered).unwrap();
    assert_eq!(Announcement::decode(&earlier).unwrap(), plain);
    let read: Announcement = postcard::from_bytes(&numbered.encode().unwrap()).unwrap();
    assert_eq!(read, plain);
    let (numbered, plain) = (release(NUMBER), release(AnnouncementNumber::default()));
    let earlier = postcard::to_stdvec(&numbered).unwrap();
    assert_eq!(Release::decode(&earlier).unwrap(), plain);
    let read: Release = postcard::from_bytes(&numbered.encode().unwrap()).unwrap();
    assert_eq!(read, plain);
    let read = Release::decode(&numbered.encode().unwrap()).unwrap();
    assert_eq!(read, numbered);
}
