//! Tests of the selection of entry VMs for look-ups.

mod lookup_model;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherring_lib::entry_naming::Candidate;
use heatherring_lib::entry_naming::EntryNaming;
use heatherring_lib::fleet_record::EntryRecord;
use heatherring_lib::headroom::Headroom;
use heatherring_lib::headroom::HeadroomMeter;
use heatherring_lib::headroom::RoomSample;
use heatherring_lib::link_load::LinkLoad;
use heatherring_lib::place_lookup;
use lookup_model::Figures;
use lookup_model::KEEP;
use lookup_model::Load;
use lookup_model::Policy;
use lookup_model::World;
use lookup_model::record;
use lookup_model::region;
use proptest::prelude::*;
use rstest::rstest;

const EQUAL: [f64; 10] = [1.0; 10];
const ONE_TO_1_2: [f64; 10] = [1.0, 1.2, 1.0, 1.2, 1.0, 1.2, 1.0, 1.2, 1.0, 1.2];
const ONE_TO_3: [f64; 10] = [1.0, 3.0, 1.0, 3.0, 1.0, 3.0, 1.0, 3.0, 1.0, 3.0];

/// Largest part of a region's callers that may change region within two seconds.
const MAX_MOVED: f64 = 0.15;

/// Time at which a change begins, in seconds.
const CHANGE_AT: f64 = 20.0;

fn nothing(_: &mut World, _: f64) {}

/// Stops a third of the entry VMs for 4 of every 10 seconds, each third in turn.
fn stop_thirds(world: &mut World, seconds: f64) {
    let third = (0_u8..9).rfind(|turn| seconds >= f64::from(*turn) * 10.0);
    let third = usize::from(third.unwrap_or(0) % 3);
    for number in 0..world.vms.len() {
        let is_stopped = number % 3 == third && seconds % 10.0 < 4.0 && seconds > CHANGE_AT;
        world.set_live(number, !is_stopped);
    }
}

fn crowd(at: usize, seconds: f64) -> f64 {
    let is_crowded = at == 0 && seconds > CHANGE_AT && seconds < CHANGE_AT + 30.0;
    if is_crowded { 0.65 * 1.7 } else { 0.65 }
}

fn daily_wave(at: usize, seconds: f64) -> f64 {
    let phase = [0.0, 1.0 / 3.0, 2.0 / 3.0][at];
    let swing = ((seconds / 36.0 + phase) * std::f64::consts::TAU).sin();
    0.72 * 0.55_f64.mul_add(swing, 1.0)
}

fn figures(policy: Policy, sizes: &[f64], load: Load, change: fn(&mut World, f64)) -> Figures {
    let mut world = World::new(policy, 3, sizes, load, 1);
    world.run_with(Duration::from_secs(70), change);
    let figures = world.figures;
    let (refused, late, moved) = (figures.refused, figures.late, figures.moved);
    println!("{policy:?}: refused {refused:.4}, late {late:.4}, moved {moved:.3}");
    figures
}

/// Guards against look-ups by headroom that serve callers worse than even ones, or send more of
/// them to other regions than may move at a time.
#[rstest]
#[case::equal(&EQUAL, |_, _| 0.95, nothing, 0.0, 0.0)]
#[case::one_to_1_2(&ONE_TO_1_2, |_, _| 0.95, nothing, 0.002, 0.02)]
#[case::one_to_3(&ONE_TO_3, |_, _| 0.8, nothing, 0.002, 0.02)]
#[case::thirds_stop(&ONE_TO_1_2, |_, _| 0.6, stop_thirds, 0.002, 0.06)]
#[case::crowd(&EQUAL, crowd, nothing, 0.01, 0.2)]
#[case::wave(&EQUAL, daily_wave, nothing, 0.002, 0.1)]
fn test_callers_are_served_no_worse_than_by_even_answers(
    #[case] sizes: &[f64],
    #[case] load: Load,
    #[case] change: fn(&mut World, f64),
    #[case] max_refused: f64,
    #[case] max_late: f64,
) {
    let alike = figures(Policy::Alike, sizes, load, change);
    figures(Policy::BetterHalf, sizes, load, change);
    figures(Policy::Weighted, sizes, load, change);
    let chosen = figures(Policy::WeightedWithOverflow, sizes, load, change);
    assert!(chosen.refused <= alike.refused && chosen.refused <= max_refused);
    assert!(chosen.late <= alike.late && chosen.late <= max_late);
    assert!(chosen.moved <= MAX_MOVED);
}

