//! One record of the write-ahead log, and the frame that it stands in.

use std::sync::Arc;

use bytes::Bytes;
use reeddock_protocol::FinalAnswer;
use serde::{Deserialize, Serialize, Serializer};

/// What is written down of a message before its client hears that it was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub key: Option<u64>,
    pub destination: u64,
    /// Microseconds of Unix time.
    pub deadline: u64,
    pub body: Bytes,
    /// The mark by which its destination knows a repeat, where its client gave one.
    pub idempotency_key: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    Accepted(Accepted),
    /// Written before the first byte of an attempt.
    AttemptStarted {
        id: String,
        no: u32,
        endpoint: String,
        at: u64,
    },
    /// An attempt has ended, and its message has not.
    AttemptFinished {
        id: String,
        no: u32,
        proves_not_executed: bool,
    },
    /// A message is over; where it was not delivered, the platform is to be told.
    Finished {
        id: String,
        notice: Option<FinalAnswer>,
    },
    /// The platform has been told.
    NoticeAcknowledged {
        id: String,
    },
    /// A message that is owed, with all that is known of it, copied from a segment that is being emptied. It
    /// stands for everything about this message before it.
    Checkpoint(Checkpoint),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    pub accepted: Accepted,
    /// Its place among all that were accepted.
    pub place: u64,
    pub attempts: Vec<AttemptStarted>,
    /// Records of its attempts may have been lost.
    pub lost: bool,
}

/// An attempt that was begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStarted {
    /// The endpoint's name in the list, which outlasts a process; empty where that was lost.
    #[serde(with = "text")]
    pub endpoint: Arc<str>,
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
    /// The two of version 1, which are read and not written: none of their messages had an idempotency key.
    #[serde(borrow)]
    AcceptedV1(AcceptedFieldsView<'a>),
    AttemptStarted {
        id: &'a str,
        no: u32,
        endpoint: &'a str,
        at: u64,
    },
    AttemptFinished {
        id: &'a str,
        no: u32,
        proves_not_executed: bool,
    },
    Finished {
        id: &'a str,
        notice: Option<FinalAnswer>,
    },
    NoticeAcknowledged {
        id: &'a str,
    },
    CheckpointV1(CheckpointView<AcceptedFieldsView<'a>>),
    Accepted(AcceptedView<'a>),
    Checkpoint(CheckpointView<AcceptedView<'a>>),
}

#[derive(Debug, Serialize, Deserialize)]
pub struct AcceptedFieldsView<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub key: Option<u64>,
    pub destination: u64,
    pub deadline: u64,
    #[serde(serialize_with = "bytes")]
    pub body: &'a [u8],
}

#[derive(Debug, Serialize, Deserialize)]
pub struct AcceptedView<'a> {
    #[serde(borrow)]
    pub plain: AcceptedFieldsView<'a>,
    pub idempotency_key: Option<&'a str>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct CheckpointView<T> {
    pub accepted: T,
    pub place: u64,
    pub attempts: Vec<AttemptStarted>,
    pub lost: bool,
}

/// At once, and not byte by byte.
fn bytes<S: Serializer>(body: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(body)
}

impl<'a> View<'a> {
    /// What stands here, whichever version wrote it; none where it makes no sense.
    pub fn read(bytes: &'a [u8]) -> Option<View<'a>> {
        let without = |plain| AcceptedView { plain, idempotency_key: None };
        Some(match postcard::from_bytes(bytes).ok()? {
            View::AcceptedV1(plain) => View::Accepted(without(plain)),
            View::CheckpointV1(CheckpointView { accepted, place, attempts, lost }) => {
                View::Checkpoint(CheckpointView { accepted: without(accepted), place, attempts, lost })
            }
            written_now => written_now,
        })
    }

    /// The message that was accepted here.
    pub fn accepted(&self) -> Option<Accepted> {
        let (View::Accepted(accepted) | View::Checkpoint(CheckpointView { accepted, .. })) = self else {
            return None;
        };
        let AcceptedFieldsView { id, class, tenant, key, destination, deadline, body } = accepted.plain;
        Some(Accepted {
            id: id.into(),
            class: class.into(),
            tenant: tenant.map(str::to_owned),
            key,
            destination,
            deadline,
            body: Bytes::copy_from_slice(body),
            idempotency_key: accepted.idempotency_key.map(str::to_owned),
        })
    }
}

impl Accepted {
    pub(crate) fn view(&self) -> AcceptedView<'_> {
        AcceptedView {
            plain: AcceptedFieldsView {
                id: &self.id,
                class: &self.class,
                tenant: self.tenant.as_deref(),
                key: self.key,
                destination: self.destination,
                deadline: self.deadline,
                body: &self.body,
            },
            idempotency_key: self.idempotency_key.as_deref(),
        }
    }
}

impl Record {
    pub(crate) fn view(&self) -> View<'_> {
        match self {
            Record::Accepted(accepted) => View::Accepted(accepted.view()),
            Record::AttemptStarted { id, no, endpoint, at } => {
                View::AttemptStarted { id, no: *no, endpoint, at: *at }
            }
            Record::AttemptFinished { id, no, proves_not_executed } => {
                View::AttemptFinished { id, no: *no, proves_not_executed: *proves_not_executed }
            }
            Record::Finished { id, notice } => View::Finished { id, notice: *notice },
            Record::NoticeAcknowledged { id } => View::NoticeAcknowledged { id },
            Record::Checkpoint(c) => View::Checkpoint(CheckpointView {
                accepted: c.accepted.view(),
                place: c.place,
                attempts: c.attempts.clone(),
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
/// A body, and more attempts than any message gets.
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

/// What a message takes up until it is over: itself, and some attempts with their ends.
pub fn size(accepted: &AcceptedView) -> u64 {
    const DISPATCHES: u64 = 512;
    let AcceptedView { plain, idempotency_key } = accepted;
    let text = plain.id.len()
        + plain.class.len()
        + [plain.tenant, *idempotency_key].map(|t| t.map_or(0, str::len)).iter().sum::<usize>();
    (text + plain.body.len()) as u64 + DISPATCHES
}
