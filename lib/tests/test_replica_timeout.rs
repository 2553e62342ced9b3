//! How long an entry VM waits for control replicas.

use std::time::Duration;

use heatherring_lib::replica_timeout::ANSWER_TIMEOUT;
use heatherring_lib::replica_timeout::HEDGE_AFTER;
use heatherring_lib::replica_timeout::LONG_POLL_HOLD;
use heatherring_lib::replica_timeout::ReplicaTimeout;

/// Guards against seconds without a view while replicas are still dark after a loss of power.
#[test]
fn test_dark_replicas_hold_an_entry_vm_up_for_a_moment() {
    let mut patience = ReplicaTimeout::default();
    let mut waited = Duration::ZERO;
    for _ in 0..2 {
        waited += patience.first();
        patience.note_timeout();
    }
    assert!(waited < Duration::from_secs(1), "{waited:?}");
}

/// Guards against an entry VM that changes replicas for ever since its link is full.
#[test]
fn test_a_full_link_is_borne() {
    let mut patience = ReplicaTimeout::default();
    for _ in 0..6 {
        patience.note_timeout();
    }
    assert!(patience.first() > Duration::from_secs(1));
    patience.note_answer();
    assert!(patience.first() < Duration::from_millis(500));
    assert!(LONG_POLL_HOLD < HEDGE_AFTER && HEDGE_AFTER < ANSWER_TIMEOUT);
}
