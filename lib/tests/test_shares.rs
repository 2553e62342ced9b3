//! Tests of limits that entry VMs keep together without communication.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::affinity::MemberHash;
use heatherring_lib::affinity::ObjectHash;
use heatherring_lib::sender_share;
use heatherring_lib::sender_share::SendGate;
use heatherring_lib::weighted_round_robin::WeightedRoundRobin;
use rstest::rstest;

/// Guards against a crash of a backend server that has just started, under its first
/// requests: all entry VMs start at the same time and send as fast as their shares allow.
///
/// Shares below one request per second can all be spent in the same second, so only as
/// many senders as requests per second may send at all.
#[rstest]
#[case(8, 9.9)]
#[case(12, 7.5)]
#[case(80, 9.9)]
#[case(1, 0.4)]
fn test_cold_gate_shares_add_up(#[case] senders: usize, #[case] rate: f64) {
    const LENGTH: Duration = Duration::from_secs(10);
    const STEP: Duration = Duration::from_millis(50);
    const TURN: Duration = Duration::from_secs(1);
    let members: Vec<MemberHash> = (0..senders)
        .map(|number| MemberHash::of(&format!("entry-{number}")))
        .collect();
    let backend = ObjectHash::of("cold", "backend-1");
    let origin = Instant::now();
    let mut sent = Vec::new();
    for own in &members {
        let Some(interval) =
            sender_share::interval(backend, *own, members.iter().copied(), rate * 0.9, TURN)
        else {
            continue;
        };
        let mut gate = SendGate::default();
        let mut at = Duration::ZERO;
        while at < LENGTH {
            if gate.is_open(origin + at, interval, Duration::ZERO) {
                gate.note_sent(origin + at, Duration::ZERO);
                sent.push(at);
            }
            at += STEP;
        }
    }
    assert!(!sent.is_empty());
    for from in &sent {
        let within = sent
            .iter()
            .filter(|at| **at >= *from && **at < *from + Duration::from_secs(1));
        let count = f64::from(u32::try_from(within.count()).unwrap());
        assert!(
            count <= (rate * 1.5 + 5.0).max(1.0),
            "{count} sent within a second"
        );
    }
}

#[test]
fn test_weighted_turns_keep_to_the_weights() {
    let weights = [90.0, 10.0, 0.0];
    let mut turns = WeightedRoundRobin::default();
    let mut counts = [0; 3];
    for _ in 0..1_000 {
        counts[turns.next(&weights).unwrap()] += 1;
    }
    assert_eq!(counts, [900, 100, 0]);
    assert_eq!(WeightedRoundRobin::default().next(&[0.0, 0.0]), None);
}

/// Guards against a split that stays far from its weights for many requests after a change of them:
/// what the parts had to make up for was counted in the former weights.
#[rstest]
#[case::another_scale(&[90.0, 10.0], &[0.3, 0.7])]
#[case::reversed(&[90.0, 10.0], &[10.0, 90.0])]
#[case::part_added(&[1e6, 1e6], &[1.0, 1.0, 2.0])]
#[case::part_removed(&[1e6, 1e6, 1e6], &[1.0, 3.0])]
#[case::sum_beyond_all_numbers(&[1.0, 3.0], &[f64::MAX, f64::MAX])]
fn test_weighted_turns_follow_a_change_of_weights(#[case] before: &[f64], #[case] after: &[f64]) {
    const REQUESTS: u32 = 20;
    let heaviest = after.iter().copied().fold(0.0, f64::max);
    let total: f64 = after.iter().map(|weight| weight / heaviest).sum();
    for earlier in 0..REQUESTS {
        let mut turns = WeightedRoundRobin::default();
        for _ in 0..earlier {
            turns.next(before);
        }
        let mut counts = vec![0.0; after.len()];
        for _ in 0..REQUESTS {
            counts[turns.next(after).unwrap()] += 1.0;
        }
        for (count, weight) in counts.iter().zip(after) {
            let fair = f64::from(REQUESTS) * (weight / heaviest) / total;
            assert!(
                f64::abs(count - fair) <= 2.0,
                "{counts:?} after {earlier} requests"
            );
        }
    }
}