/// Returns the largest difference between two loads of the same entry VM in the last 20 s.
fn swing(figures: &Figures) -> f64 {
    let last = &figures.loads[figures.loads.len() - 80..];
    let of_vm = |number: usize| last.iter().map(move |loads| loads[number]);
    let swing = |number| of_vm(number).fold(0.0, f64::max) - of_vm(number).fold(9.0, f64::min);
    (0..last[0].len()).map(swing).fold(0.0, f64::max)
}

/// Guards against callers that go to and fro between entry VMs, because what these told is old by
/// the time that callers act on it.
#[rstest]
#[case::equal(&EQUAL, |_, _| 0.9, 1.0)]
#[case::one_to_1_2(&ONE_TO_1_2, |_, _| 0.9, 1.0)]
#[case::one_to_3(&ONE_TO_3, |_, _| 0.8, 1.0)]
#[case::larger_than_told(&EQUAL, |_, _| 0.7, 1.4)]
#[case::smaller_than_told(&EQUAL, |_, _| 0.7, 0.75)]
#[case::half_of_what_is_told(&EQUAL, |_, _| 0.7, 0.5)]
#[case::overflowing(&EQUAL, |at, _| if at == 0 { 1.1 } else { 0.6 }, 1.0)]
fn test_loads_settle(#[case] sizes: &[f64], #[case] load: Load, #[case] capacity: f64) {
    let mut world = World::new(Policy::WeightedWithOverflow, 3, sizes, load, 2);
    world.vms[0].capacity *= capacity;
    world.run(Duration::from_secs(80));
    let swing = swing(&world.figures);
    assert!(swing < 0.25, "the load of an entry VM swings by {swing:.2}");
}

/// Guards against an entry VM that draws all callers to itself because it lies about its room or
/// size, or is stuck with old news.
#[rstest]
#[case::all_free(1.0)]
#[case::huge(1_000.0)]
fn test_an_entry_vm_that_lies_takes_a_bounded_part(#[case] claimed: f64) {
    let mut world = World::new(Policy::WeightedWithOverflow, 1, &EQUAL, |_, _| 0.5, 3);
    world.claim(0, claimed);
    world.run(Duration::from_secs(40));
    let last = world.figures.loads.last().unwrap();
    let bound = if claimed > 1.0 { 4.0 } else { 1.3 };
    assert!(last[0] <= 0.5 * bound, "its load is {:.2}", last[0]);
}

/// Guards against swings and refusals while control is lost, and what its replicas last told stays
/// for long.
#[test]
fn test_old_news_keep_the_shares() {
    let mut world = World::new(Policy::WeightedWithOverflow, 3, &ONE_TO_3, |_, _| 0.7, 4);
    world.run_with(Duration::from_mins(1), |world, seconds| {
        world.set_news_frozen(seconds > CHANGE_AT);
    });
    assert!(world.figures.refused < 0.001, "{}", world.figures.refused);
    assert!(swing(&world.figures) < 0.25);
}

/// Guards against a jump of callers when one of two that answer look-ups forgets what it sent to
/// other regions, and against a standing dispute between the two.
#[test]
fn test_a_restarted_answerer_moves_few_callers() {
    let load: Load = |at, _| if at == 0 { 1.1 } else { 0.6 };
    let mut world = World::new(Policy::WeightedWithOverflow, 3, &EQUAL, load, 5);
    world.run_with(Duration::from_secs(80), |world, seconds| {
        if seconds.to_bits() == 40.0_f64.to_bits() {
            world.answerers[0] = EntryNaming::new(KEEP, 7);
        }
    });
    assert!(world.figures.moved <= MAX_MOVED, "{}", world.figures.moved);
    assert!(swing(&world.figures) < 0.25);
}

/// Returns a headroom: out of room at level 0, with a part of 1 to 7 eighths, or its whole part and
/// spare room of 0 to 7.
fn headroom(size: f64, level: u8) -> Headroom {
    match level.checked_sub(8) {
        Some(spare) => Headroom::new(size, 8, spare),
        None => Headroom::new(size, level, 7),
    }
}

