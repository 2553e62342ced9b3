//! Headroom of an entry VM: its size and the room that it has left, in a few bits.
//!
//! The value is coarse and changes rarely, because each change is sent to all entry VMs.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::link_load::LinkLoad;

/// Number of codes of a size in one octave.
const SIZES_PER_OCTAVE: f64 = 8.0;

/// Code of the size 1.
const UNIT_SIZE: f64 = 64.0;

/// Largest code of a size.
const MAX_SIZE: u8 = 127;

/// Part that an entry VM gets of its full one, in eighths, unless it has started or was out of room.
const WHOLE_PART: u8 = 8;

/// Part of an entry VM that has started, and by how much it grows per step.
const START_PART: u8 = 4;

/// Use from which the spare room has level 6 or less, 5 or less, and so on.
const EDGES: [f64; 7] = [0.3, 0.5, 0.6, 0.7, 0.8, 0.88, 0.95];

/// Highest level of spare room, that of an entry VM that is hardly used.
const MAX_SPARE: u8 = 7;

/// Share of its part that an entry VM gets at each level of spare room. The load follows the share:
/// as the use grows, the share falls by less than half as many percent, or the loads would swing.
const SHARES: [f64; 8] = [0.75, 0.8, 0.85, 0.9, 0.96, 1.0, 1.0, 1.0];

/// By how much the use must fall below an edge for the spare room to rise.
const HYSTERESIS: f64 = 0.04;

/// Use from which the part of an entry VM that was out of room stops growing.
const CAUTIOUS_USE: f64 = 0.85;

/// Number of steps after which the part of an entry VM that was out of room grows: some callers
/// keep an answer that long, so that its effect shows only then.
const CAUTIOUS_STEPS: u32 = 3;

/// Backlog of the link, in seconds, from which an entry VM is out of room.
const MAX_BACKLOG: f64 = 0.5;

/// Size and remaining room of an entry VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Headroom {
    /// Size in eighths of an octave.
    size: u8,
    /// Part that it takes of its full one, in eighths; 0 if it is out of room.
    part: u8,
    /// Spare room, from 0 (none) to 7 (most).
    spare: u8,
}

impl Headroom {
    /// Share of its part that a full entry VM gets if the others have no room either.
    pub const FULL_SHARE: f64 = SHARES[0];

    /// Creates the headroom of an entry VM of `size`, in any unit that all entry VMs share, that
    /// takes `part` eighths of its full part and has `spare` room from 0 to 7.
    #[must_use]
    pub fn new(size: f64, part: u8, spare: u8) -> Self {
        Self {
            size: size_code(size),
            part: part.min(WHOLE_PART),
            spare: spare.min(MAX_SPARE),
        }
    }

    /// Returns the headroom with a code from another process; `None` if the code means none.
    #[must_use]
    pub fn from_code(code: u32) -> Option<Self> {
        let [spare, part, size, 0] = code.checked_sub(1)?.to_le_bytes() else {
            return None;
        };
        let is_valid = spare <= MAX_SPARE && part <= WHOLE_PART && size <= MAX_SIZE;
        is_valid.then_some(Self { size, part, spare })
    }

    /// Returns a code for other processes, which is never 0.
    #[must_use]
    pub const fn code(self) -> u32 {
        u32::from_le_bytes([self.spare, self.part, self.size, 0]) + 1
    }

    /// Returns the size of the entry VM.
    #[must_use]
    pub fn size(self) -> f64 {
        ((f64::from(self.size) - UNIT_SIZE) / SIZES_PER_OCTAVE).exp2()
    }

    /// Returns the share of its size by which the entry VM is to be named, from 0 to 1.
    #[must_use]
    pub fn share(self) -> f64 {
        let of_spare = SHARES.get(usize::from(self.spare)).copied();
        f64::from(self.part) / f64::from(WHOLE_PART) * of_spare.unwrap_or(1.0)
    }

    /// Returns the share of its size that the entry VM surely has free.
    #[must_use]
    pub fn free(self) -> f64 {
        let edge = usize::from(MAX_SPARE - self.spare);
        EDGES.get(edge).map_or(0.0, |used| 1.0 - used)
    }

