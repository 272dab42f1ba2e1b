//! One record of the ledger, and the frame that it stands in.

use std::sync::Arc;

use bytes::Bytes;
use reeddock_protocol::GivenUp;
use serde::{Deserialize, Serialize};

/// What is written down of an envelope before its client hears that it was taken on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    pub id: String,
    pub category: String,
    pub tenant: Option<String>,
    pub key: Option<u64>,
    pub destination: u64,
    /// Microseconds of Unix time.
    pub outer_limit: u64,
    #[serde(with = "body")]
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    Taken(Taken),
    /// Written before the first byte of a dispatch.
    Begun {
        id: String,
        no: u32,
        target: String,
        at: u64,
    },
    /// A dispatch has ended, and its envelope has not.
    Returned {
        id: String,
        no: u32,
        never_ran: bool,
    },
    /// An envelope is over; where it was not delivered, the platform is to be told.
    Ended {
        id: String,
        notice: Option<GivenUp>,
    },
    /// The platform has been told.
    Told {
        id: String,
    },
    /// An envelope that is owed, with all that is known of it, copied from a segment that is being emptied. It
    /// stands for everything about this envelope before it.
    Carried(Carried),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    pub taken: Taken,
    /// Its place among all that were taken on.
    pub place: u64,
    pub dispatches: Vec<Begun>,
    /// Records of its dispatches may have been lost.
    pub lost: bool,
}

/// A dispatch that was begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begun {
    /// The target's name in the list, which outlasts a process; empty where that was lost.
    #[serde(with = "text")]
    pub target: Arc<str>,
    /// Microseconds of Unix time; 0 where that was lost.
    pub at: u64,
    /// Known to have ended, and whether that proves that it never ran.
    pub ended: Option<bool>,
}

mod text {
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(text: &Arc<str>, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(text)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<str>, D::Error> {
        String::deserialize(from).map(Arc::from)
    }
}

mod body {
    use bytes::Bytes;
    use serde::{de, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(body: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(body)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        struct Slice;
        impl de::Visitor<'_> for Slice {
            type Value = Bytes;

            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
                Ok(Bytes::copy_from_slice(bytes))
            }
        }
        from.deserialize_bytes(Slice)
    }
}

/// Bytes of a frame before its record: a marker by which the next one is found behind damage, the record's
/// length and checksum, and a checksum of these, so that a damaged length is told from a torn record.
pub const FRAME: usize = 14;
const MARKER: [u8; 2] = [0xd7, 0x5e];
/// A body, and more dispatches than any envelope gets.
pub const LONGEST: usize = 16 * 1024 * 1024;

/// Puts any value in a frame behind what is there.
pub fn frame<T: Serialize>(to: &mut Vec<u8>, value: &T) {
    let start = to.len();
    to.extend([0; FRAME]);
    if let Err(e) = postcard::to_io(value, &mut *to) {
        // Memory takes whatever is written to it.
        tracing::error!(%e, "a record could not be put in bytes");
        return to.truncate(start);
    }
    let length = (to.len() - start - FRAME) as u32;
    let sum = crc32fast::hash(&to[start + FRAME..]);
    to[start..start + 2].copy_from_slice(&MARKER);
    to[start + 2..start + 6].copy_from_slice(&length.to_le_bytes());
    to[start + 6..start + 10].copy_from_slice(&sum.to_le_bytes());
    let own = crc32fast::hash(&to[start..start + 10]);
    to[start + 10..start + FRAME].copy_from_slice(&own.to_le_bytes());
}

/// Length and checksum of the record that a frame announces; none where this is no whole frame's head.
pub fn head(bytes: &[u8]) -> Option<(usize, u32)> {
    let head = bytes.get(..FRAME)?;
    let word = |at: usize| Some(u32::from_le_bytes(head.get(at..at + 4)?.try_into().ok()?));
    let (length, sum, own) = (word(2)? as usize, word(6)?, word(10)?);
    let sound = head[..2] == MARKER && crc32fast::hash(&head[..10]) == own;
    (sound && 0 < length && length <= LONGEST).then_some((length, sum))
}

/// What an envelope takes up until it is over: itself, and some dispatches with their ends.
pub fn size(taken: &Taken) -> u64 {
    const DISPATCHES: u64 = 512;
    let text = taken.id.len() + taken.category.len() + taken.tenant.as_ref().map_or(0, String::len);
    (text + taken.body.len()) as u64 + DISPATCHES
}
