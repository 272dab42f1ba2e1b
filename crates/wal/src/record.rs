//! One record of the ledger, and the frame that it stands in.

use std::sync::Arc;

use bytes::Bytes;
use reeddock_protocol::GivenUp;
use serde::{Deserialize, Serialize, Serializer};

/// What is written down of an envelope before its client hears that it was taken on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Taken {
    pub id: String,
    pub category: String,
    pub tenant: Option<String>,
    pub key: Option<u64>,
    pub destination: u64,
    /// Microseconds of Unix time.
    pub outer_limit: u64,
    pub body: Bytes,
    /// The mark by which its destination knows a repeat, where its client gave one.
    pub idempotency_key: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
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

#[derive(Clone, Debug, PartialEq, Eq)]
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

/// The bytes in the frame that begins here, if it is whole and undamaged.
pub fn value(bytes: &[u8]) -> Option<&[u8]> {
    let (length, sum) = head(bytes)?;
    let value = bytes.get(FRAME..FRAME + length)?;
    (crc32fast::hash(value) == sum).then_some(value)
}

/// A record as it stands in a file, borrowed from what was read: a start reads millions of them. Its place in
/// this list is its number there.
#[derive(Debug, Serialize, Deserialize)]
pub enum View<'a> {
    /// The two of version 1, which are read and not written: none of their envelopes had an idempotency key.
    #[serde(borrow)]
    OldTaken(PlainView<'a>),
    Begun {
        id: &'a str,
        no: u32,
        target: &'a str,
        at: u64,
    },
    Returned {
        id: &'a str,
        no: u32,
        never_ran: bool,
    },
    Ended {
        id: &'a str,
        notice: Option<GivenUp>,
    },
    Told {
        id: &'a str,
    },
    OldCarried(CarriedView<PlainView<'a>>),
    Taken(TakenView<'a>),
    Carried(CarriedView<TakenView<'a>>),
}

#[derive(Debug, Serialize, Deserialize)]
pub struct PlainView<'a> {
    pub id: &'a str,
    pub category: &'a str,
    pub tenant: Option<&'a str>,
    pub key: Option<u64>,
    pub destination: u64,
    pub outer_limit: u64,
    #[serde(serialize_with = "bytes")]
    pub body: &'a [u8],
}

#[derive(Debug, Serialize, Deserialize)]
pub struct TakenView<'a> {
    #[serde(borrow)]
    pub plain: PlainView<'a>,
    pub idempotency_key: Option<&'a str>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct CarriedView<T> {
    pub taken: T,
    pub place: u64,
    pub dispatches: Vec<Begun>,
    pub lost: bool,
}

/// At once, and not byte by byte.
fn bytes<S: Serializer>(body: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(body)
}

impl<'a> View<'a> {
    /// What stands here, whichever version wrote it; none where it makes no sense.
    pub fn read(bytes: &'a [u8]) -> Option<View<'a>> {
        let without = |plain| TakenView { plain, idempotency_key: None };
        Some(match postcard::from_bytes(bytes).ok()? {
            View::OldTaken(plain) => View::Taken(without(plain)),
            View::OldCarried(CarriedView { taken, place, dispatches, lost }) => {
                View::Carried(CarriedView { taken: without(taken), place, dispatches, lost })
            }
            written_now => written_now,
        })
    }

    /// The envelope that was taken on here.
    pub fn taken(&self) -> Option<Taken> {
        let (View::Taken(taken) | View::Carried(CarriedView { taken, .. })) = self else { return None };
        let PlainView { id, category, tenant, key, destination, outer_limit, body } = taken.plain;
        Some(Taken {
            id: id.into(),
            category: category.into(),
            tenant: tenant.map(str::to_owned),
            key,
            destination,
            outer_limit,
            body: Bytes::copy_from_slice(body),
            idempotency_key: taken.idempotency_key.map(str::to_owned),
        })
    }
}

impl Taken {
    pub(crate) fn view(&self) -> TakenView<'_> {
        TakenView {
            plain: PlainView {
                id: &self.id,
                category: &self.category,
                tenant: self.tenant.as_deref(),
                key: self.key,
                destination: self.destination,
                outer_limit: self.outer_limit,
                body: &self.body,
            },
            idempotency_key: self.idempotency_key.as_deref(),
        }
    }
}

impl Record {
    pub(crate) fn view(&self) -> View<'_> {
        match self {
            Record::Taken(taken) => View::Taken(taken.view()),
            Record::Begun { id, no, target, at } => View::Begun { id, no: *no, target, at: *at },
            Record::Returned { id, no, never_ran } => View::Returned { id, no: *no, never_ran: *never_ran },
            Record::Ended { id, notice } => View::Ended { id, notice: *notice },
            Record::Told { id } => View::Told { id },
            Record::Carried(c) => View::Carried(CarriedView {
                taken: c.taken.view(),
                place: c.place,
                dispatches: c.dispatches.clone(),
                lost: c.lost,
            }),
        }
    }
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
pub fn size(taken: &TakenView) -> u64 {
    const DISPATCHES: u64 = 512;
    let TakenView { plain, idempotency_key } = taken;
    let text = plain.id.len()
        + plain.category.len()
        + [plain.tenant, *idempotency_key].map(|t| t.map_or(0, str::len)).iter().sum::<usize>();
    (text + plain.body.len()) as u64 + DISPATCHES
}