    /// Returns whether the entry VM has no room left.
    #[must_use]
    pub const fn is_out_of_room(self) -> bool {
        self.part == 0
    }

    /// Returns whether the entry VM needs relief: it is out of room, or at least 0.88 of it is in
    /// use.
    #[must_use]
    pub const fn is_short(self) -> bool {
        self.is_out_of_room() || self.spare <= 1
    }

    /// Returns whether the entry VM has room for more callers of other regions: less than 0.8 of it
    /// is in use.
    #[must_use]
    pub const fn is_roomy(self) -> bool {
        !self.is_out_of_room() && self.spare >= 3
    }

    /// Returns whether the entry VM needs no relief at all: less than 0.7 of it is in use.
    #[must_use]
    pub const fn is_relaxed(self) -> bool {
        !self.is_out_of_room() && self.spare >= 4
    }
}

/// Use of an entry VM over about a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomSample {
    /// Load of its link.
    pub link: LinkLoad,
    /// Share of the connections it can hold that callers have open.
    pub connections: f64,
    /// Whether it refused connections or requests for want of room of its own.
    pub refused: bool,
}

impl RoomSample {
    fn used(&self) -> f64 {
        self.link.used.max(self.connections)
    }

    fn is_out_of_room(&self) -> bool {
        self.refused || self.link.backlog >= MAX_BACKLOG
    }
}

/// Derives the headroom of an entry VM from samples of its use.
#[derive(Clone, Debug)]
pub struct HeadroomMeter {
    headroom: Headroom,
    /// Part that it had when it was out of room; `None` once it has its whole part again.
    part_before: Option<u8>,
    step: Duration,
    changed_at: Instant,
    part_changed_at: Instant,
}

impl HeadroomMeter {
    /// Creates the meter of an entry VM that has just started. Its headroom changes once in `step`,
    /// the time for which callers cache an answer, except that it is out of room at once.
    #[must_use]
    pub fn new(now: Instant, size: f64, step: Duration) -> Self {
        Self {
            headroom: Headroom::new(size, START_PART, MAX_SPARE),
            part_before: None,
            step,
            changed_at: now,
            part_changed_at: now,
        }
    }

    /// Returns the headroom as last derived.
    #[must_use]
    pub const fn headroom(&self) -> Headroom {
        self.headroom
    }

    /// Returns the headroom after a sample.
    pub fn update(&mut self, now: Instant, sample: &RoomSample) -> Headroom {
        let before = self.headroom;
        if sample.is_out_of_room() {
            if before.part > 0 {
                self.part_before = Some(before.part);
            }
            self.headroom.part = 0;
            self.part_changed_at = now;
        } else if now.saturating_duration_since(self.changed_at) >= self.step {
            self.headroom.spare = spare_room(before.spare, sample.used());
            self.headroom.part = self.next_part(now, sample.used());
        }
        if self.headroom != before {
            self.changed_at = now;
        }
        if self.headroom.part != before.part {
            self.part_changed_at = now;
        }
        self.headroom
    }

    fn next_part(&mut self, now: Instant, used: f64) -> u8 {
        let part = self.headroom.part;
        let Some(part_before) = self.part_before else {
            return (part + START_PART).min(WHOLE_PART);
        };
        let waited = now.saturating_duration_since(self.part_changed_at);
        if waited < self.step * CAUTIOUS_STEPS {
            return part;
        }
        if part == 0 {
            return (part_before / 2).max(1);
        }
        if used >= CAUTIOUS_USE {
            return part;
        }
        if part + 1 >= WHOLE_PART {
            self.part_before = None;
        }
        part + 1
    }
}

/// Returns the level of spare room at a use, for an entry VM that has told `spare`.
fn spare_room(spare: u8, used: f64) -> u8 {
    let level = |used: f64| {
        let edges = EDGES.iter().filter(|edge| used >= **edge).count();
        MAX_SPARE - u8::try_from(edges).unwrap_or(MAX_SPARE)
    };
    spare.clamp(level(used + HYSTERESIS), level(used))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the code"
)]
fn size_code(size: f64) -> u8 {
    let code = size.log2().mul_add(SIZES_PER_OCTAVE, UNIT_SIZE).round();
    code.clamp(0.0, MAX_SIZE.into()) as u8
}
