//! Direct dispatch: run-time estimates during a planned stop.

mod dispatch_model;

use std::time::Duration;

use dispatch_model::Probe;
use heatherring_lib::dispatch_request::RefusedReason;
use heatherring_lib::dispatch_request::SendOutcome;
use heatherring_lib::planned_stop::PlannedStop;
use rstest::rstest;

/// Time left when a request arrives.
const LEFT: Duration = Duration::from_millis(400);

/// Guards against forwarding requests at the end of a stop that are then all cut off. 200
/// consecutive requests of a route for one object take about its latency objective of 0.5 s
/// each, and the next one arrives 0.4 s before the last responses are due. Run times above 0.87
/// of the objective count as cold, and half of that is expected of a warm request. That is
/// suited to ranking backend servers but too short by half as a run time, and must not decide
/// whether a request can complete before the stop.
#[rstest]
#[case::alike([500, 500, 500, 500])]
#[case::differing_a_little([450, 480, 520, 550])]
fn test_stop_refuses_requests_that_take_longer_than_the_time_left(#[case] took_ms: [u64; 4]) {
    let mut probe = Probe::new();
    for took_ms in took_ms.iter().cycle().take(200) {
        let choice = probe.choose("17");
        probe.advance(Duration::from_millis(*took_ms));
        probe.end(&choice, SendOutcome::Answered);
    }
    let mut left = Duration::ZERO;
    probe.stop(|now| {
        let stop = PlannedStop::new(now, Duration::from_secs(6));
        left = stop.answers_until().duration_since(now);
        stop
    });
    probe.advance(left.checked_sub(LEFT).unwrap());
    let chosen = probe.choose_or_refuse("17");
    let expected = chosen.as_ref().map(|choice| choice.expected);
    let reason = chosen.as_ref().err().map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusedReason::Leaving), "{expected:?}");
}
