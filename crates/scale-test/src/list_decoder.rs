//! An incremental decoder of endpoint list lines. Entries are decoded as their bytes arrive, so that no
//! complete line is held in memory.

use std::net::SocketAddrV4;

use serde::Deserialize;

use crate::endpoint_list::instance_index;

/// Maximum size of one entry, and of the header of a line, in bytes.
const MAX_PART_BYTES: usize = 16 * 1024;

/// An event of the decoder.
#[derive(Debug, PartialEq)]
pub enum ListEvent {
    /// A line begins; its entries follow as separate events.
    LineStarted {
        /// The generation of the list after this line.
        generation: u64,
        /// True for a full list, false for changes.
        full: bool,
    },
    /// An entry of the current line.
    Entry(Entry),
    /// The current line is complete.
    LineFinished,
    /// An empty line, sent as a keep-alive.
    EmptyLine,
}

/// An entry of a line: the new state of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint's index in the list.
    pub index: u32,
    /// The number of the endpoint's destination.
    pub destination: u32,
    /// The endpoint's address; `None` if the endpoint is removed.
    pub address: Option<SocketAddrV4>,
}

/// Why a line can't be decoded.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// An entry or the header of a line exceeds the size limit.
    #[error("a list entry, or the part of a line before its entries, exceeds {MAX_PART_BYTES} bytes")]
    TooLong,
    /// The header of a line, which is the part before the entries, is invalid; holds the reason.
    #[error("invalid part of a line before its list entries: {0}")]
    Header(String),
    /// An entry is invalid; holds the reason.
    #[error("invalid list entry: {0}")]
    Entry(String),
}

/// The header of a line: its fields before the entries.
#[derive(Deserialize)]
struct LineHeader {
    generation: u64,
    #[serde(default)]
    reset: bool,
}

/// The fields of an entry that the decoder uses, named as in the protocol.
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

/// Nesting depth inside the object of a line.
const LINE_DEPTH: u32 = 1;
/// Nesting depth inside the array of entries.
const ENTRIES_DEPTH: u32 = 2;

/// An incremental decoder that accepts chunks of any length.
#[derive(Default)]
pub struct ListDecoder {
    /// Number of open objects and arrays.
    depth: u32,
    in_string: bool,
    /// Whether the next byte of a string is escaped by a backslash.
    escaped: bool,
    /// Whether the header of the current line is decoded.
    line_started: bool,
    /// The bytes received so far of the current header or entry.
    part: Vec<u8>,
}

impl ListDecoder {
    /// Decodes the next chunk and calls `on_event` for each complete event.
    pub fn decode(&mut self, bytes: &[u8], mut on_event: impl FnMut(ListEvent)) -> Result<(), DecodeError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let in_string = self.in_string;
            let plain_length =
                rest.iter().position(|byte| is_significant(*byte, in_string)).unwrap_or(rest.len());
            let plain_length = if self.escaped { 0 } else { plain_length };
            self.append(&rest[..plain_length])?;
            let Some((byte, remaining)) = rest[plain_length..].split_first() else { return Ok(()) };
            rest = remaining;
            if self.in_string {
                self.append(&[*byte])?;
                self.in_string = self.escaped || *byte != b'"';
                self.escaped = !self.escaped && *byte == b'\\';
            } else {
                self.decode_structural(*byte, &mut on_event)?;
            }
        }
        Ok(())
    }

    /// Decodes one significant byte outside a string.
    fn decode_structural(
        &mut self,
        byte: u8,
        on_event: &mut impl FnMut(ListEvent),
    ) -> Result<(), DecodeError> {
        match byte {
            b'"' => {
                self.in_string = true;
                self.append(&[byte])
            }
            b'{' | b'[' => {
                self.depth += 1;
                if self.depth == ENTRIES_DEPTH && byte == b'[' {
                    on_event(self.finish_header()?);
                    return Ok(());
                }
                self.append(&[byte])
            }
            b'}' | b']' => self.close_bracket(byte, on_event),
            b',' if self.depth == ENTRIES_DEPTH => Ok(()),
            b'\n' if self.depth == 0 => self.finish_line(on_event),
            _ => self.append(&[byte]),
        }
    }

    fn close_bracket(&mut self, byte: u8, on_event: &mut impl FnMut(ListEvent)) -> Result<(), DecodeError> {
        self.depth = self.depth.saturating_sub(1);
        if self.depth >= ENTRIES_DEPTH {
            self.append(&[byte])?;
        }
        if self.depth == ENTRIES_DEPTH {
            on_event(ListEvent::Entry(decode_entry(&self.part)?));
            self.part.clear();
        }
        Ok(())
    }

    fn finish_line(&mut self, on_event: &mut impl FnMut(ListEvent)) -> Result<(), DecodeError> {
        if !self.part.trim_ascii().is_empty() {
            return Err(DecodeError::Header(
                "expected an array of entries before the end of the line".to_owned(),
            ));
        }
        let started = std::mem::take(&mut self.line_started);
        on_event(if started { ListEvent::LineFinished } else { ListEvent::EmptyLine });
        self.part.clear();
        Ok(())
    }

    /// Appends bytes to the current header or entry, and ignores bytes after the array of entries.
    fn append(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        if self.part.len() + bytes.len() > MAX_PART_BYTES {
            return Err(DecodeError::TooLong);
        }
        // Fields after the array of entries are ignored.
        if !(self.line_started && self.depth <= LINE_DEPTH) {
            self.part.extend_from_slice(bytes);
        }
        Ok(())
    }

    /// Decodes the header of a line. A number in place of the array of entries makes the header a complete
    /// JSON object.
    fn finish_header(&mut self) -> Result<ListEvent, DecodeError> {
        let mut header = std::mem::take(&mut self.part);
        header.extend_from_slice(b"0}");
        let header: LineHeader =
            serde_json::from_slice(&header).map_err(|e| DecodeError::Header(e.to_string()))?;
        self.line_started = true;
        Ok(ListEvent::LineStarted { generation: header.generation, full: header.reset })
    }
}

/// Returns whether a byte can change the decoder's state. All other bytes are only stored.
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
    let index = index.ok_or_else(|| {
        DecodeError::Entry(format!(
            "instanceId {:?}: expected \"s-\" and 8 hexadecimal digits",
            instance.instance_id
        ))
    })?;
    let address = match instance.lifecycle {
        "Gone" => None,
        _ => Some(instance.host_port.parse().map_err(|_| {
            DecodeError::Entry(format!(
                "hostPort {:?} of {}: expected an IPv4 address and a port",
                instance.host_port, instance.instance_id
            ))
        })?),
    };
    Ok(Entry { index, destination: instance.cell, address })
}
