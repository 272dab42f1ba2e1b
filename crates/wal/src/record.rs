//! The records of the write-ahead log, as the forwarder appends them.

use std::sync::Arc;

use bytes::Bytes;
use reeddock_protocol::FinalAnswer;
use serde::{Deserialize, Serialize};

/// A message as it is stored before the client is answered 202.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// Message id, set by the client.
    pub id: String,
    /// Name of the message class in the settings.
    pub class: String,
    /// Tenant whose quota the message counts against; `None` if it counts against no tenant's quota.
    pub tenant: Option<String>,
    /// Ordering key; `None` if the message may be delivered in any order.
    pub ordering_key: Option<u64>,
    /// Id of the destination.
    pub destination: u64,
    /// Time by which the message must have its final answer, in microseconds of Unix time.
    pub deadline_unix_us: u64,
    /// Body as received from the client.
    pub body: Bytes,
    /// Key by which the destination recognizes a repeated request; `None` if the client set none.
    pub idempotency_key: Option<String>,
}

/// One record of the write-ahead log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted.
    Accepted(AcceptedMessage),
    /// An attempt starts. The record is written before the first byte of the attempt is sent.
    AttemptStarted {
        /// Message id.
        id: String,
        /// Number of the attempt, counted from 0 for each message.
        number: u32,
        /// Name of the endpoint in the endpoint list.
        endpoint: String,
        /// Start of the attempt, in microseconds of Unix time.
        started_at_unix_us: u64,
    },
    /// An attempt finished without finishing its message.
    AttemptFinished {
        /// Message id.
        id: String,
        /// Number of the attempt, as in its `AttemptStarted` record.
        number: u32,
        /// Whether the result proves that the destination never executed the attempt.
        proves_not_executed: bool,
    },
    /// A message is finished.
    Finished {
        /// Message id.
        id: String,
        /// Final answer of which the platform is notified; `None` if the message was delivered.
        notice: Option<FinalAnswer>,
    },
    /// The platform acknowledged the notice about a message.
    NoticeAcknowledged {
        /// Message id.
        id: String,
    },
    /// A pending message was copied by compaction.
    Checkpoint(Checkpoint),
}

/// A pending message with its attempts, copied from a segment that is being compacted. A checkpoint replaces
/// all earlier records of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// Message as in its `Accepted` record.
    pub accepted: AcceptedMessage,
    /// Number of the message in the order of acceptance, in which pending messages are listed.
    pub acceptance_number: u64,
    /// Attempts so far, in the order of their numbers.
    pub attempts: Vec<RecordedAttempt>,
    /// Whether records of attempts may have been lost to corruption.
    pub records_lost: bool,
}

/// An attempt of a pending message, as stored in the index and in checkpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAttempt {
    /// Name of the endpoint in the endpoint list; empty if the record of the attempt was lost.
    #[serde(with = "shared_str")]
    pub endpoint: Arc<str>,
    /// Start of the attempt, in microseconds of Unix time; 0 if the record of the attempt was lost.
    pub started_at_unix_us: u64,
    /// Result of the attempt, as far as one is recorded.
    pub state: AttemptState,
}

impl RecordedAttempt {
    /// Returns an attempt that has no result yet.
    pub(crate) fn in_flight(endpoint: Arc<str>, started_at_unix_us: u64) -> RecordedAttempt {
        RecordedAttempt { endpoint, started_at_unix_us, state: AttemptState::InFlight }
    }

    /// Returns an attempt whose record was lost, and that is known only from the number of a later attempt.
    pub(crate) fn unknown() -> RecordedAttempt {
        RecordedAttempt::in_flight(Arc::from(""), 0)
    }
}

/// The recorded result of an attempt.
///
/// The encoding is an `Option<bool>`: `None` while in flight, otherwise whether non-execution is proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Option<bool>", into = "Option<bool>")]
pub enum AttemptState {
    /// No result is recorded. After a restart the attempt counts as possibly executed.
    InFlight,
    /// The attempt finished, and the destination may have executed it.
    PossiblyExecuted,
    /// The attempt finished with a result that proves that the destination never executed it.
    NotExecuted,
}

impl AttemptState {
    /// Returns whether a result is recorded.
    pub fn is_finished(self) -> bool {
        self != AttemptState::InFlight
    }

    /// Returns whether the recorded result proves that the destination never executed the attempt.
    pub fn proves_not_executed(self) -> bool {
        self == AttemptState::NotExecuted
    }

    /// Returns the state of a finished attempt.
    pub(crate) fn finished(proves_not_executed: bool) -> AttemptState {
        if proves_not_executed {
            AttemptState::NotExecuted
        } else {
            AttemptState::PossiblyExecuted
        }
    }
}

impl From<Option<bool>> for AttemptState {
    fn from(stored: Option<bool>) -> AttemptState {
        stored.map_or(AttemptState::InFlight, AttemptState::finished)
    }
}

impl From<AttemptState> for Option<bool> {
    fn from(state: AttemptState) -> Option<bool> {
        state.is_finished().then(|| state.proves_not_executed())
    }
}

/// Encodes an `Arc<str>` as a plain string.
mod shared_str {
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(text)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
        String::deserialize(deserializer).map(Arc::from)
    }
}
