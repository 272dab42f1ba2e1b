//! Reads a configuration without holding its list of endpoints, which may be most of the file.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use reeddock_protocol::{Entry, ListLimits};
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

/// The parts of a configuration that have a meaning, beside the list of endpoints.
const PARTS: [&str; 5] = ["listen", "discovery", "seed", "limits", "settings"];

/// What stands in a configuration.
#[derive(Default)]
pub struct Contents {
    /// Of [`PARTS`], those that are there.
    pub parts: BTreeMap<String, Value>,
    /// The generation of the list of endpoints and how many entries it has, if there is one.
    pub known: Option<Known>,
}

/// What a list of endpoints comes down to whose entries were handed on.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    pub generation: u64,
    pub entries: usize,
}

/// Reads a file, and hands on each entry of its list of endpoints. An error names the file and the place in it.
pub fn read(file: &Path, each: &mut dyn FnMut(Entry)) -> Result<Contents, String> {
    let name = file.display();
    let opened = File::open(file).map_err(|e| format!("cannot read {name}: {e}"))?;
    let mut json = serde_json::Deserializer::from_reader(BufReader::with_capacity(64 * 1024, opened));
    let contents = WholeFile { each }.deserialize(&mut json);
    let contents = contents.and_then(|contents| json.end().map(|()| contents));
    contents.map_err(|fault| match fault.classify() {
        serde_json::error::Category::Io => format!("cannot read {name}: {fault}"),
        serde_json::error::Category::Data => format!("{name}: {fault}"),
        _ => format!("{name} is not JSON: {fault}"),
    })
}

struct WholeFile<'e> {
    each: &'e mut dyn FnMut(Entry),
}

impl<'de> DeserializeSeed<'de> for WholeFile<'_> {
    type Value = Contents;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Contents, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for WholeFile<'_> {
    type Value = Contents;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a configuration")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Contents, A::Error> {
        let mut contents = Contents::default();
        while let Some(key) = map.next_key::<String>()? {
            if key == "known" {
                contents.known = map.next_value_seed(List { each: &mut *self.each })?;
            } else if PARTS.contains(&key.as_str()) {
                let value = map.next_value()?;
                contents.parts.insert(key, value);
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(contents)
    }
}

/// The list of endpoints, or null.
struct List<'e> {
    each: &'e mut dyn FnMut(Entry),
}

impl<'de> DeserializeSeed<'de> for List<'_> {
    type Value = Option<Known>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Option<Known>, D::Error> {
        deserializer.deserialize_any(self).map_err(|fault| D::Error::custom(format!("known: {fault}")))
    }
}

impl<'de> Visitor<'de> for List<'_> {
    type Value = Option<Known>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of targets")
    }

    fn visit_unit<E>(self) -> Result<Option<Known>, E> {
        Ok(None)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Option<Known>, A::Error> {
        let (mut generation, mut entries) = (None, None);
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "generation" => {
                    once(generation.replace(map.next_value::<u64>()?), "generation")?;
                }
                "instances" => {
                    let told = map.next_value_seed(Entries { each: &mut *self.each })?;
                    once(entries.replace(told), "instances")?;
                }
                "reset" => {
                    map.next_value::<bool>()?;
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let generation = generation.ok_or_else(|| A::Error::missing_field("generation"))?;
        Ok(Some(Known { generation, entries: entries.unwrap_or_default() }))
    }
}

fn once<T, E: Error>(before: Option<T>, field: &'static str) -> Result<(), E> {
    before.map_or(Ok(()), |_| Err(E::duplicate_field(field)))
}

/// The entries of the list; says how many there are.
struct Entries<'e> {
    each: &'e mut dyn FnMut(Entry),
}

impl<'de> DeserializeSeed<'de> for Entries<'_> {
    type Value = usize;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<usize, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Entries<'_> {
    type Value = usize;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of targets in brackets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<usize, A::Error> {
        let most = ListLimits::default().entries;
        let mut count = 0;
        loop {
            let entry = entries.next_element::<Entry>();
            let entry = entry.map_err(|fault| A::Error::custom(format!("instances[{count}]: {fault}")))?;
            let Some(entry) = entry else { return Ok(count) };
            if count == most {
                return Err(A::Error::custom(format!("instances[{count}]: expected {most} entries at most")));
            }
            count += 1;
            (self.each)(entry);
        }
    }
}
