//! Sizes of answers by route, as observed.

use std::collections::BTreeMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::id::RouteName;

/// Maximum number of routes with an estimate; further ones share that of the default size.
const MAX_ROUTES: usize = 256;

/// Number of latest answers that an estimate covers.
const MAX_ANSWERS: f64 = 30.0;

/// Sizes assumed before the first answer, in bytes.
const INITIAL_SMALL: f64 = 2_048.0;
const INITIAL_LARGE: f64 = 65_536.0;

new_key_type! {
    /// Identifies a route with an estimate.
    pub struct AnswerSizeKey;
}

/// Whether the answers of a route are small or large.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// Passed on at once.
    Small,
    /// Read from its backend server piece by piece, as the link can carry it.
    Large,
}

impl AnswerKind {
    /// Returns the name of the kind in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Large => "large",
        }
    }

    const fn initial_bytes(self) -> f64 {
        match self {
            Self::Small => INITIAL_SMALL,
            Self::Large => INITIAL_LARGE,
        }
    }
}

/// Running mean of the sizes of a route's answers.
#[derive(Clone, Copy, Debug)]
struct MeanSize {
    bytes: f64,
    answers: f64,
}

impl MeanSize {
    fn observe(&mut self, bytes: f64) {
        self.answers = (self.answers + 1.0).min(MAX_ANSWERS);
        self.bytes += (bytes - self.bytes) / self.answers;
    }
}

/// Estimates the size of an answer from earlier answers of its route.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    sizes: SlotMap<AnswerSizeKey, MeanSize>,
    by_route: BTreeMap<RouteName, AnswerSizeKey>,
}

impl AnswerSizes {
    /// Returns the key of a route, and adds the route if there is room; the key of no route
    /// otherwise.
    pub fn key(&mut self, route: &RouteName, kind: AnswerKind) -> AnswerSizeKey {
        if let Some(key) = self.by_route.get(route) {
            return *key;
        }
        if self.by_route.len() >= MAX_ROUTES {
            return AnswerSizeKey::default();
        }
        let key = self.sizes.insert(MeanSize {
            bytes: kind.initial_bytes(),
            answers: 0.0,
        });
        self.by_route.insert(route.clone(), key);
        key
    }

    /// Returns the expected size of an answer in bytes.
    #[must_use]
    pub fn expected(&self, key: AnswerSizeKey, kind: AnswerKind) -> u64 {
        let size = self.sizes.get(key);
        let bytes = size.map_or_else(|| kind.initial_bytes(), |size| size.bytes);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of sizes"
        )]
        let bytes = bytes as u64;
        bytes
    }

    /// Records the size of an answer in bytes.
    pub fn observe(&mut self, key: AnswerSizeKey, bytes: u64) {
        #[expect(clippy::cast_precision_loss, reason = "sizes far below 2^52")]
        let bytes = bytes as f64;
        if let Some(size) = self.sizes.get_mut(key) {
            size.observe(bytes);
        }
    }

    /// Drops the estimates of routes that `is_kept` rejects.
    pub fn retain(&mut self, is_kept: impl Fn(&RouteName) -> bool) {
        let sizes = &mut self.sizes;
        self.by_route.retain(|route, key| {
            let kept = is_kept(route);
            if !kept {
                sizes.remove(*key);
            }
            kept
        });
    }
}
