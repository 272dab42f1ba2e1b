//! One record of the ledger, and its frame of length and checksum.

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

/// Bytes of a frame before its record: length, then checksum of the record.
const FRAME: usize = 8;

pub fn write(to: &mut Vec<u8>, record: &Record) {
    let start = to.len();
    to.extend([0; FRAME]);
    if let Err(e) = postcard::to_io(record, &mut *to) {
        // Memory takes whatever is written to it.
        tracing::error!(%e, "a record could not be put in bytes");
        return to.truncate(start);
    }
    let length = (to.len() - start - FRAME) as u32;
    let sum = crc32fast::hash(&to[start + FRAME..]);
    to[start..start + 4].copy_from_slice(&length.to_le_bytes());
    to[start + 4..start + FRAME].copy_from_slice(&sum.to_le_bytes());
}

/// The first record of these bytes and what follows it; none where it is torn or damaged.
pub fn read(bytes: &[u8]) -> Option<(Record, &[u8])> {
    let (frame, rest) = bytes.split_at_checked(FRAME)?;
    let length = u32::from_le_bytes(frame[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(frame[4..].try_into().ok()?);
    let (record, rest) = rest.split_at_checked(length)?;
    if length == 0 || crc32fast::hash(record) != sum {
        return None;
    }
    Some((postcard::from_bytes(record).ok()?, rest))
}

/// What an envelope takes up in the file until it is over: itself, and some dispatches with their ends.
pub fn size(taken: &Taken) -> u64 {
    const DISPATCHES: u64 = 512;
    let text = taken.id.len() + taken.category.len() + taken.tenant.as_ref().map_or(0, String::len);
    (text + taken.body.len()) as u64 + DISPATCHES
}
