//! Decodes lines of the endpoint list as their bytes arrive, entry by entry, so that no line is ever held complete.

use std::net::SocketAddrV4;

use serde::Deserialize;

use crate::endpoint_list::instance_index;

/// The longest entry, and the longest line without its entries, in bytes.
const MAX_PART_BYTES: usize = 16 * 1024;

/// What the decoder has found.
#[derive(Debug, PartialEq)]
pub enum ListEvent {
    /// A line has begun; its entries follow.
    LineStarted {
        /// The generation that the list has after this line.
        generation: u64,
        /// Whether the line is a full list rather than changes.
        full: bool,
    },
    /// An entry of the line that has begun.
    Entry(Entry),
    /// The line is complete.
    LineFinished,
    /// An empty line, which only shows that the connection lives.
    EmptyLine,
}

/// What an entry says of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint's index in the list.
    pub index: u32,
    /// The number of its destination.
    pub destination: u32,
    /// Its address; none where it is removed.
    pub address: Option<SocketAddrV4>,
}

/// A line that can't be decoded.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// An entry or a head beyond the size limit.
    #[error("an entry or a head of over {MAX_PART_BYTES} bytes")]
    TooLong,
    /// The text before the entries is no valid head; with the reason.
    #[error("a head that is not understood: {0}")]
    Head(String),
    /// An entry is not valid; with the reason.
    #[error("an entry that is not understood: {0}")]
    Entry(String),
}

/// The fields of a line beside its entries.
#[derive(Deserialize)]
struct Head {
    generation: u64,
    #[serde(default)]
    reset: bool,
}

/// The fields of an entry that are used here, as the protocol names them.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance<'a> {
    #[serde(borrow)]
    instance_id: &'a str,
    #[serde(borrow, default)]
    host_port: &'a str,
    cell: u32,
    #[serde(borrow)]
    lifecycle: &'a str,
}

/// Nesting depth inside a line's object.
const LINE_DEPTH: u32 = 1;
/// Nesting depth inside a line's list of entries.
const ENTRIES_DEPTH: u32 = 2;

/// An incremental decoder, which takes bytes in pieces of any length.
#[derive(Default)]
pub struct ListDecoder {
    /// Objects and lists that are open.
    depth: u32,
    in_string: bool,
    /// Whether the last byte was a backslash that escapes the next one.
    escaped: bool,
    /// Whether the head of the line has been decoded.
    line_started: bool,
    /// The bytes of the head or the entry that is being read.
    part: Vec<u8>,
}

impl ListDecoder {
    /// Decodes further bytes, and calls `on_event` for each event as it is complete.
    pub fn decode(&mut self, bytes: &[u8], mut on_event: impl FnMut(ListEvent)) -> Result<(), DecodeError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let in_string = self.in_string;
            let plain = rest.iter().position(|byte| is_significant(*byte, in_string)).unwrap_or(rest.len());
            let plain = if self.escaped { 0 } else { plain };
            self.keep(&rest[..plain])?;
            let Some((byte, behind)) = rest[plain..].split_first() else { return Ok(()) };
            rest = behind;
            if self.in_string {
                self.keep(&[*byte])?;
                self.in_string = self.escaped || *byte != b'"';
                self.escaped = !self.escaped && *byte == b'\\';
            } else {
                self.decode_structural(*byte, &mut on_event)?;
            }
        }
        Ok(())
    }

    /// Decodes one significant byte outside strings.
    fn decode_structural(
        &mut self,
        byte: u8,
        on_event: &mut impl FnMut(ListEvent),
    ) -> Result<(), DecodeError> {
        match byte {
            b'"' => {
                self.in_string = true;
                self.keep(&[byte])
            }
            b'{' | b'[' => {
                self.depth += 1;
                if self.depth == ENTRIES_DEPTH && byte == b'[' {
                    on_event(self.finish_head()?);
                    return Ok(());
                }
                self.keep(&[byte])
            }
            b'}' | b']' => self.close_bracket(byte, on_event),
            b',' if self.depth == ENTRIES_DEPTH => Ok(()),
            b'\n' if self.depth == 0 => self.finish_line(on_event),
            _ => self.keep(&[byte]),
        }
    }

    fn close_bracket(&mut self, byte: u8, on_event: &mut impl FnMut(ListEvent)) -> Result<(), DecodeError> {
        self.depth = self.depth.saturating_sub(1);
        if self.depth >= ENTRIES_DEPTH {
            self.keep(&[byte])?;
        }
        if self.depth == ENTRIES_DEPTH {
            on_event(ListEvent::Entry(decode_entry(&self.part)?));
            self.part.clear();
        }
        Ok(())
    }

    fn finish_line(&mut self, on_event: &mut impl FnMut(ListEvent)) -> Result<(), DecodeError> {
        if !self.part.trim_ascii().is_empty() {
            return Err(DecodeError::Head("a line without entries".to_owned()));
        }
        let started = std::mem::take(&mut self.line_started);
        on_event(if started { ListEvent::LineFinished } else { ListEvent::EmptyLine });
        self.part.clear();
        Ok(())
    }

    /// Keeps bytes of the head or of an entry.
    fn keep(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        if self.part.len() + bytes.len() > MAX_PART_BYTES {
            return Err(DecodeError::TooLong);
        }
        // What follows the entries within a line has no meaning.
        if !(self.line_started && self.depth <= LINE_DEPTH) {
            self.part.extend_from_slice(bytes);
        }
        Ok(())
    }

    /// Decodes the text before the entries; a number in their place makes it a complete JSON object.
    fn finish_head(&mut self) -> Result<ListEvent, DecodeError> {
        let mut head = std::mem::take(&mut self.part);
        head.extend_from_slice(b"0}");
        let head: Head = serde_json::from_slice(&head).map_err(|e| DecodeError::Head(e.to_string()))?;
        self.line_started = true;
        Ok(ListEvent::LineStarted { generation: head.generation, full: head.reset })
    }
}

/// Whether a byte ends a run of bytes that are only kept.
fn is_significant(byte: u8, in_string: bool) -> bool {
    match byte {
        b'"' => true,
        b'\\' => in_string,
        b'{' | b'}' | b'[' | b']' | b',' | b'\n' => !in_string,
        _ => false,
    }
}

fn decode_entry(text: &[u8]) -> Result<Entry, DecodeError> {
    let instance: Instance = serde_json::from_slice(text).map_err(|e| DecodeError::Entry(e.to_string()))?;
    let index = instance_index(instance.instance_id);
    let index = index.ok_or_else(|| DecodeError::Entry(format!("name {:?}", instance.instance_id)))?;
    let address = match instance.lifecycle {
        "Gone" => None,
        _ => Some(instance.host_port.parse().map_err(|_| {
            DecodeError::Entry(format!("address {:?} of {}", instance.host_port, instance.instance_id))
        })?),
    };
    Ok(Entry { index, destination: instance.cell, address })
}