/// Returns how often each address is named in `count` answers to callers in region 0.
fn mentions(
    candidates: &[(EntryRecord, Option<Headroom>)],
    count: usize,
) -> BTreeMap<SocketAddr, f64> {
    let mut naming = EntryNaming::new(KEEP, 1);
    let now = Instant::now();
    let mut mentions = BTreeMap::new();
    for _ in 0..count {
        let live = candidates.iter().map(|(entry, headroom)| Candidate {
            entry,
            headroom: *headroom,
        });
        let named = naming.name(now, live, &region(0), &[]);
        assert!(named.addresses.len() >= candidates.len().min(2));
        assert!(named.addresses.len() <= place_lookup::MAX_ADDRESSES);
        for address in named.addresses {
            *mentions.entry(address).or_insert(0.0) += 1.0;
        }
    }
    mentions
}

proptest! {
    /// Guards against shares that miss the weights.
    #[test]
    fn test_shares_follow_weights(sizes in prop::collection::vec((1.0..4.0_f64, 9..16_u8), 4..90)) {
        let candidates = sizes.iter().enumerate().map(|(number, (size, level))| {
            (record(number, 0), Some(headroom(*size, *level)))
        });
        let candidates: Vec<_> = candidates.collect();
        let weight = |headroom: &Option<Headroom>| headroom.map_or(0.0, |it| it.size() * it.share());
        let total: f64 = candidates.iter().map(|(_, headroom)| weight(headroom)).sum();
        let mentions = mentions(&candidates, 1_000);
        let mentioned: f64 = mentions.values().sum();
        for (entry, headroom) in &candidates {
            let part = weight(headroom) / total;
            // One that is in every second answer of two addresses cannot have more.
            prop_assume!(part <= 0.5);
            let share = mentions.get(&entry.callers).copied().unwrap_or(0.0) / mentioned;
            prop_assert!((share - part).abs() < 0.05 * part + 0.001, "{share} for {part}");
        }
    }

    /// Guards against an empty answer while an entry VM is live, whatever is told of it.
    #[test]
    fn test_an_answer_names_a_live_entry_vm(
        told in prop::collection::vec((0.0..1e9_f64, 0..16_u8, any::<bool>(), 0..3_usize), 1..80),
        has_homes: bool,
    ) {
        let candidates: Vec<_> = told.iter().enumerate().map(|(number, (size, level, is_told, at))| {
            (record(number, *at), is_told.then(|| headroom(*size, *level)))
        }).collect();
        let live = || candidates.iter().map(|(entry, headroom)| Candidate { entry, headroom: *headroom });
        let homes = if has_homes { vec![region(1)] } else { Vec::new() };
        let mut naming = EntryNaming::new(KEEP, 1);
        let named = naming.name(Instant::now(), live(), &region(0), &homes);
        let usable = place_lookup::pick(live().map(|it| it.entry), &region(0), &homes);
        prop_assert!(named.addresses.len() >= usable.len().min(2));
        let is_live = |address: &SocketAddr| live().any(|it| it.entry.callers == *address);
        prop_assert!(named.addresses.iter().all(is_live));
    }

    /// Guards against a change for deployments that tell no headroom.
    #[test]
    fn test_without_news_all_are_named_alike(regions in prop::collection::vec(0..3_usize, 1..90)) {
        let entries = regions.iter().enumerate().map(|(number, at)| record(number, *at));
        let entries: Vec<EntryRecord> = entries.collect();
        let live = entries.iter().map(|entry| Candidate { entry, headroom: None });
        let named = EntryNaming::new(KEEP, 1).name(Instant::now(), live, &region(0), &[region(1)]);
        let alike = place_lookup::pick(entries.iter(), &region(0), &[region(1)]);
        prop_assert_eq!(named.addresses, alike);
    }

    /// Guards against a code of another version that is misread.
    #[test]
    fn test_codes_survive(size in 0.01..100.0_f64, level in 0..16_u8, code: u32) {
        let headroom = headroom(size, level);
        prop_assert_eq!(Headroom::from_code(headroom.code()), Some(headroom));
        prop_assert!((headroom.size() / size - 1.0).abs() < 0.05);
        if let Some(known) = Headroom::from_code(code) {
            prop_assert_eq!(known.code(), code);
        }
    }
}

