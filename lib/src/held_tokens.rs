//! Tokens of one team that an entry VM holds until their leases end.

use std::time::Instant;

/// Held tokens.
#[derive(Debug, Default)]
pub struct HeldTokens {
    /// Ends of leases and numbers of tokens, the earliest first.
    leases: Vec<(Instant, u32)>,
}

impl HeldTokens {
    /// Adds `count` tokens whose lease ends at `until`.
    pub fn add(&mut self, until: Instant, count: u32) {
        if count == 0 {
            return;
        }
        let index = self.leases.partition_point(|(end, _)| *end <= until);
        self.leases.insert(index, (until, count));
    }

    /// Takes a token, of those whose lease ends first. Lapsed tokens must have been dropped.
    pub fn take(&mut self) -> bool {
        let Some((_, count)) = self.leases.first_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.leases.remove(0);
        }
        true
    }

    /// Drops the tokens whose leases have ended, and returns their number.
    pub fn drop_lapsed(&mut self, now: Instant) -> u32 {
        let lapsed = self.leases.partition_point(|(end, _)| *end <= now);
        self.leases.drain(..lapsed).map(|(_, count)| count).sum()
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.leases.iter().map(|(_, count)| count).sum()
    }
}
