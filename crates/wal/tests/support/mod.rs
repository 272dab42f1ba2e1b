//! Records for all test programs.

use bytes::Bytes;
use reeddock_wal::{AcceptedMessage, Record};

/// Returns the record of a message with all optional fields; the body repeats the id up to `body_bytes`
/// bytes.
pub fn accepted(id: &str, body_bytes: usize) -> Record {
    Record::Accepted(AcceptedMessage {
        id: id.into(),
        class: "order".into(),
        tenant: Some("t".into()),
        ordering_key: Some(9),
        destination: 3,
        deadline_unix_us: 77,
        body: Bytes::from(id.as_bytes().iter().copied().cycle().take(body_bytes).collect::<Vec<u8>>()),
        idempotency_key: Some(format!("key of {id}")),
    })
}

/// Returns the record of the start of an attempt, at an endpoint that is named after the attempt's number.
pub fn started(id: &str, number: u32) -> Record {
    Record::AttemptStarted { id: id.into(), number, endpoint: format!("t{number}"), started_at_unix_us: 5 }
}

/// Returns the record of a message that was delivered.
pub fn finished(id: &str) -> Record {
    Record::Finished { id: id.into(), notice: None }
}
