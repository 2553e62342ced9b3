//! Which backend servers of a deployment are faulty, and when.

use std::ops::RangeInclusive;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::answer_fault::EarlyAnswer;
use crate::answer_fault::EarlyAnswerKind;
use crate::answer_fault::EndlessAnswers;
use crate::answer_fault::EndlessPart;
use crate::behaviour::Behaviour;
use crate::behaviour::Spell;
use crate::deployment_plan::BackendGroup;
use crate::deployment_plan::DeploymentPlan;

/// Share of the backend servers that have spells, if they are drawn.
const SPELL_SHARE: f64 = 0.5;
/// Time before a drawn spell, and how long it lasts, in milliseconds.
const SPELL_MS: RangeInclusive<u64> = 1_000..=4_000;
/// Share of requests that are refused, of answers that are repeated, and of connections that begin
/// with an answer, in a drawn spell.
const SPELL_PERCENT: RangeInclusive<u8> = 20..=60;
/// Share of answers that have no end in a drawn spell.
const ENDLESS_PERCENT: RangeInclusive<u8> = 1..=5;
/// Time after which a drawn early answer is written, in milliseconds.
const EARLY_MS: RangeInclusive<u64> = 0..=5;

impl DeploymentPlan {
    /// Makes every second backend server behave so all the time, in turn.
    pub fn set_lasting(&mut self, behaviours: &[Behaviour]) {
        let names: Vec<_> = self.backend_names().step_by(2).collect();
        for (name, behaviour) in names.into_iter().zip(behaviours.iter().cycle()) {
            self.spells.insert(name, Spell::lasting(*behaviour));
        }
    }

    /// Draws backend servers that for part of the time refuse a share of requests and repeat a
    /// share of their answers late.
    pub fn draw_late_repeats(&mut self) {
        self.draw_spells(draw_late_repeats);
    }

    /// Draws backend servers that for part of the time refuse a share of requests and, each in its
    /// own way, answer late again, unasked or without end.
    pub fn draw_answer_faults(&mut self) {
        self.draw_spells(|rng, behaviour| {
            let mut behaviour = draw_late_repeats(rng, behaviour);
            if rng.random() {
                behaviour = draw_early_answers(rng, behaviour);
            }
            if rng.random() {
                behaviour = draw_endless_answers(rng, behaviour);
            }
            behaviour
        });
    }

    fn draw_spells(&mut self, draw: impl Fn(&mut ChaCha8Rng, Behaviour) -> Behaviour) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let names: Vec<_> = self.backend_names().collect();
        for name in names {
            if rng.random_bool(SPELL_SHARE) {
                let spell = Spell {
                    behaviour: draw(&mut rng, self.behaviour),
                    off_ms: rng.random_range(SPELL_MS),
                    on_ms: rng.random_range(SPELL_MS),
                };
                self.spells.insert(name, spell);
            }
        }
    }

    fn backend_names(&self) -> impl Iterator<Item = String> {
        self.groups.iter().flat_map(BackendGroup::names)
    }
}

fn draw_late_repeats(rng: &mut ChaCha8Rng, behaviour: Behaviour) -> Behaviour {
    Behaviour {
        shed_percent: rng.random_range(SPELL_PERCENT),
        repeat_percent: rng.random_range(SPELL_PERCENT),
        repeat_without_id: rng.random(),
        ..behaviour
    }
}

fn draw_early_answers(rng: &mut ChaCha8Rng, behaviour: Behaviour) -> Behaviour {
    let kinds = EarlyAnswerKind::ALL;
    Behaviour {
        shed_percent: rng.random_range(SPELL_PERCENT),
        early_answer: Some(EarlyAnswer {
            percent: rng.random_range(SPELL_PERCENT),
            delay_ms: rng.random_range(EARLY_MS),
            kind: kinds[rng.random_range(0..kinds.len())],
        }),
        ..behaviour
    }
}

fn draw_endless_answers(rng: &mut ChaCha8Rng, behaviour: Behaviour) -> Behaviour {
    let parts = EndlessPart::ALL;
    Behaviour {
        shed_percent: rng.random_range(SPELL_PERCENT),
        endless_answers: Some(EndlessAnswers {
            percent: rng.random_range(ENDLESS_PERCENT),
            part: parts[rng.random_range(0..parts.len())],
            in_turn: rng.random(),
        }),
        ..behaviour
    }
}
