//! What can be wrong with a batch, and with the two streams that batches and replies travel on.

use std::io;

use thiserror::Error;

/// Why a batch can't be answered. After one of these the program ends.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input broke off.
    #[error("cannot read a batch: {0}")]
    Read(#[source] io::Error),
    /// Standard output broke off.
    #[error("cannot write a reply: {0}")]
    Write(#[source] io::Error),
    /// The line is no JSON.
    #[error("batch is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The batch lacks the time in microseconds.
    #[error("batch has no clock in wallUs")]
    MissingClock,
    /// The batch lacks the number that its reply repeats.
    #[error("batch has no serial")]
    MissingSerial,
    /// The batch lacks its parts, one for each forwarder.
    #[error("batch has no forwarders")]
    MissingParts,
    /// A part lacks the number of its instance.
    #[error("a part has no instance number in i")]
    MissingInstance,
    /// A part lacks its events.
    #[error("a part has no events in in")]
    MissingEvents,
    /// An event is something other than an array.
    #[error("an event is not an array")]
    EventNotArray,
    /// An event does not start with its name.
    #[error("an event has no name")]
    UnnamedEvent,
    /// There is no event of this name.
    #[error("unknown event {0:?}")]
    UnknownEvent(String),
    /// A value of an event is missing or of another type.
    #[error("{event}: value {number} is missing or malformed")]
    InvalidValue {
        /// The event's name.
        event: String,
        /// Which of its values, from 1.
        number: usize,
    },
    /// An event for an instance that was not attached or was retired.
    #[error("{event}: instance {instance} is not attached")]
    NotAttached {
        /// The event's name.
        event: String,
        /// The number of the instance.
        instance: u64,
    },
    /// `Sync` with a word for its kind that is not known.
    #[error("Sync: unknown kind {0:?}")]
    UnknownSyncKind(String),
    /// `Sync` with the number of a list that was not registered.
    #[error("Sync: list {0} was never registered")]
    UnknownList(u64),
    /// An entry of a registered list is something other than an array.
    #[error("Register: an entry is not an array")]
    EntryNotArray,
    /// An entry of a registered list with a state that is not known.
    #[error("Register entry: unknown health {0:?}")]
    UnknownHealth(String),
    /// `Settled` with an outcome that is not known.
    #[error("Settled: unknown outcome {0:?}")]
    UnknownOutcome(String),
}
