//! The records of the write-ahead log, as the forwarder passes them in.

use std::sync::Arc;

use bytes::Bytes;
use reeddock_protocol::FinalAnswer;
use serde::{Deserialize, Serialize};

/// A message as it is stored before its client is answered 202.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedMessage {
    /// The id that the client gave the message.
    pub id: String,
    /// The message class in the settings.
    pub class: String,
    /// The tenant whose quota the message counts against, if it has one.
    pub tenant: Option<String>,
    /// The ordering key, if the message is delivered in order.
    pub ordering_key: Option<u64>,
    /// The destination's id.
    pub destination: u64,
    /// When the message must have its final answer, in microseconds of Unix time.
    pub deadline_unix_us: u64,
    /// The message's body.
    pub body: Bytes,
    /// The key by which the destination recognizes a repeat, where the client gave one.
    pub idempotency_key: Option<String>,
}

/// One record of the write-ahead log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted.
    Accepted(AcceptedMessage),
    /// An attempt starts. Written before its first byte is sent.
    AttemptStarted {
        /// The message's id.
        id: String,
        /// The attempt's number among those of the message, from 0.
        number: u32,
        /// The endpoint's name in the endpoint list.
        endpoint: String,
        /// When it started, in microseconds of Unix time.
        started_at_unix_us: u64,
    },
    /// An attempt has finished, and its message has not.
    AttemptFinished {
        /// The message's id.
        id: String,
        /// The attempt's number.
        number: u32,
        /// Whether its result proves that the destination never executed it.
        proves_not_executed: bool,
    },
    /// A message is finished.
    Finished {
        /// The message's id.
        id: String,
        /// The final answer that the platform is to be notified of; `None` if the message was delivered.
        notice: Option<FinalAnswer>,
    },
    /// The platform has acknowledged the notice about a message.
    NoticeAcknowledged {
        /// The message's id.
        id: String,
    },
    /// A pending message, copied by compaction.
    Checkpoint(Checkpoint),
}

/// A pending message with all that is known of it, copied from a segment that is being compacted. It replaces
/// every record about this message before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// The message as it was accepted.
    pub accepted: AcceptedMessage,
    /// Its position among all accepted messages; pending messages are listed in this order.
    pub position: u64,
    /// Its attempts so far, in the order of their numbers.
    pub attempts: Vec<RecordedAttempt>,
    /// Whether records of its attempts may have been lost to corruption.
    pub records_lost: bool,
}

/// An attempt of a pending message, as the index and checkpoints keep it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAttempt {
    /// The endpoint's name in the endpoint list, which stays valid across restarts; empty if its record was lost.
    #[serde(with = "shared_str")]
    pub endpoint: Arc<str>,
    /// When it started, in microseconds of Unix time; 0 if its record was lost.
    pub started_at_unix_us: u64,
    /// Whether it has finished, and what its result proves.
    pub state: AttemptState,
}

impl RecordedAttempt {
    /// An attempt that has no result yet.
    pub(crate) fn in_flight(endpoint: Arc<str>, started_at_unix_us: u64) -> RecordedAttempt {
        RecordedAttempt { endpoint, started_at_unix_us, state: AttemptState::InFlight }
    }

    /// An attempt whose own record was lost; a later attempt's number shows that it existed.
    pub(crate) fn unknown() -> RecordedAttempt {
        RecordedAttempt::in_flight(Arc::from(""), 0)
    }
}

/// Whether an attempt has finished, and what its result proves.
///
/// On disk this is an `Option<bool>`: `None` while in flight, otherwise whether non-execution is proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Option<bool>", into = "Option<bool>")]
pub enum AttemptState {
    /// No result was recorded. After a restart such an attempt counts as possibly executed.
    InFlight,
    /// It finished, and the destination may have executed it.
    PossiblyExecuted,
    /// It finished in a way that proves that the destination never executed it.
    NotExecuted,
}

impl AttemptState {
    /// Whether a result was recorded.
    pub fn is_finished(self) -> bool {
        self != AttemptState::InFlight
    }

    /// Whether its result proves that the destination never executed it.
    pub fn proves_not_executed(self) -> bool {
        self == AttemptState::NotExecuted
    }

    /// The state of an attempt that finished.
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

/// Serde for an `Arc<str>` as a plain string.
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
