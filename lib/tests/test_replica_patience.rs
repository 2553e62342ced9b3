//! How long an entry VM waits for control replicas.

use std::time::Duration;

use heatherring_lib::replica_patience::ReplicaPatience;

/// Symptom: for a second and more after there is a leader again, entry VMs refuse every request
/// for want of a view. Sequence: all power was lost; an entry VM asks a replica whose VM is
/// still dark, then another one. Cause: each was given the time that a replica may hold its
/// answer back. Two dark ones took 2 s, and take 0.9 s.
#[test]
fn test_dark_replicas_hold_an_entry_vm_up_for_a_moment() {
    let mut patience = ReplicaPatience::default();
    let mut waited = Duration::ZERO;
    for _ in 0..2 {
        patience.turn();
        assert_eq!(patience.hold(), Duration::ZERO);
        waited += patience.answer_within();
        patience.note_silence();
    }
    assert!(waited < Duration::from_secs(1), "{waited:?}");
}

/// Symptom: an entry VM whose link is full changes replicas for ever. Cause: every answer takes
/// longer than the first one is awaited. The time grows until an answer comes.
#[test]
fn test_a_full_link_is_borne() {
    let mut patience = ReplicaPatience::default();
    for _ in 0..6 {
        patience.turn();
        patience.note_silence();
    }
    assert!(patience.answer_within() > Duration::from_secs(1));
    patience.note_answer();
    let held = patience.hold();
    assert!(!held.is_zero() && patience.answer_within() > held);
    patience.turn();
    assert!(patience.answer_within() < Duration::from_millis(500));
}