/// Guards against callers that are sent to an entry VM that refuses them while others have room,
/// and against those others being overrun by the callers of too many.
#[rstest]
#[case::one(1, 15, 0.0)]
#[case::others_full(1, 8, 0.75)]
#[case::too_many(8, 13, 0.675)]
fn test_an_entry_vm_out_of_room_is_named_as_far_as_others_have_none(
    #[case] out_of_room: usize,
    #[case] other_level: u8,
    #[case] share: f64,
) {
    let candidates: Vec<_> = (0..10)
        .map(|number| {
            let level = if number < out_of_room { 0 } else { other_level };
            (record(number, 0), Some(headroom(1.0, level)))
        })
        .collect();
    let mentions = mentions(&candidates, 1_000);
    let of = |number: usize| {
        mentions
            .get(&candidates[number].0.callers)
            .copied()
            .unwrap_or(0.0)
    };
    let other_share = headroom(1.0, other_level).share();
    let measured = of(0) / of(9) * other_share;
    assert!((measured - share).abs() < 0.05, "{measured:.2}");
}

/// Guards against bodies sent to a region that is no home of the host.
#[test]
fn test_overflow_keeps_to_home_regions() {
    let candidates: Vec<_> = (0..30)
        .map(|number| {
            let at = number / 10;
            (
                record(number, at),
                headroom(1.0, if at == 0 { 8 } else { 14 }),
            )
        })
        .collect();
    let mut naming = EntryNaming::new(KEEP, 1);
    let homes = [region(0), region(2)];
    let (mut now, mut overflow) = (Instant::now(), 0);
    for _ in 0..20 {
        now += KEEP;
        let live = candidates.iter().map(|(entry, headroom)| Candidate {
            entry,
            headroom: Some(*headroom),
        });
        let named = naming.name(now, live, &region(0), &homes);
        overflow += named.overflow;
        let is_foreign = |address: &SocketAddr| {
            let at = candidates
                .iter()
                .find(|(entry, _)| entry.callers == *address);
            at.unwrap().0.region == region(1)
        };
        assert!(!named.addresses.iter().any(is_foreign));
    }
    assert!(overflow > 0);
}

fn sample(used: f64, backlog: f64) -> RoomSample {
    RoomSample {
        link: LinkLoad { used, backlog },
        ..RoomSample::default()
    }
}

/// Guards against news at each sample of a use that wavers by a few hundredths.
#[test]
fn test_a_wavering_use_is_no_news() {
    let origin = Instant::now();
    let mut meter = HeadroomMeter::new(origin, 1.0, KEEP);
    let mut told = Vec::new();
    for second in 1..100_u32 {
        let used = if second.is_multiple_of(2) { 0.69 } else { 0.71 };
        told.push(meter.update(
            origin + Duration::from_secs(second.into()),
            &sample(used, 0.0),
        ));
    }
    told.dedup();
    assert!(told.len() <= 4, "{told:?}");
}

/// Guards against an entry VM that takes its full part again at once after it was out of room, or
/// that is told later than at once.
#[test]
fn test_an_entry_vm_returns_step_by_step() {
    let origin = Instant::now();
    let mut meter = HeadroomMeter::new(origin, 1.0, KEEP);
    let mut at = |second: u32, sample: &RoomSample| {
        meter.update(origin + Duration::from_secs(second.into()), sample)
    };
    assert!(at(0, &sample(0.1, 0.0)).share() < 1.0);
    let before = (1..20)
        .map(|second| at(second, &sample(0.1, 0.0)))
        .last()
        .unwrap();
    assert!((before.share() - 1.0).abs() < 1e-9);
    assert!(at(20, &sample(1.0, 0.6)).is_out_of_room());
    let after: Vec<f64> = (21..60)
        .map(|second| at(second, &sample(0.1, 0.0)).share())
        .collect();
    assert!(
        after
            .windows(2)
            .all(|pair| pair[1] - pair[0] <= 0.5 && pair[1] >= pair[0])
    );
    assert!((after.last().unwrap() - 1.0).abs() < 1e-9);
}
