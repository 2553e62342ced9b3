//! The limit on resends that entry VMs keep together without communication.

use std::time::Duration;
use std::time::Instant;

use heatherring_lib::resend_budget::ResendBudget;
use heatherring_lib::resend_budget::ResendLimit;
use proptest::prelude::*;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);

const LIMIT: ResendLimit = ResendLimit {
    ratio: 0.2,
    slack: 56.0,
    window: Some(WINDOW),
};

/// Guards against more resends than the limit allows where every request asks for one.
#[rstest]
#[case::window(LIMIT)]
#[case::bucket(ResendLimit { window: None, ..LIMIT })]
fn test_resend_budget_keeps_to_the_sum_in_any_window(#[case] limit: ResendLimit) {
    const SENDERS: u32 = 8;
    let now = Instant::now();
    let mut budget = ResendBudget::new(now, &limit, SENDERS as usize);
    let now = now + 2 * WINDOW;
    let mut taken = 0;
    for _ in 0..500 {
        budget.note_request(now);
        taken += u32::from(budget.try_take(now));
    }
    let allowed = 500.0 * limit.ratio + limit.slack / f64::from(SENDERS);
    assert!(
        f64::from(taken) <= allowed,
        "{taken} resends, {allowed} allowed"
    );
    assert!(
        f64::from(taken) > 0.5 * allowed,
        "{taken} resends, {allowed} allowed"
    );
}

/// Requests and resends of all entry VMs in one step of a drawn history.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    requests: u32,
    resends: u32,
}

const STEPS_PER_WINDOW: usize = 50;

/// Plays entry VMs that are sent `demand[step]` requests each, of which every one asks for a
/// resend while `failing`; `restarts` are the steps and entry VMs that lose their counts.
fn play(
    limit: &ResendLimit,
    senders: usize,
    demand: &[u32],
    failing: &[bool],
    restarts: &[(usize, usize)],
) -> Vec<Step> {
    let origin = Instant::now();
    let mut budgets = vec![ResendBudget::new(origin, limit, senders); senders];
    let step_length = WINDOW / u32::try_from(STEPS_PER_WINDOW).unwrap();
    let steps = demand.iter().zip(failing).enumerate();
    steps
        .map(|(number, (demand, failing))| {
            let now = origin + step_length * u32::try_from(number).unwrap();
            for (_, sender) in restarts.iter().filter(|(at, _)| *at == number) {
                budgets[sender % senders] = ResendBudget::new(now, limit, senders);
            }
            let mut step = Step::default();
            for budget in &mut budgets {
                for _ in 0..*demand {
                    budget.note_request(now);
                    step.requests += 1;
                    if *failing {
                        step.resends += u32::from(budget.try_take(now));
                    }
                }
            }
            step
        })
        .collect()
}

fn sum(steps: &[Step], from: usize, count: impl Fn(&Step) -> u32) -> f64 {
    let window = steps[from..].iter().take(STEPS_PER_WINDOW);
    f64::from(window.map(count).sum::<u32>())
}

/// Returns by how much the resends of any window exceed what the requests of that window, of the
/// one before it or of the one half a window before it allow.
fn worst_excess(limit: &ResendLimit, steps: &[Step]) -> f64 {
    let starts = 0..steps.len();
    let excess = starts.map(|start| {
        let earlier = [0, STEPS_PER_WINDOW / 2, STEPS_PER_WINDOW];
        let starts = earlier.iter().map(|by| start.saturating_sub(*by));
        let requests = starts.map(|from| sum(steps, from, |step| step.requests));
        let requests = requests.fold(0.0, f64::max);
        sum(steps, start, |step| step.resends) - (requests * limit.ratio + limit.slack)
    });
    excess.fold(f64::MIN, f64::max)
}

proptest! {
    /// Guards against resends beyond the limit of all entry VMs in any window, with demand that
    /// changes, failures that come and go, and entry VMs that restart.
    #[test]
    fn test_resend_budget_holds_over_all_entry_vms(
        senders in 1_usize..12,
        levels in prop::collection::vec((0_u32..6, any::<bool>(), 5_usize..60), 1..10),
        restarts in prop::collection::vec((0_usize..400, 0_usize..12), 0..6),
    ) {
        let mut demand = Vec::new();
        let mut failing = Vec::new();
        for (level, fails, length) in levels {
            demand.extend(std::iter::repeat_n(level, length));
            failing.extend(std::iter::repeat_n(fails, length));
        }
        let steps = play(&LIMIT, senders, &demand, &failing, &restarts);
        let excess = worst_excess(&LIMIT, &steps);
        prop_assert!(excess <= 0.0, "{excess} too many");
    }
}

/// Guards against callers that are refused while backend servers refuse a part of the requests,
/// although what earlier requests earned was never used.
#[test]
fn test_resend_budget_keeps_what_was_earned_before_an_outage() {
    const SENDERS: usize = 56;
    let demand = [4; 2 * STEPS_PER_WINDOW];
    let failing: Vec<bool> = (0..2 * STEPS_PER_WINDOW)
        .map(|step| (STEPS_PER_WINDOW..STEPS_PER_WINDOW + 5).contains(&step))
        .collect();
    let resends = |limit: &ResendLimit| {
        let steps = play(limit, SENDERS, &demand, &failing, &[]);
        steps.iter().map(|step| step.resends).sum::<u32>()
    };
    let asked = u32::try_from(SENDERS).unwrap() * 4 * 5;
    let bucket = ResendLimit {
        window: None,
        ..LIMIT
    };
    assert_eq!(resends(&LIMIT), asked);
    assert!(resends(&bucket) < asked / 2, "the capacity of a bucket");
}
