//! No decoder panics on any input.
//!
//! A panic would let one corrupted or malicious message crash every process that it is sent to
//! in turn. Inputs are random bytes, and valid encodings with a few bytes changed, which reach
//! deeper into the decoders.

use std::net::SocketAddr;
use std::sync::Arc;

use heatherring_lib::action_record::ActionKey;
use heatherring_lib::announcement::Announcement;
use heatherring_lib::announcement::AnnouncementBody;
use heatherring_lib::command::Command;
use heatherring_lib::command::CommandKind;
use heatherring_lib::command::Submission;
use heatherring_lib::config_kind::config_kind;
use heatherring_lib::control_state::ControlState;
use heatherring_lib::id::ClusterId;
use heatherring_lib::id::ContentDigest;
use heatherring_lib::id::PlaceName;
use heatherring_lib::id::RegionName;
use heatherring_lib::id::Revision;
use heatherring_lib::id::ServiceName;
use heatherring_lib::id::SessionId;
use heatherring_lib::id::VmName;
use heatherring_lib::load_digest::LoadDigest;
use heatherring_lib::manifest::BlockPrefix;
use heatherring_lib::manifest::Manifest;
use heatherring_lib::manifest_delta::ManifestDelta;
use heatherring_lib::manifest_text::read_manifest;
use heatherring_lib::ownership::Release;
use heatherring_lib::raft_message::Message;
use heatherring_lib::settings_text::read_control_settings;
use heatherring_lib::settings_text::read_entry_settings;
use heatherring_lib::ticket::Ticket;
use heatherring_lib::ticket::TicketSecret;
use heatherring_lib::view::ControlView;
use heatherring_lib::view::EntryInfo;
use heatherring_lib::view::EntrySession;
use heatherring_lib::view::ManifestChange;
use heatherring_lib::view::ManifestInForce;
use heatherring_lib::view::ViewChange;
use heatherring_lib::view::ViewChangeKind;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_202;
const CASES: u32 = 256;
const KYUSHU: &str = include_str!("../../samples/kyushu.jsonc");
const CONTROL: &str = include_str!("../../samples/control-1.jsonc");
const ENTRY: &str = include_str!("../../samples/entry-1.jsonc");

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Changes of bytes at random positions, and a truncation at a random position.
#[derive(Clone, Debug)]
struct Damage {
    edits: Vec<(Index, u8)>,
    cut: Option<Index>,
}

impl Damage {
    fn apply(&self, valid: &[u8]) -> Vec<u8> {
        let mut bytes = valid.to_vec();
        for (index, byte) in &self.edits {
            let position = index.index(bytes.len());
            bytes[position] = *byte;
        }
        if let Some(cut) = &self.cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        bytes
    }

    fn apply_text(&self, valid: &str) -> String {
        String::from_utf8_lossy(&self.apply(valid.as_bytes())).into_owned()
    }
}

fn damage() -> impl Strategy<Value = Damage> {
    let edits = vec((any::<Index>(), any::<u8>()), 0..4);
    (edits, proptest::option::weighted(0.2, any::<Index>()))
        .prop_map(|(edits, cut)| Damage { edits, cut })
}

