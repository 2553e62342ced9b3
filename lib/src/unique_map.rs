//! Deserializes maps in which no key occurs twice.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::Visitor;

/// Deserializes a map, for use with `#[serde(deserialize_with)]`. Otherwise, the last of several
/// values of a key would replace the others.
///
/// # Errors
///
/// Fails if a key occurs twice, or if a key or a value cannot be deserialized.
pub(crate) fn deserialize<'de, D, K, V>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
where
    D: Deserializer<'de>,
    K: Deserialize<'de> + Ord + fmt::Debug,
    V: Deserialize<'de>,
{
    deserializer.deserialize_map(UniqueMap(PhantomData))
}

struct UniqueMap<K, V>(PhantomData<(K, V)>);

impl<'de, K, V> Visitor<'de> for UniqueMap<K, V>
where
    K: Deserialize<'de> + Ord + fmt::Debug,
    V: Deserialize<'de>,
{
    type Value = BTreeMap<K, V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Self::Value, A::Error> {
        let mut map = BTreeMap::new();
        while let Some((key, value)) = entries.next_entry::<K, V>()? {
            if map.contains_key(&key) {
                return Err(A::Error::custom(format_args!("{key:?} occurs twice")));
            }
            map.insert(key, value);
        }
        Ok(map)
    }
}
