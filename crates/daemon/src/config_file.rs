//! Reads a configuration file. The endpoint list, which may be most of the file, is streamed entry by entry
//! and never held in memory as a whole.

use std::fmt;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

use reeddock_protocol::{ListEntry, ListLimits};
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::error::Category;
use serde_json::Value;

use crate::error::ConfigError;

const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Key of the cached endpoint list in the file.
const ENDPOINT_LIST_KEY: &str = "known";

/// A configuration file without the entries of its endpoint list.
#[derive(Default)]
pub struct Contents {
    /// All sections except the endpoint list.
    pub sections: Sections,
    /// Summary of the endpoint list; `None` if the file has no list.
    pub endpoint_list: Option<EndpointListSummary>,
}

/// The sections of a configuration as unvalidated JSON; null for an absent section.
#[derive(Default)]
pub struct Sections {
    /// Address that clients connect to.
    pub listen: Value,
    /// Address of discovery, which also receives delivery notices.
    pub discovery: Value,
    /// Seed of the policy's random numbers.
    pub seed: Value,
    /// Resources of the machine that the forwarder may use.
    pub limits: Value,
    /// Settings of the delivery policy and of the network.
    pub settings: Value,
}

impl Sections {
    /// Returns the section with this key, or `None` for an unknown key, whose value is ignored.
    fn get_mut(&mut self, key: &str) -> Option<&mut Value> {
        match key {
            "listen" => Some(&mut self.listen),
            "discovery" => Some(&mut self.discovery),
            "seed" => Some(&mut self.seed),
            "limits" => Some(&mut self.limits),
            "settings" => Some(&mut self.settings),
            _ => None,
        }
    }
}

/// Summary of an endpoint list whose entries were passed to a callback while the file was read.
#[derive(Clone, Copy, Debug)]
pub struct EndpointListSummary {
    /// Generation of the list, from which a watch continues.
    pub generation: u64,
    pub entry_count: usize,
}

/// Reads a file and calls `on_entry` for each entry of its endpoint list. If an error is returned, `on_entry`
/// was already called for the entries before the error.
pub fn read(file: &Path, on_entry: &mut dyn FnMut(ListEntry)) -> Result<Contents, ConfigError> {
    let opened =
        File::open(file).map_err(|source| ConfigError::Unreadable { file: file.to_owned(), source })?;
    let reader = BufReader::with_capacity(READ_BUFFER_BYTES, opened);
    parse(reader, on_entry).map_err(|error| config_error(file, error))
}

fn parse(reader: impl io::Read, on_entry: &mut dyn FnMut(ListEntry)) -> serde_json::Result<Contents> {
    let mut json = serde_json::Deserializer::from_reader(reader);
    let contents = ConfigurationSeed { on_entry }.deserialize(&mut json)?;
    json.end()?;
    Ok(contents)
}

fn config_error(file: &Path, source: serde_json::Error) -> ConfigError {
    let file = file.to_owned();
    match source.classify() {
        Category::Io => ConfigError::Unreadable { file, source: source.into() },
        Category::Data => ConfigError::Malformed { file, source },
        Category::Syntax | Category::Eof => ConfigError::NotJson { file, source },
    }
}

/// Deserializes a configuration file.
struct ConfigurationSeed<'e> {
    on_entry: &'e mut dyn FnMut(ListEntry),
}

impl<'de> DeserializeSeed<'de> for ConfigurationSeed<'_> {
    type Value = Contents;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Contents, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ConfigurationSeed<'_> {
    type Value = Contents;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON object with the configuration")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Contents, A::Error> {
        let mut contents = Contents::default();
        while let Some(key) = map.next_key::<String>()? {
            if key == ENDPOINT_LIST_KEY {
                let seed = EndpointListSeed { on_entry: &mut *self.on_entry };
                contents.endpoint_list = map.next_value_seed(seed)?;
            } else if let Some(section) = contents.sections.get_mut(&key) {
                *section = map.next_value()?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(contents)
    }
}

/// Deserializes the endpoint list, which may be null.
struct EndpointListSeed<'e> {
    on_entry: &'e mut dyn FnMut(ListEntry),
}

impl<'de> DeserializeSeed<'de> for EndpointListSeed<'_> {
    type Value = Option<EndpointListSummary>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        let summary = deserializer.deserialize_any(self);
        summary.map_err(|error| D::Error::custom(format!("{ENDPOINT_LIST_KEY}: {error}")))
    }
}

impl<'de> Visitor<'de> for EndpointListSeed<'_> {
    type Value = Option<EndpointListSummary>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an endpoint list as a JSON object")
    }

    fn visit_unit<E>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut generation = None;
        let mut entry_count = None;
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "generation" => set_once(&mut generation, map.next_value::<u64>()?, "generation")?,
                "instances" => {
                    let count = map.next_value_seed(EntriesSeed { on_entry: &mut *self.on_entry })?;
                    set_once(&mut entry_count, count, "instances")?;
                }
                // Only the type is checked, because a list in a file is always complete.
                "reset" => drop(map.next_value::<bool>()?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let generation = generation.ok_or_else(|| A::Error::missing_field("generation"))?;
        Ok(Some(EndpointListSummary { generation, entry_count: entry_count.unwrap_or_default() }))
    }
}

/// Sets a field, or returns an error if the field is already set.
fn set_once<T, E: Error>(field: &mut Option<T>, value: T, name: &'static str) -> Result<(), E> {
    match field.replace(value) {
        Some(_) => Err(E::duplicate_field(name)),
        None => Ok(()),
    }
}

/// Deserializes and counts the entries of an endpoint list.
struct EntriesSeed<'e> {
    on_entry: &'e mut dyn FnMut(ListEntry),
}

impl<'de> DeserializeSeed<'de> for EntriesSeed<'_> {
    type Value = usize;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<usize, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesSeed<'_> {
    type Value = usize;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON array of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<usize, A::Error> {
        let max_entries = ListLimits::default().max_entries;
        let mut count = 0;
        loop {
            let entry = entries.next_element::<ListEntry>();
            let entry = entry.map_err(|error| A::Error::custom(format!("instances[{count}]: {error}")))?;
            let Some(entry) = entry else { return Ok(count) };
            if count == max_entries {
                let error = format!("instances[{count}]: expected at most {max_entries} entries");
                return Err(A::Error::custom(error));
            }
            count += 1;
            (self.on_entry)(entry);
        }
    }
}
