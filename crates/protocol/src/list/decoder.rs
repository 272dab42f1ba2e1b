//! Decodes a watch on the list of endpoints from bytes that come in any pieces, one entry at a time. No I/O.

use std::borrow::Cow;
use std::collections::VecDeque;

use serde::de::{DeserializeOwned, IgnoredAny};

use super::value_scan::ValueScan;
use super::ListEntry;
use crate::{ListError, ListFault, ListLocation};

/// What a watch tells, in its order.
#[derive(Debug, PartialEq)]
pub enum ListEvent {
    /// A part begins: all of the list, or what changed.
    Begins { generation: u64, whole: bool },
    /// One entry of the part.
    EndpointUpdated(ListEntry),
    /// The part has come to its end, and so has its line.
    Ends,
    /// An empty line between parts.
    Heartbeat,
}

/// What a decoder holds at most. A list is refused beyond these.
#[derive(Clone, Copy, Debug)]
pub struct ListLimits {
    /// Entries of one part.
    pub entries: usize,
    /// Bytes of one entry, or of any other value that has a meaning.
    pub value_bytes: usize,
    /// Bytes of entries that come before both `generation` and `reset`, which stand first as a rule.
    pub early_bytes: usize,
}

impl Default for ListLimits {
    fn default() -> ListLimits {
        ListLimits { entries: 1_000_000, value_bytes: 64 * 1024, early_bytes: 8 * 1024 * 1024 }
    }
}

/// What may come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Between two parts.
    Outside,
    KeyOrEnd,
    Key,
    InKey,
    Colon,
    Value,
    InValue,
    AfterValue,
    EntryOrEnd,
    Entry,
    InEntry,
    AfterEntry,
    /// Behind a part, in its last line.
    Behind,
}

impl Place {
    fn expectation(self) -> &'static str {
        match self {
            Place::Outside => "a part of the list, as a JSON object",
            Place::KeyOrEnd => "a key in quotes, or }",
            Place::Key => "a key in quotes",
            Place::Colon => "a colon",
            Place::Value | Place::InValue | Place::InKey => "a JSON value",
            Place::AfterValue => "a comma, or }",
            Place::EntryOrEnd => "an entry, or ]",
            Place::Entry | Place::InEntry => "an entry",
            Place::AfterEntry => "a comma, or ]",
            Place::Behind => "the end of the line",
        }
    }
}

/// Which key a value belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Key {
    Generation,
    Reset,
    Instances,
    #[default]
    Other,
}

/// What is known of the part that is being told.
#[derive(Default)]
struct Part {
    generation: Option<u64>,
    whole: Option<bool>,
    has_instances: bool,
    /// Its beginning has been told.
    begun: bool,
    entries: usize,
    /// Entries that came before that, and their bytes on the wire.
    early: VecDeque<ListEntry>,
    early_bytes: usize,
}

/// Decodes what a watch tells. A part may take several lines, but none of them is empty. After a fault the decoder
/// is of no more use.
pub struct ListDecoder {
    bounds: ListLimits,
    place: Place,
    key: Key,
    value: ValueScan,
    part: Part,
    /// Told, and not yet fetched.
    ready: VecDeque<ListEvent>,
    /// Nothing but white space has come since the last end of a line.
    blank: bool,
    /// Bytes so far.
    offset: u64,
}

impl Default for ListDecoder {
    fn default() -> ListDecoder {
        ListDecoder::new(ListLimits::default())
    }
}

impl ListDecoder {
    pub fn new(bounds: ListLimits) -> ListDecoder {
        ListDecoder {
            bounds,
            place: Place::Outside,
            key: Key::default(),
            value: ValueScan::default(),
            part: Part::default(),
            ready: VecDeque::new(),
            blank: true,
            offset: 0,
        }
    }

    /// Bytes that were taken so far.
    pub fn bytes(&self) -> u64 {
        self.offset
    }

