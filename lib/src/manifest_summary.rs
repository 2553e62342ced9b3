//! Human-readable summary of the changes from one manifest to another, one line per change.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::id::PlaceName;
use crate::manifest::ClientBlock;
use crate::manifest::Drain;
use crate::manifest::LinkLimit;
use crate::manifest::LookUps;
use crate::manifest::Manifest;
use crate::manifest::Operation;
use crate::manifest::Place;
use crate::manifest::PlaceLimit;
use crate::manifest::Service;
use crate::manifest::ShiftCap;

/// Maximum number of changed client blocks listed individually; the rest is given as a count.
const MAX_LISTED_BLOCKS: usize = 20;

/// Kind of a change between two manifests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Difference {
    /// The item exists only in the later manifest.
    Added,
    /// The item exists only in the earlier manifest.
    Removed,
    /// The item exists in both manifests, with different values.
    Changed,
}

/// One difference between two manifests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Kind of the change.
    pub difference: Difference,
    /// Path of the changed item, such as `services.registry.warm_up_ms`.
    pub what: String,
    /// Value in the earlier manifest; `None` if the item was added or the path includes the value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// Value in the later manifest; `None` if the item was removed or the path includes the value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.difference {
            Difference::Added => '+',
            Difference::Removed => '-',
            Difference::Changed => '~',
        };
        write!(f, "{sign} {}", self.what)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, ": {before} -> {after}"),
            (Some(value), None) | (None, Some(value)) => write!(f, ": {value}"),
            (None, None) => Ok(()),
        }
    }
}

/// Returns the changes from `before` to `after`, in the order of the manifest's fields.
#[must_use]
pub fn changes(before: &Manifest, after: &Manifest) -> Vec<Change> {
    let mut changes = Changes::default();
    changes.value("version", &before.version, &after.version);
    changes.value("deployment", &before.deployment, &after.deployment);
    changes.map("places", &before.places, &after.places, Changes::place);
    changes.map(
        "services",
        &before.services,
        &after.services,
        Changes::service,
    );
    changes.shift_caps(&before.shift_caps, &after.shift_caps);
    changes.links(&before.links, &after.links);
    changes.drains(&before.drains, &after.drains);
    changes.client_blocks(&before.client_blocks, &after.client_blocks);
    changes.look_ups(before.look_ups, after.look_ups);
    changes.0
}

#[derive(Default)]
struct Changes(Vec<Change>);

impl Changes {
    fn add(
        &mut self,
        difference: Difference,
        what: String,
        before: Option<String>,
        after: Option<String>,
    ) {
        self.0.push(Change {
            difference,
            what,
            before,
            after,
        });
    }

    fn value<T: fmt::Display + PartialEq>(&mut self, what: &str, before: &T, after: &T) {
        if before != after {
            let before = Some(before.to_string());
            let after = Some(after.to_string());
            self.add(Difference::Changed, what.to_owned(), before, after);
        }
    }

    fn map<K: fmt::Display + Ord, V: Describe + PartialEq>(
        &mut self,
        what: &str,
        before: &BTreeMap<K, V>,
        after: &BTreeMap<K, V>,
        compare: impl Fn(&mut Self, &str, &V, &V),
    ) {
        for (key, old) in before {
            let what = format!("{what}.{key}");
            match after.get(key) {
                None => self.add(Difference::Removed, what, Some(old.describe()), None),
                Some(new) if old != new => compare(self, &what, old, new),
                Some(_) => {}
            }
        }
        for (key, new) in after {
            if !before.contains_key(key) {
                let what = format!("{what}.{key}");
                self.add(Difference::Added, what, None, Some(new.describe()));
            }
        }
    }

    fn place(&mut self, what: &str, before: &Place, after: &Place) {
        self.value(&format!("{what}.region"), &before.region, &after.region);
    }

    fn service(&mut self, what: &str, before: &Service, after: &Service) {
        let field = |name: &str| format!("{what}.{name}");
        self.value(
            &field("max_slots_per_backend"),
            &before.max_slots_per_backend,
            &after.max_slots_per_backend,
        );
        self.value(
            &field("max_connections_per_backend"),
            &before.max_connections_per_backend,
            &after.max_connections_per_backend,
        );
        self.value(&field("warm_up_ms"), &before.warm_up_ms, &after.warm_up_ms);
        self.map(
            &field("limits"),
            &before.limits,
            &after.limits,
            Self::describe_change,
        );
        self.operations(&field("operations"), &before.operations, &after.operations);
    }

