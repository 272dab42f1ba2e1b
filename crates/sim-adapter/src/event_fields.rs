//! Access by index to the values of an event or list entry, which is a JSON array.

use std::sync::Arc;
use std::time::Duration;

use reeddock::{AttemptNumber, DestinationId, EndpointId, MessageId, PeerId};
use serde_json::{Map, Value};

use crate::AdapterError;

/// The name and the values of an event or list entry. Indices of values start at 0 and exclude the name.
pub(crate) struct EventFields<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> TryFrom<&'a Value> for EventFields<'a> {
    type Error = AdapterError;

    /// Reads an event, an array whose first value is the name.
    fn try_from(event: &'a Value) -> Result<EventFields<'a>, AdapterError> {
        let array = event.as_array().ok_or(AdapterError::EventNotArray)?;
        let name = array.first().and_then(Value::as_str).ok_or(AdapterError::MissingEventName)?;
        Ok(EventFields { name, values: &array[1..] })
    }
}

impl<'a> EventFields<'a> {
    /// Reads an entry of a registered list, an array without a name.
    pub fn from_list_entry(entry: &'a Value) -> Result<EventFields<'a>, AdapterError> {
        let values = entry.as_array().ok_or(AdapterError::EntryNotArray)?;
        Ok(EventFields { name: "Register entry", values })
    }

    fn get(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    /// Returns the error for a value that is missing or malformed.
    pub fn invalid_value(&self, index: usize) -> AdapterError {
        AdapterError::InvalidValue { event: self.name.to_owned(), number: index + 1 }
    }

    pub fn text(&self, index: usize) -> Result<&'a str, AdapterError> {
        self.optional_text(index).ok_or_else(|| self.invalid_value(index))
    }

    /// Returns the string at an index; `None` if the value is absent or has the wrong type.
    pub fn optional_text(&self, index: usize) -> Option<&'a str> {
        self.get(index)?.as_str()
    }

    pub fn integer(&self, index: usize) -> Result<u64, AdapterError> {
        self.optional_integer(index)?.ok_or_else(|| self.invalid_value(index))
    }

    /// Returns the integer at an index; `None` if the value is absent, and an error if it has the wrong type.
    pub fn optional_integer(&self, index: usize) -> Result<Option<u64>, AdapterError> {
        let Some(value) = self.get(index) else { return Ok(None) };
        value.as_u64().map(Some).ok_or_else(|| self.invalid_value(index))
    }

    fn integer_u32(&self, index: usize) -> Result<u32, AdapterError> {
        u32::try_from(self.integer(index)?).map_err(|_| self.invalid_value(index))
    }

    /// Returns the number at an index; `None` if the value is absent or has the wrong type.
    pub fn optional_number(&self, index: usize) -> Option<f64> {
        self.get(index)?.as_f64()
    }

    /// Returns the boolean at an index; `false` if the value is absent or has the wrong type.
    pub fn flag(&self, index: usize) -> bool {
        self.get(index).and_then(Value::as_bool).unwrap_or_default()
    }

    /// Returns the array at an index; `None` if the value is absent or has the wrong type.
    pub fn optional_array(&self, index: usize) -> Option<&'a [Value]> {
        self.get(index)?.as_array().map(Vec::as_slice)
    }

    pub fn array(&self, index: usize) -> Result<&'a [Value], AdapterError> {
        self.optional_array(index).ok_or_else(|| self.invalid_value(index))
    }

    pub fn object(&self, index: usize) -> Result<&'a Map<String, Value>, AdapterError> {
        self.get(index).and_then(Value::as_object).ok_or_else(|| self.invalid_value(index))
    }

    /// Returns the duration at an index, which is in microseconds on the wire.
    pub fn duration_from_micros(&self, index: usize) -> Result<Duration, AdapterError> {
        self.integer(index).map(Duration::from_micros)
    }

    pub fn message(&self, index: usize) -> Result<MessageId, AdapterError> {
        self.text(index).map(|id| MessageId(Arc::from(id)))
    }

    pub fn endpoint(&self, index: usize) -> Result<EndpointId, AdapterError> {
        self.integer_u32(index).map(EndpointId)
    }

    pub fn destination(&self, index: usize) -> Result<DestinationId, AdapterError> {
        self.integer(index).map(DestinationId)
    }

    pub fn attempt(&self, index: usize) -> Result<AttemptNumber, AdapterError> {
        self.integer_u32(index).map(AttemptNumber)
    }

    pub fn peer(&self, index: usize) -> Result<PeerId, AdapterError> {
        self.integer_u32(index).map(PeerId)
    }
}
