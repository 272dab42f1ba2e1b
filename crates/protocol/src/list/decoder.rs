//! Incremental decoder for watch responses. It performs no I/O.

use std::borrow::Cow;
use std::collections::VecDeque;

use serde::de::{DeserializeOwned, IgnoredAny};

use super::grammar::{Key, Position};
use super::part_progress::PartProgress;
use super::value_scan::ValueScan;
use super::{ListEvent, ListLimits};
use crate::{ListError, ListFault, ListLocation};

/// An incremental decoder for a watch response, which takes chunks of bytes of any size. A part of the
/// list may span several lines, none of which is empty. The decoder must not be used after an error.
pub struct ListDecoder {
    limits: ListLimits,
    position: Position,
    /// Key of the next value.
    key: Key,
    /// The key, value or entry that is being scanned.
    value: ValueScan,
    part: PartProgress,
    /// Decoded events that were not returned yet.
    ready: VecDeque<ListEvent>,
    /// Whether the current line has only white space so far.
    line_is_blank: bool,
    /// Number of bytes consumed so far.
    offset: u64,
}

impl Default for ListDecoder {
    fn default() -> ListDecoder {
        ListDecoder::new(ListLimits::default())
    }
}

impl ListDecoder {
    /// Creates a decoder at the start of a watch response.
    #[must_use]
    pub fn new(limits: ListLimits) -> ListDecoder {
        ListDecoder {
            limits,
            position: Position::BetweenParts,
            key: Key::default(),
            value: ValueScan::default(),
            part: PartProgress::default(),
            ready: VecDeque::new(),
            line_is_blank: true,
            offset: 0,
        }
    }

    /// Returns the number of bytes of the response that were consumed so far.
    #[must_use]
    pub fn consumed_bytes(&self) -> u64 {
        self.offset
    }

