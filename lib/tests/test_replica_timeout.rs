//! Tests of an entry VM's time-outs for control replicas.

use std::time::Duration;

use heatherring_lib::replica_timeout::ANSWER_TIMEOUT;
use heatherring_lib::replica_timeout::HEDGE_AFTER;
use heatherring_lib::replica_timeout::LONG_POLL_HOLD;
use heatherring_lib::replica_timeout::ReplicaTimeout;

/// Guards against seconds without a view while replicas are still unreachable after a loss of
/// power.
#[test]
fn test_unreachable_replicas_delay_an_entry_vm_for_less_than_a_second() {
    let mut timeout = ReplicaTimeout::default();
    let mut waited = Duration::ZERO;
    for _ in 0..2 {
        waited += timeout.first();
        timeout.note_timeout();
    }
    assert!(waited < Duration::from_secs(1), "{waited:?}");
}

/// Guards against an entry VM that switches replicas endlessly because its link is saturated.
#[test]
fn test_timeout_grows_on_a_saturated_link_and_resets_on_an_answer() {
    let mut timeout = ReplicaTimeout::default();
    for _ in 0..6 {
        timeout.note_timeout();
    }
    assert!(timeout.first() > Duration::from_secs(1));
    timeout.note_answer();
    assert!(timeout.first() < Duration::from_millis(500));
    assert!(LONG_POLL_HOLD < HEDGE_AFTER && HEDGE_AFTER < ANSWER_TIMEOUT);
}
