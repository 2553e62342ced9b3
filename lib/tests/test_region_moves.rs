//! Growth of the share of requests that move to another region.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::region_moves::RegionMoves;

const WINDOW: Duration = Duration::from_secs(2);

/// Sends `count` requests over one window, and moves as many as allowed if `wanted`; returns
/// the share that moved.
fn run_window(moves: &mut RegionMoves, from: Instant, count: u32, wanted: bool) -> f64 {
    let mut count_moved = 0;
    for number in 0..count {
        let now = from + WINDOW * number / count;
        let is_moved = wanted && moves.may_move(now);
        moves.note(now, is_moved);
        count_moved += u32::from(is_moved);
    }
    f64::from(count_moved) / f64::from(count)
}

#[test]
fn test_region_moves_grow_by_a_tenth_from_window_to_window() {
    let start = Instant::now();
    let mut moves = RegionMoves::default();
    let mut before = 0.0;
    for window in 0..8 {
        let share = run_window(&mut moves, start + WINDOW * window, 200, true);
        assert!(share <= before + 0.12, "{before} {share}");
        assert!(share >= before + 0.06, "{before} {share}");
        before = share;
    }
}

/// After a window without any moves, only few requests may move in the next one, however many
/// would.
#[test]
fn test_region_moves_start_from_zero() {
    let start = Instant::now();
    let mut moves = RegionMoves::default();
    run_window(&mut moves, start, 200, false);
    let share = run_window(&mut moves, start + WINDOW, 200, true);
    assert!((0.06..=0.1).contains(&share), "{share}");
}

/// An entry VM with a dozen requests per window can move requests too.
#[test]
fn test_region_moves_are_possible_with_few_requests() {
    let start = Instant::now();
    let mut moves = RegionMoves::default();
    let shares = (0..40).map(|window| run_window(&mut moves, start + WINDOW * window, 12, true));
    assert!(shares.sum::<f64>() / 40.0 > 0.1);
}

/// The share that moved before a pause does not allow as many moves after it.
#[test]
fn test_region_moves_forget_after_a_pause() {
    let start = Instant::now();
    let mut moves = RegionMoves::default();
    for window in 0..4 {
        run_window(&mut moves, start + WINDOW * window, 200, true);
    }
    let share = run_window(&mut moves, start + Duration::from_mins(10), 200, true);
    assert!(share <= 0.1, "{share}");
}
