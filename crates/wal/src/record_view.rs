//! Records as they are encoded on disk. Views borrow from the encoded bytes, because opening a log may read
//! millions of records.

use bytes::Bytes;
use reeddock_protocol::FinalAnswer;
use serde::{Deserialize, Serialize, Serializer};

use crate::record::{AcceptedMessage, Record, RecordedAttempt};

/// Disk space in bytes that is reserved for the attempt records of a pending message.
const ATTEMPTS_RESERVED_BYTES: u64 = 512;

/// A record as postcard encodes it.
///
/// The order of the variants gives their numbers on disk, so that variants must not be reordered or removed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum RecordView<'a> {
    /// Format version 1, without an idempotency key: read, but no longer written.
    #[serde(borrow)]
    AcceptedV1(AcceptedFieldsView<'a>),
    AttemptStarted {
        id: &'a str,
        number: u32,
        endpoint: &'a str,
        started_at_unix_us: u64,
    },
    AttemptFinished {
        id: &'a str,
        number: u32,
        proves_not_executed: bool,
    },
    Finished {
        id: &'a str,
        notice: Option<FinalAnswer>,
    },
    NoticeAcknowledged {
        id: &'a str,
    },
    /// Format version 1, without an idempotency key: read, but no longer written.
    CheckpointV1(CheckpointView<AcceptedFieldsView<'a>>),
    Accepted(AcceptedView<'a>),
    Checkpoint(CheckpointView<AcceptedView<'a>>),
}

/// The fields of a message that format versions 1 and 2 share. The order of the fields is their order on
/// disk.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AcceptedFieldsView<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub ordering_key: Option<u64>,
    pub destination: u64,
    pub deadline_unix_us: u64,
    #[serde(serialize_with = "serialize_bytes")]
    pub body: &'a [u8],
}

/// A message in format version 2.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AcceptedView<'a> {
    #[serde(borrow)]
    pub fields: AcceptedFieldsView<'a>,
    pub idempotency_key: Option<&'a str>,
}

/// A checkpoint whose message `T` is in format version 1 or 2.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CheckpointView<T> {
    pub accepted: T,
    pub acceptance_number: u64,
    pub attempts: Vec<RecordedAttempt>,
    pub records_lost: bool,
}

/// Writes the body at once. The default of serde for slices writes byte by byte.
fn serialize_bytes<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(body)
}

impl<'a> RecordView<'a> {
    /// Decodes a record of any format version and converts it to the current one. Returns `None` if the bytes
    /// can't be decoded as a record.
    pub fn decode(bytes: &'a [u8]) -> Option<RecordView<'a>> {
        Some(match postcard::from_bytes(bytes).ok()? {
            RecordView::AcceptedV1(fields) => RecordView::Accepted(fields.without_idempotency_key()),
            RecordView::CheckpointV1(checkpoint) => RecordView::Checkpoint(CheckpointView {
                accepted: checkpoint.accepted.without_idempotency_key(),
                acceptance_number: checkpoint.acceptance_number,
                attempts: checkpoint.attempts,
                records_lost: checkpoint.records_lost,
            }),
            current => current,
        })
    }

    /// Returns the message that the record carries; `None` if the record is neither `Accepted` nor
    /// `Checkpoint`.
    pub fn accepted(&self) -> Option<AcceptedMessage> {
        match self {
            RecordView::Accepted(accepted) => Some(accepted.to_owned()),
            RecordView::Checkpoint(checkpoint) => Some(checkpoint.accepted.to_owned()),
            _ => None,
        }
    }
}

impl<'a> AcceptedFieldsView<'a> {
    fn without_idempotency_key(self) -> AcceptedView<'a> {
        AcceptedView { fields: self, idempotency_key: None }
    }
}

impl AcceptedView<'_> {
    /// Returns the disk space that is reserved for the message and its attempt records until it is finished,
    /// in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        let fields = &self.fields;
        let optional = |text: Option<&str>| text.map_or(0, str::len);
        let text =
            fields.id.len() + fields.class.len() + optional(fields.tenant) + optional(self.idempotency_key);
        (text + fields.body.len()) as u64 + ATTEMPTS_RESERVED_BYTES
    }

    fn to_owned(&self) -> AcceptedMessage {
        let fields = &self.fields;
        AcceptedMessage {
            id: fields.id.to_owned(),
            class: fields.class.to_owned(),
            tenant: fields.tenant.map(str::to_owned),
            ordering_key: fields.ordering_key,
            destination: fields.destination,
            deadline_unix_us: fields.deadline_unix_us,
            body: Bytes::copy_from_slice(fields.body),
            idempotency_key: self.idempotency_key.map(str::to_owned),
        }
    }
}

impl AcceptedMessage {
    /// Returns the disk space that is reserved for the message and its attempt records until it is finished,
    /// in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        self.view().reserved_bytes()
    }

    /// Returns the view that is encoded for the message.
    pub(crate) fn view(&self) -> AcceptedView<'_> {
        AcceptedView {
            fields: AcceptedFieldsView {
                id: &self.id,
                class: &self.class,
                tenant: self.tenant.as_deref(),
                ordering_key: self.ordering_key,
                destination: self.destination,
                deadline_unix_us: self.deadline_unix_us,
                body: &self.body,
            },
            idempotency_key: self.idempotency_key.as_deref(),
        }
    }
}

impl Record {
    /// Returns the view that is encoded for the record.
    pub(crate) fn view(&self) -> RecordView<'_> {
        match self {
            Record::Accepted(accepted) => RecordView::Accepted(accepted.view()),
            Record::AttemptStarted { id, number, endpoint, started_at_unix_us } => {
                RecordView::AttemptStarted {
                    id,
                    number: *number,
                    endpoint,
                    started_at_unix_us: *started_at_unix_us,
                }
            }
            Record::AttemptFinished { id, number, proves_not_executed } => {
                RecordView::AttemptFinished { id, number: *number, proves_not_executed: *proves_not_executed }
            }
            Record::Finished { id, notice } => RecordView::Finished { id, notice: *notice },
            Record::NoticeAcknowledged { id } => RecordView::NoticeAcknowledged { id },
            Record::Checkpoint(checkpoint) => RecordView::Checkpoint(CheckpointView {
                accepted: checkpoint.accepted.view(),
                acceptance_number: checkpoint.acceptance_number,
                attempts: checkpoint.attempts.clone(),
                records_lost: checkpoint.records_lost,
            }),
        }
    }
}