/// Damages text with characters that are significant in JSON with comments.
fn text_damage() -> impl Strategy<Value = Damage> {
    let significant = prop::sample::select(br#"{}[],:"/*\-0e.nt"#.to_vec());
    let edits = vec((any::<Index>(), significant), 1..4);
    (edits, proptest::option::weighted(0.2, any::<Index>()))
        .prop_map(|(edits, cut)| Damage { edits, cut })
}

fn read_texts(text: &str) {
    let _ = read_manifest("f", text).map_err(|faults| faults.to_string());
    let _ = read_control_settings("f", text).map_err(|faults| faults.to_string());
    let _ = read_entry_settings("f", text).map_err(|faults| faults.to_string());
    let _ = config_kind("f", text);
}

fn entry_info() -> EntryInfo {
    let address: SocketAddr = "127.0.0.1:7480".parse().unwrap();
    EntryInfo {
        vm: VmName::new("entry-1"),
        place: PlaceName::new("fko-hakata"),
        region: RegionName::new("fukuoka"),
        callers: address,
        backend_servers: address,
        peers: address,
        forward: address,
    }
}

fn manifest() -> Manifest {
    read_manifest("f", KYUSHU).unwrap()
}

fn view() -> ControlView {
    let session = EntrySession {
        id: SessionId(2),
        info: entry_info(),
        leaving: false,
    };
    let in_force = ManifestInForce {
        revision: Revision(1),
        digest: ContentDigest::of(KYUSHU.as_bytes()),
        manifest: manifest(),
    };
    ControlView {
        revision: Revision(2),
        manifest: Some(Arc::new(in_force)),
        sessions: [(session.id, session)].into(),
    }
}

/// Returns a valid manifest change of [`view`] in the form of a delta.
fn delta_change() -> ViewChange {
    let mut target = manifest();
    target.version.0 += 1;
    target.shift_caps.remove(1);
    target.client_blocks.swap_remove(0);
    let delta = ManifestDelta::between(&manifest(), &target).unwrap();
    ViewChange {
        revision: Revision(3),
        kind: ViewChangeKind::Manifest(ManifestChange::Delta {
            base: ContentDigest::of(KYUSHU.as_bytes()),
            digest: ContentDigest::of(b"target"),
            delta: delta.encode().unwrap(),
        }),
    }
}

fn apply_change(encoded: &[u8]) {
    if let Ok(change) = postcard::from_bytes::<ViewChange>(encoded) {
        let _ = view().apply(&change);
    }
}

fn apply_delta(encoded: &[u8]) {
    if let Ok(delta) = ManifestDelta::decode(encoded) {
        let _ = delta.apply(&manifest());
    }
}

fn decode_all(bytes: &[u8]) {
    let secret = TicketSecret::derive(ClusterId::default());
    let service = ServiceName::new("registry");
    let text = String::from_utf8_lossy(bytes);
    let _ = Command::decode(bytes);
    let _ = ControlState::decode_snapshot(bytes);
    let _ = postcard::from_bytes::<ControlView>(bytes);
    let _ = postcard::from_bytes::<EntryInfo>(bytes);
    let _ = postcard::from_bytes::<LoadDigest>(bytes);
    let _ = postcard::from_bytes::<Message>(bytes);
    let _ = Announcement::decode(bytes);
    let _ = serde_json::from_slice::<AnnouncementBody>(bytes);
    let _ = Release::decode(bytes);
    let _ = Ticket::parse(&text, &secret);
    let _ = ActionKey::parse(&text, &service, &secret);
    let _ = text.parse::<BlockPrefix>();
    apply_change(bytes);
    apply_delta(bytes);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_decoders_random_text(text in ".{0,200}") {
        read_texts(&text);
    }

    #[test]
    fn test_decoders_random_json_like_text(text in r#"[\[\]{},:"/*\\ \n0-9a-f.+-]{0,200}"#) {
        read_texts(&text);
    }

    #[test]
    fn test_decoders_damaged_manifest_text(damage in text_damage()) {
        read_texts(&damage.apply_text(KYUSHU));
    }

    #[test]
    fn test_decoders_damaged_settings_text(damage in text_damage()) {
        read_texts(&damage.apply_text(CONTROL));
        read_texts(&damage.apply_text(ENTRY));
    }

    #[test]
    fn test_decoders_random_bytes(bytes in vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    #[test]
    fn test_decoders_damaged_command(damage in damage()) {
        let submission = Submission::new(KYUSHU.to_owned(), manifest(), "operator".to_owned());
        let kind = CommandKind::SubmitManifest(Box::new(submission));
        let command = Command { wall_ms: 1, kind };
        let _ = Command::decode(&damage.apply(&command.encode().unwrap()));
    }

    #[test]
    fn test_decoders_damaged_view(damage in damage()) {
        let encoded = postcard::to_stdvec(&view()).unwrap();
        let _ = postcard::from_bytes::<ControlView>(&damage.apply(&encoded));
    }

    #[test]
    fn test_decoders_damaged_change_of_view(damage in damage()) {
        let change = delta_change();
        assert!(view().apply(&change).is_ok(), "the undamaged change must apply");
        apply_change(&damage.apply(&postcard::to_stdvec(&change).unwrap()));
    }

    #[test]
    fn test_decoders_damaged_delta(damage in damage()) {
        let ViewChangeKind::Manifest(ManifestChange::Delta { delta, .. }) = delta_change().kind
        else {
            unreachable!("the change is a delta");
        };
        apply_delta(&damage.apply(&delta));
    }

    #[test]
    fn test_decoders_damaged_snapshot(damage in damage()) {
        let mut state = ControlState::default();
        let submission = Submission::new(KYUSHU.to_owned(), manifest(), "operator".to_owned());
        let kind = CommandKind::SubmitManifest(Box::new(submission));
        state.apply(Revision(1), &Command { wall_ms: 1, kind }).unwrap();
        let _ = ControlState::decode_snapshot(&damage.apply(&state.encode_snapshot().unwrap()));
    }
}
