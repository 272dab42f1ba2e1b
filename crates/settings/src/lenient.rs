//! Reads values of a JSON object whose author can't be asked: one that is absent, null or of another type counts as not
//! given.

use std::time::Duration;

use serde_json::{Map, Value};

/// An object in the settings, or one without keys where it is not given.
#[derive(Clone, Copy)]
pub(crate) struct Section<'a>(Option<&'a Map<String, Value>>);

impl<'a> From<&'a Map<String, Value>> for Section<'a> {
    fn from(object: &'a Map<String, Value>) -> Section<'a> {
        Section(Some(object))
    }
}

impl<'a> From<&'a Value> for Section<'a> {
    fn from(value: &'a Value) -> Section<'a> {
        Section(value.as_object())
    }
}

impl<'a> Section<'a> {
    fn get(self, key: &str) -> Option<&'a Value> {
        self.0?.get(key)
    }

    /// The object at a key.
    pub fn section(self, key: &str) -> Section<'a> {
        Section(self.get(key).and_then(Value::as_object))
    }

    /// The array at a key; empty if not given.
    pub fn list(self, key: &str) -> &'a [Value] {
        self.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// The word at a key.
    pub fn word(self, key: &str) -> Option<&'a str> {
        self.get(key).and_then(Value::as_str)
    }

    /// The text at a key; empty if not given.
    pub fn text(self, key: &str) -> String {
        self.word(key).unwrap_or_default().to_owned()
    }

    /// The whole number at a key.
    pub fn integer(self, key: &str) -> Option<u64> {
        self.get(key).and_then(Value::as_u64)
    }

    /// The number at a key.
    pub fn number(self, key: &str) -> Option<f64> {
        self.get(key).and_then(Value::as_f64)
    }

    /// The time at a key, which is given in whole microseconds.
    pub fn micros(self, key: &str) -> Option<Duration> {
        self.integer(key).map(Duration::from_micros)
    }

    /// The flag at a key; unset if not given.
    pub fn flag(self, key: &str) -> bool {
        self.get(key).and_then(Value::as_bool).unwrap_or_default()
    }
}