    /// The next event; takes from the front of `input` what it needs for it. None once all of `input` is taken.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<ListEvent>, ListError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            if input.is_empty() {
                return Ok(None);
            }
            match self.place {
                Place::InKey | Place::InValue | Place::InEntry => self.scan(input)?,
                _ => self.step(input)?,
            }
        }
    }

    fn unexpected(&self, found: String) -> ListError {
        let expected = match (self.place, self.key) {
            (Place::Value, Key::Instances) => "a list in brackets",
            (place, _) => place.expectation(),
        };
        self.error(ListFault::Unexpected { expected, found })
    }

    /// A fault at the present location.
    fn error(&self, fault: ListFault) -> ListError {
        let in_entries =
            matches!(self.place, Place::Entry | Place::InEntry | Place::EntryOrEnd | Place::AfterEntry);
        let entry = in_entries.then_some(self.part.entries);
        ListError { location: ListLocation { offset: self.offset, entry }, fault }
    }

    /// Takes a run of bytes of a key, a value or an entry.
    fn scan(&mut self, input: &mut &[u8]) -> Result<(), ListError> {
        let scanned = self.value.take(input, self.bounds.value_bytes);
        let (taken, rest) = input.split_at(scanned.used);
        self.see_lines(taken)?;
        *input = rest;
        self.offset += taken.len() as u64;
        let passed_over = self.place == Place::InValue && self.key == Key::Other;
        if self.value.exceeds(self.bounds.value_bytes) && !passed_over {
            return Err(self.error(ListFault::ValueTooLong { limit: self.bounds.value_bytes }));
        }
        if !scanned.ended {
            return Ok(());
        }
        match self.place {
            Place::InKey => self.end_key(),
            Place::InEntry => self.end_entry(),
            _ => self.end_value(),
        }
    }

    /// Takes one byte between values.
    fn step(&mut self, input: &mut &[u8]) -> Result<(), ListError> {
        let Some((byte, rest)) = input.split_first() else { return Ok(()) };
        let byte = *byte;
        let begins_value = self.begins_value(byte);
        if !begins_value {
            // The first byte of a value is taken with the others.
            let was_blank = self.blank;
            self.see_lines(&[byte])?;
            *input = rest;
            self.offset += 1;
            if byte == b'\n' && was_blank && self.place == Place::Outside {
                self.ready.push_back(ListEvent::Heartbeat);
            }
        }
        self.place = match (self.place, byte) {
            (Place::Behind, b'\n') => {
                self.ready.push_back(ListEvent::Ends);
                Place::Outside
            }
            (place, b' ' | b'\t' | b'\r' | b'\n') => place,
            (Place::Outside, b'{') => {
                self.part = Part::default();
                Place::KeyOrEnd
            }
            (Place::KeyOrEnd | Place::AfterValue, b'}') => {
                self.end_part()?;
                Place::Behind
            }
            (Place::KeyOrEnd | Place::Key, b'"') => Place::InKey,
            (Place::Colon, b':') => Place::Value,
            (Place::Value, b'[') if self.key == Key::Instances => Place::EntryOrEnd,
            (Place::Value, _) if begins_value => Place::InValue,
            (Place::AfterValue, b',') => Place::Key,
            (Place::EntryOrEnd | Place::AfterEntry, b']') => Place::AfterValue,
            (Place::EntryOrEnd | Place::Entry, _) if begins_value => Place::InEntry,
            (Place::AfterEntry, b',') => Place::Entry,
            (_, other) => return Err(self.unexpected(format!("{:?}", char::from(other)))),
        };
        Ok(())
    }

    /// Whether a key, a value or an entry begins with this byte; readies the scan if so.
    fn begins_value(&mut self, byte: u8) -> bool {
        let marks = matches!(byte, b',' | b':' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n');
        let begins = match self.place {
            Place::KeyOrEnd | Place::Key => byte == b'"',
            Place::Value => !marks && self.key != Key::Instances,
            Place::EntryOrEnd | Place::Entry => !marks,
            _ => false,
        };
        if begins {
            self.value.restart();
        }
        begins
    }

    /// Notes where lines end. A part that is told has no empty line in it: the rest of it would never come.
    fn see_lines(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        for byte in bytes {
            match byte {
                b'\n' if self.blank && self.place != Place::Outside => {
                    return Err(self.unexpected("an empty line".to_owned()))
                }
                b'\n' => self.blank = true,
                b' ' | b'\t' | b'\r' => {}
                _ => self.blank = false,
            }
        }
        Ok(())
    }

    fn decoded<T: DeserializeOwned>(&self, label: &'static str) -> Result<T, ListError> {
        serde_json::from_slice(self.value.value())
            .map_err(|source| self.error(ListFault::InvalidValue { label, source }))
    }

    fn end_key(&mut self) -> Result<(), ListError> {
        let name: Cow<str> = self.decoded("key: ")?;
        let (key, known) = match name.as_ref() {
            "generation" => (Key::Generation, self.part.generation.is_some()),
            "reset" => (Key::Reset, self.part.whole.is_some()),
            "instances" => (Key::Instances, std::mem::replace(&mut self.part.has_instances, true)),
            _ => (Key::Other, false),
        };
        if known {
            return Err(self.error(ListFault::DuplicateKey { key: name.into_owned() }));
        }
        (self.key, self.place) = (key, Place::Colon);
        Ok(())
    }

    fn end_value(&mut self) -> Result<(), ListError> {
        match self.key {
            Key::Generation => self.part.generation = Some(self.decoded("generation: ")?),
            Key::Reset => self.part.whole = Some(self.decoded("reset: ")?),
            // The beginning of a long one says nothing of its form.
            _ if self.value.exceeds(self.bounds.value_bytes) => {}
            _ => {
                self.decoded::<IgnoredAny>("")?;
            }
        }
        self.place = Place::AfterValue;
        self.begin();
        Ok(())
    }

    /// Tells that the part begins, once what is to be told of that is known.
    fn begin(&mut self) {
        let part = &mut self.part;
        let (Some(generation), Some(whole), false) = (part.generation, part.whole, part.begun) else {
            return;
        };
        part.begun = true;
        self.ready.push_back(ListEvent::Begins { generation, whole });
        self.ready.extend(part.early.drain(..).map(ListEvent::EndpointUpdated));
    }

    fn end_entry(&mut self) -> Result<(), ListError> {
        if self.part.entries >= self.bounds.entries {
            return Err(self.error(ListFault::TooManyEntries { limit: self.bounds.entries }));
        }
        let entry = self.decoded("")?;
        let bytes = self.value.value().len();
        self.place = Place::AfterEntry;
        self.part.entries += 1;
        if self.part.begun {
            self.ready.push_back(ListEvent::EndpointUpdated(entry));
            return Ok(());
        }
        self.part.early_bytes += bytes;
        if self.part.early_bytes > self.bounds.early_bytes {
            return Err(self.error(ListFault::EntriesBeforeHeader { limit: self.bounds.early_bytes }));
        }
        self.part.early.push_back(entry);
        Ok(())
    }

    fn end_part(&mut self) -> Result<(), ListError> {
        if self.part.generation.is_none() {
            return Err(self.error(ListFault::MissingGeneration));
        }
        self.part.whole.get_or_insert(false);
        self.begin();
        Ok(())
    }
}
