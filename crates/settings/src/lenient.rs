//! Lenient access to the values of a JSON object: a value that is null or of the wrong type is treated as
//! absent.

use std::time::Duration;

use serde_json::{Map, Value};

/// An object in the settings. An absent object is treated as empty.
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

    /// Returns the object at a key; empty if absent.
    pub fn section(self, key: &str) -> Section<'a> {
        Section(self.get(key).and_then(Value::as_object))
    }

    /// Returns the array at a key; empty if absent.
    pub fn list(self, key: &str) -> &'a [Value] {
        self.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// Returns the string at a key; `None` if absent.
    pub fn text(self, key: &str) -> Option<&'a str> {
        self.get(key).and_then(Value::as_str)
    }

    /// Returns the string at a key; empty if absent.
    pub fn text_or_empty(self, key: &str) -> String {
        self.text(key).unwrap_or_default().to_owned()
    }

    /// Returns the non-negative integer at a key; `None` if absent.
    pub fn integer(self, key: &str) -> Option<u64> {
        self.get(key).and_then(Value::as_u64)
    }

    /// Returns the number at a key; `None` if absent.
    pub fn number(self, key: &str) -> Option<f64> {
        self.get(key).and_then(Value::as_f64)
    }

    /// Returns the duration at a key, an integer in microseconds; `None` if absent.
    pub fn micros(self, key: &str) -> Option<Duration> {
        self.integer(key).map(Duration::from_micros)
    }

    /// Returns the boolean at a key; `false` if absent.
    pub fn flag(self, key: &str) -> bool {
        self.get(key).and_then(Value::as_bool).unwrap_or_default()
    }
}