    /// Returns the next event and advances `input` past the bytes that were read. `None` if `input` is empty
    /// and no event is left.
    pub fn next_event(&mut self, input: &mut &[u8]) -> Result<Option<ListEvent>, ListError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            if input.is_empty() {
                return Ok(None);
            }
            match self.position {
                Position::InKey | Position::InValue | Position::InEntry => self.scan_value(input)?,
                _ => self.read_delimiter(input)?,
            }
        }
    }

    /// Consumes the bytes of `input` that belong to a key, a value or an entry.
    fn scan_value(&mut self, input: &mut &[u8]) -> Result<(), ListError> {
        let scanned = self.value.consume(input, self.limits.max_value_bytes);
        let (consumed, rest) = input.split_at(scanned.length);
        self.track_lines(consumed)?;
        *input = rest;
        self.offset += consumed.len() as u64;
        let is_ignored = self.position == Position::InValue && self.key == Key::Other;
        if self.value.exceeds(self.limits.max_value_bytes) && !is_ignored {
            return Err(self.error(ListFault::ValueTooLong { limit: self.limits.max_value_bytes }));
        }
        if !scanned.ended {
            return Ok(());
        }
        match self.position {
            Position::InKey => self.end_key(),
            Position::InEntry => self.end_entry(),
            _ => self.end_value(),
        }
    }

    /// Consumes one byte between values. The first byte of a value is not consumed, but starts the scan of
    /// the value.
    fn read_delimiter(&mut self, input: &mut &[u8]) -> Result<(), ListError> {
        let Some((byte, rest)) = input.split_first() else { return Ok(()) };
        let byte = *byte;
        if self.position.starts_value(self.key, byte) {
            self.value.reset();
            self.position = match self.position {
                Position::KeyOrEnd | Position::Key => Position::InKey,
                Position::EntryOrEnd | Position::Entry => Position::InEntry,
                _ => Position::InValue,
            };
            return Ok(());
        }
        let line_was_blank = self.line_is_blank;
        self.track_lines(&[byte])?;
        *input = rest;
        self.offset += 1;
        if byte == b'\n' && line_was_blank && self.position == Position::BetweenParts {
            self.ready.push_back(ListEvent::Heartbeat);
        }
        self.position = self.position_after(byte)?;
        Ok(())
    }

    /// Returns the position after a byte between values, and starts and ends parts.
    fn position_after(&mut self, byte: u8) -> Result<Position, ListError> {
        Ok(match (self.position, byte) {
            (Position::AfterPart, b'\n') => {
                self.ready.push_back(ListEvent::PartEnded);
                Position::BetweenParts
            }
            (unchanged, b' ' | b'\t' | b'\r' | b'\n') => unchanged,
            (Position::BetweenParts, b'{') => {
                self.part = PartProgress::default();
                Position::KeyOrEnd
            }
            (Position::KeyOrEnd | Position::AfterValue, b'}') => {
                self.part.end(&mut self.ready).map_err(|fault| self.error(fault))?;
                Position::AfterPart
            }
            (Position::Colon, b':') => Position::Value,
            (Position::Value, b'[') if self.key == Key::Instances => Position::EntryOrEnd,
            (Position::AfterValue, b',') => Position::Key,
            (Position::EntryOrEnd | Position::AfterEntry, b']') => Position::AfterValue,
            (Position::AfterEntry, b',') => Position::Entry,
            (_, other) => return Err(self.unexpected_input(format!("{:?}", char::from(other)))),
        })
    }

    /// Tracks line ends. An empty line within a part is an error, because discovery sends empty lines only
    /// between parts and the rest of the part would never arrive.
    fn track_lines(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        for byte in bytes {
            match byte {
                b'\n' if self.line_is_blank && self.position != Position::BetweenParts => {
                    return Err(self.unexpected_input("an empty line".to_owned()));
                }
                b'\n' => self.line_is_blank = true,
                b' ' | b'\t' | b'\r' => {}
                _ => self.line_is_blank = false,
            }
        }
        Ok(())
    }

    fn end_key(&mut self) -> Result<(), ListError> {
        let name: Cow<str> = self.decode_value("key: ")?;
        let (key, is_duplicate) = match name.as_ref() {
            "generation" => (Key::Generation, self.part.generation.is_some()),
            "reset" => (Key::Reset, self.part.is_full_list.is_some()),
            "instances" => (Key::Instances, std::mem::replace(&mut self.part.has_instances, true)),
            _ => (Key::Other, false),
        };
        if is_duplicate {
            return Err(self.error(ListFault::DuplicateKey { key: name.into_owned() }));
        }
        self.key = key;
        self.position = Position::Colon;
        Ok(())
    }

    fn end_value(&mut self) -> Result<(), ListError> {
        match self.key {
            Key::Generation => self.part.generation = Some(self.decode_value("generation: ")?),
            Key::Reset => self.part.is_full_list = Some(self.decode_value("reset: ")?),
            // The kept part of a value over the limit is truncated and cannot be validated.
            _ if self.value.exceeds(self.limits.max_value_bytes) => {}
            _ => {
                self.decode_value::<IgnoredAny>("")?;
            }
        }
        self.position = Position::AfterValue;
        self.part.start_if_known(&mut self.ready);
        Ok(())
    }

    fn end_entry(&mut self) -> Result<(), ListError> {
        if self.part.entries >= self.limits.max_entries {
            return Err(self.error(ListFault::TooManyEntries { limit: self.limits.max_entries }));
        }
        let entry = self.decode_value("")?;
        let bytes = self.value.value().len();
        self.position = Position::AfterEntry;
        let added = self.part.add_entry(entry, bytes, &self.limits, &mut self.ready);
        added.map_err(|fault| self.error(fault))
    }

    /// Decodes the scanned value. `label` names the value in an error if the location does not identify it.
    fn decode_value<T: DeserializeOwned>(&self, label: &'static str) -> Result<T, ListError> {
        serde_json::from_slice(self.value.value())
            .map_err(|source| self.error(ListFault::InvalidValue { label, source }))
    }

    fn unexpected_input(&self, found: String) -> ListError {
        let expected = match (self.position, self.key) {
            (Position::Value, Key::Instances) => "a list in brackets",
            (position, _) => position.expected_input(),
        };
        self.error(ListFault::Unexpected { expected, found })
    }

    /// Returns an error for a fault at the current location.
    fn error(&self, fault: ListFault) -> ListError {
        let entry = self.position.is_in_entries().then_some(self.part.entries);
        ListError { location: ListLocation { offset: self.offset, entry }, fault }
    }
}
