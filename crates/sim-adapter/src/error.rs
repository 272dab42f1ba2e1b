//! Errors of reading, decoding and answering batches.

use std::io;

use thiserror::Error;

/// The reason why a batch cannot be answered. The program ends after any of these errors.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Reading standard input failed.
    #[error("cannot read a batch from standard input: {0}")]
    Read(#[source] io::Error),
    /// Writing standard output failed.
    #[error("cannot write a reply to standard output: {0}")]
    Write(#[source] io::Error),
    /// A line is not valid JSON.
    #[error("batch is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The batch has no valid time.
    #[error("batch: expected a whole number of microseconds in wallUs")]
    MissingClock,
    /// The batch has no valid serial number, which its reply repeats.
    #[error("batch: expected a whole number in serial")]
    MissingSerial,
    /// The batch has no array `forwarders`, in which each element is for one instance.
    #[error("batch: expected an array in forwarders")]
    MissingForwarders,
    /// An element of `forwarders` has no valid instance number.
    #[error("batch: expected an instance number in key i of each element of forwarders")]
    MissingInstance,
    /// An element of `forwarders` has no array of events.
    #[error("batch: expected an array of events in key in of each element of forwarders")]
    MissingEvents,
    /// An event is not an array.
    #[error("event: expected an array")]
    EventNotArray,
    /// The first value of an event is not a name.
    #[error("event: expected a name as the first value")]
    MissingEventName,
    /// An event has a name that the wire does not define.
    #[error("unknown event {0:?}")]
    UnknownEvent(String),
    /// A value of an event is missing or has the wrong type.
    #[error("{event}: value {number} is missing or malformed")]
    InvalidValue {
        /// Name of the event.
        event: String,
        /// Position of the value in the event, from 1.
        number: usize,
    },
    /// An event is for an instance that was not attached or was retired.
    #[error("{event}: instance {instance} is not attached")]
    NotAttached {
        /// Name of the event.
        event: String,
        /// Number of the instance.
        instance: u64,
    },
    /// A `Sync` event has an unknown kind.
    #[error("Sync: unknown kind {0:?}, expected C, D, F or X")]
    UnknownSyncKind(String),
    /// A `Sync` event has the number of a list that was not registered.
    #[error("Sync: list {0} is not registered")]
    UnknownList(u64),
    /// An entry of a registered list is not an array.
    #[error("Register: expected each entry to be an array")]
    EntryNotArray,
    /// An entry of a registered list has an unknown endpoint state.
    #[error("Register entry: unknown state {0:?}, expected active, leaving or left")]
    UnknownEndpointState(String),
    /// A `Settled` event has an unknown outcome.
    #[error(
        "Settled: unknown outcome {0:?}, expected delivered, app_error, shed, expired, dial_failed, dropped, revoked or unused"
    )]
    UnknownOutcome(String),
}