    fn operations(&mut self, what: &str, before: &[Operation], after: &[Operation]) {
        let by_name = |operations: &[Operation]| -> BTreeMap<String, Operation> {
            let named = operations
                .iter()
                .map(|operation| (operation.name.clone(), operation.clone()));
            named.collect()
        };
        self.map(
            what,
            &by_name(before),
            &by_name(after),
            Self::describe_change,
        );
        let order = |operations: &[Operation]| -> String {
            let names: Vec<&str> = operations
                .iter()
                .map(|operation| &*operation.name)
                .collect();
            names.join(", ")
        };
        let same_names = by_name(before).keys().eq(by_name(after).keys());
        if same_names {
            self.value(&format!("{what} (order)"), &order(before), &order(after));
        }
    }

    fn describe_change<T: Describe>(&mut self, what: &str, before: &T, after: &T) {
        let before = Some(before.describe());
        let after = Some(after.describe());
        self.add(Difference::Changed, what.to_owned(), before, after);
    }

    fn shift_caps(&mut self, before: &[ShiftCap], after: &[ShiftCap]) {
        let by_ends = |caps: &[ShiftCap]| -> BTreeMap<String, Percent> {
            let ends = |cap: &ShiftCap| format!("{} to {}", cap.from, cap.to);
            caps.iter()
                .map(|cap| (ends(cap), Percent(cap.percent)))
                .collect()
        };
        let before = by_ends(before);
        let after = by_ends(after);
        self.map("shift_caps", &before, &after, Self::describe_change);
    }

    fn links(&mut self, before: &[LinkLimit], after: &[LinkLimit]) {
        let by_ends = |links: &[LinkLimit]| -> BTreeMap<String, Kilobytes> {
            let ends = |link: &LinkLimit| format!("{} to {}", link.from, link.to);
            links
                .iter()
                .map(|link| (ends(link), Kilobytes(link.max_kilobytes_per_second)))
                .collect()
        };
        let before = by_ends(before);
        let after = by_ends(after);
        self.map("links", &before, &after, Self::describe_change);
    }

    fn drains(&mut self, before: &[Drain], after: &[Drain]) {
        for drain in before.iter().filter(|drain| !after.contains(drain)) {
            let what = format!("drains: {drain}");
            self.add(Difference::Removed, what, None, None);
        }
        for drain in after.iter().filter(|drain| !before.contains(drain)) {
            let what = format!("drains: {drain}");
            self.add(Difference::Added, what, None, None);
        }
    }

    fn client_blocks(&mut self, before: &[ClientBlock], after: &[ClientBlock]) {
        let by_block = |blocks: &[ClientBlock]| -> BTreeMap<String, PlaceName> {
            blocks
                .iter()
                .map(|client_block| (client_block.block.to_string(), client_block.place.clone()))
                .collect()
        };
        let mut listed = Self::default();
        listed.map(
            "client_blocks",
            &by_block(before),
            &by_block(after),
            Self::describe_change,
        );
        let unlisted = listed.0.len().saturating_sub(MAX_LISTED_BLOCKS);
        listed.0.truncate(MAX_LISTED_BLOCKS);
        self.0.append(&mut listed.0);
        if unlisted > 0 {
            let what = format!("client_blocks: {unlisted} more");
            self.add(Difference::Changed, what, None, None);
        }
    }

    fn look_ups(&mut self, before: LookUps, after: LookUps) {
        self.value("look_ups.cache_ms", &before.cache_ms, &after.cache_ms);
        self.value("look_ups.ticket_ms", &before.ticket_ms, &after.ticket_ms);
    }
}

/// A value that can be described on one line.
trait Describe {
    fn describe(&self) -> String;
}

#[derive(PartialEq)]
struct Percent(u8);

#[derive(PartialEq)]
struct Kilobytes(u32);

impl Describe for Percent {
    fn describe(&self) -> String {
        format!("{}%", self.0)
    }
}

impl Describe for Kilobytes {
    fn describe(&self) -> String {
        format!("{} kB/s", self.0)
    }
}

impl Describe for PlaceName {
    fn describe(&self) -> String {
        self.to_string()
    }
}

impl Describe for Place {
    fn describe(&self) -> String {
        format!("region {}", self.region)
    }
}

impl Describe for PlaceLimit {
    fn describe(&self) -> String {
        format!(
            "{} in flight, {} per second",
            self.max_in_flight, self.max_per_second
        )
    }
}

impl Describe for Operation {
    fn describe(&self) -> String {
        let runs = if self.idempotent {
            "idempotent"
        } else {
            "at most once"
        };
        format!(
            "{} {}, {runs}, deadline {} ms",
            self.method, self.path_prefix, self.deadline_ms
        )
    }
}

impl Describe for Service {
    fn describe(&self) -> String {
        format!(
            "{} operations at {} places",
            self.operations.len(),
            self.limits.len()
        )
    }
}
