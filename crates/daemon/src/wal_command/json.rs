//! Prints a write-ahead log as JSON lines. Scripts rely on the keys, which are printed in alphabetical order.

use std::io::{self, Write};
use std::time::Duration;

use reeddock_protocol::{DeliveryNotice, FinalAnswer};
use reeddock_wal::{Corruption, PendingMessage, RecordedAttempt};
use serde::Serialize;

use super::{possibly_executed_count, seconds_left, Snapshot};

#[derive(Serialize)]
struct MessageLine<'a> {
    bytes: u64,
    #[serde(rename = "category")]
    class: &'a str,
    destination: u64,
    #[serde(rename = "dispatches")]
    attempts: Vec<AttemptLine<'a>>,
    #[serde(rename = "key")]
    ordering_key: Option<u64>,
    #[serde(rename = "left_s")]
    seconds_left: i64,
    #[serde(rename = "may_have_run")]
    possibly_executed: bool,
    #[serde(rename = "outer_limit_us")]
    deadline_unix_us: u64,
    #[serde(rename = "owed")]
    id: &'a str,
    records_lost: bool,
    tenant: Option<&'a str>,
}

#[derive(Serialize)]
struct AttemptLine<'a> {
    #[serde(rename = "at_us")]
    started_at_unix_us: u64,
    #[serde(rename = "ended")]
    finished: bool,
    #[serde(rename = "never_ran")]
    proven_not_executed: bool,
    #[serde(rename = "target")]
    endpoint: &'a str,
}

#[derive(Serialize)]
struct NoticeLine<'a> {
    #[serde(rename = "come_back_ms")]
    retry_after_ms: Option<u64>,
    #[serde(rename = "end")]
    answer: &'static str,
    #[serde(rename = "untold")]
    id: &'a str,
}

#[derive(Serialize)]
struct OrphanLine<'a> {
    #[serde(rename = "unknown")]
    id: &'a str,
}

#[derive(Serialize)]
struct CorruptionLine<'a> {
    bytes: u64,
    #[serde(rename = "damaged")]
    file: &'a str,
    hint: &'a str,
    offset: u64,
}

/// Prints a line for each pending message, unacknowledged notice, message of which only the id is known, and
/// damaged place.
pub fn write_lines(snapshot: &Snapshot, out: &mut impl Write) -> io::Result<()> {
    for message in snapshot.index.pending() {
        write_line(&MessageLine::new(message, snapshot.now_unix_us), out)?;
    }
    for notice in snapshot.index.unacknowledged_notices() {
        write_line(&NoticeLine::from(&notice), out)?;
    }
    for id in snapshot.index.orphans() {
        write_line(&OrphanLine { id: &id.0 }, out)?;
    }
    for place in &snapshot.report.corruptions {
        write_line(&CorruptionLine::from(place), out)?;
    }
    Ok(())
}

fn write_line(line: &impl Serialize, out: &mut impl Write) -> io::Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    writeln!(out)
}

impl MessageLine<'_> {
    fn new(message: &PendingMessage, now_unix_us: u64) -> MessageLine<'_> {
        MessageLine {
            bytes: message.reserved_bytes,
            class: &message.class,
            destination: message.destination,
            attempts: message.attempts.iter().map(AttemptLine::from).collect(),
            ordering_key: message.ordering_key,
            seconds_left: seconds_left(message, now_unix_us),
            possibly_executed: possibly_executed_count(message) > 0,
            deadline_unix_us: message.deadline_unix_us,
            id: &message.id.0,
            records_lost: message.records_lost,
            tenant: message.tenant.as_deref(),
        }
    }
}

impl<'a> From<&'a RecordedAttempt> for AttemptLine<'a> {
    fn from(attempt: &'a RecordedAttempt) -> AttemptLine<'a> {
        AttemptLine {
            started_at_unix_us: attempt.started_at_unix_us,
            finished: attempt.state.is_finished(),
            proven_not_executed: attempt.state.proves_not_executed(),
            endpoint: &attempt.endpoint,
        }
    }
}

impl<'a> From<&'a DeliveryNotice> for NoticeLine<'a> {
    fn from(notice: &'a DeliveryNotice) -> NoticeLine<'a> {
        let (answer, retry_after) = match notice.answer {
            FinalAnswer::Failed => ("broken_off", None),
            FinalAnswer::Rejected { retry_after } => ("shed", retry_after),
        };
        NoticeLine { retry_after_ms: retry_after.map(whole_milliseconds), answer, id: &notice.id.0 }
    }
}

impl<'a> From<&'a Corruption> for CorruptionLine<'a> {
    fn from(place: &'a Corruption) -> CorruptionLine<'a> {
        CorruptionLine { bytes: place.bytes, file: &place.file, hint: &place.hint, offset: place.offset }
    }
}

fn whole_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
