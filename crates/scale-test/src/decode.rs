//! Reads lines of the list as they come, entry by entry, so that no line is ever held whole.

use std::net::SocketAddrV4;

use serde::Deserialize;

use crate::truth::place_of;

/// Bytes of one entry, and of a line without its entries, at most.
const LONGEST_PART: usize = 16 * 1024;

/// What a line holds.
#[derive(Debug, PartialEq)]
pub enum Part {
    /// A line has begun; entries follow.
    Begins {
        generation: u64,
        whole: bool,
    },
    Entry(Entry),
    /// The line is complete.
    Ends,
    /// An empty line.
    Nothing,
}

/// What the list says of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub place: u32,
    pub destination: u32,
    /// None where it is gone.
    pub address: Option<SocketAddrV4>,
}

/// A line that can't be read.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Unreadable {
    #[error("an entry or a head of over {LONGEST_PART} bytes")]
    TooLong,
    #[error("a head that is not understood: {0}")]
    Head(String),
    #[error("an entry that is not understood: {0}")]
    Entry(String),
}

#[derive(Deserialize)]
struct Head {
    generation: u64,
    #[serde(default)]
    reset: bool,
}

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

/// The depth inside a line's object, and inside its list of entries.
const IN_LINE: u32 = 1;
const IN_ENTRIES: u32 = 2;

/// Takes bytes in any pieces.
#[derive(Default)]
pub struct Decoder {
    depth: u32,
    in_string: bool,
    escaped: bool,
    begun: bool,
    part: Vec<u8>,
}

impl Decoder {
    /// Reads on; tells each part as it is complete.
    pub fn read(&mut self, bytes: &[u8], mut told: impl FnMut(Part)) -> Result<(), Unreadable> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let in_string = self.in_string;
            let plain = rest.iter().position(|byte| means_something(*byte, in_string)).unwrap_or(rest.len());
            let plain = if self.escaped { 0 } else { plain };
            self.keep(&rest[..plain])?;
            let Some((byte, behind)) = rest[plain..].split_first() else { return Ok(()) };
            rest = behind;
            if self.in_string {
                self.keep(&[*byte])?;
                self.in_string = self.escaped || *byte != b'"';
                self.escaped = !self.escaped && *byte == b'\\';
            } else {
                self.structure(*byte, &mut told)?;
            }
        }
        Ok(())
    }

    /// One byte outside strings that means something.
    fn structure(&mut self, byte: u8, told: &mut impl FnMut(Part)) -> Result<(), Unreadable> {
        match byte {
            b'"' => {
                self.in_string = true;
                self.keep(&[byte])
            }
            b'{' | b'[' => {
                self.depth += 1;
                if self.depth == IN_ENTRIES && byte == b'[' {
                    told(self.head()?);
                    return Ok(());
                }
                self.keep(&[byte])
            }
            b'}' | b']' => self.closes(byte, told),
            b',' if self.depth == IN_ENTRIES => Ok(()),
            b'\n' if self.depth == 0 => {
                if !self.part.trim_ascii().is_empty() {
                    return Err(Unreadable::Head("a line without entries".to_owned()));
                }
                told(if std::mem::take(&mut self.begun) { Part::Ends } else { Part::Nothing });
                self.part.clear();
                Ok(())
            }
            _ => self.keep(&[byte]),
        }
    }

    fn closes(&mut self, byte: u8, told: &mut impl FnMut(Part)) -> Result<(), Unreadable> {
        self.depth = self.depth.saturating_sub(1);
        if self.depth >= IN_ENTRIES {
            self.keep(&[byte])?;
        }
        if self.depth == IN_ENTRIES {
            told(Part::Entry(entry(&self.part)?));
            self.part.clear();
        }
        Ok(())
    }

    fn keep(&mut self, bytes: &[u8]) -> Result<(), Unreadable> {
        if self.part.len() + bytes.len() > LONGEST_PART {
            return Err(Unreadable::TooLong);
        }
        // What follows the entries within a line says nothing.
        if !(self.begun && self.depth <= IN_LINE) {
            self.part.extend_from_slice(bytes);
        }
        Ok(())
    }

    /// What stands before the entries, closed as if they were empty.
    fn head(&mut self) -> Result<Part, Unreadable> {
        let mut head = std::mem::take(&mut self.part);
        head.extend_from_slice(b"0}");
        let head: Head = serde_json::from_slice(&head).map_err(|e| Unreadable::Head(e.to_string()))?;
        self.begun = true;
        Ok(Part::Begins { generation: head.generation, whole: head.reset })
    }
}

/// Whether a byte ends a run of bytes that are only kept.
fn means_something(byte: u8, in_string: bool) -> bool {
    match byte {
        b'"' => true,
        b'\\' => in_string,
        b'{' | b'}' | b'[' | b']' | b',' | b'\n' => !in_string,
        _ => false,
    }
}

fn entry(text: &[u8]) -> Result<Entry, Unreadable> {
    let instance: Instance = serde_json::from_slice(text).map_err(|e| Unreadable::Entry(e.to_string()))?;
    let place = place_of(instance.instance_id);
    let place = place.ok_or_else(|| Unreadable::Entry(format!("name {:?}", instance.instance_id)))?;
    let address = match instance.lifecycle {
        "Gone" => None,
        _ => Some(instance.host_port.parse().map_err(|_| {
            Unreadable::Entry(format!("address {:?} of {}", instance.host_port, instance.instance_id))
        })?),
    };
    Ok(Entry { place, destination: instance.cell, address })
}
