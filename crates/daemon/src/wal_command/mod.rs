//! The command `wal`: prints the contents of a write-ahead log. The log is only read, so that the command can
//! run while a forwarder writes to the log.

mod json;
mod text;

use std::io::{self, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use reeddock_wal::{Inspection, PendingIndex, PendingMessage, VerificationReport, WalError};
use thiserror::Error;

/// Selects what the command prints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum View {
    /// A line for each pending message and unacknowledged notice, counts by destination, and damaged places.
    All,
    /// Damaged places and a summary.
    Verify,
    /// Counts of pending messages by a property.
    Counts(GroupBy),
    /// One JSON object per line for each message, notice and damaged place.
    Json,
}

/// The property by which pending messages are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GroupBy {
    Class,
    Destination,
    /// The time left until the deadline, in ranges.
    Age,
}

/// An unknown value of `--by`.
#[derive(Debug, Error)]
#[error("{0:?}: expected category, destination or age")]
pub struct UnknownGroup(String);

impl FromStr for GroupBy {
    type Err = UnknownGroup;

    fn from_str(name: &str) -> Result<GroupBy, UnknownGroup> {
        match name {
            // `category` is the name used by scripts of operators.
            "category" | "class" => Ok(GroupBy::Class),
            "destination" => Ok(GroupBy::Destination),
            "age" => Ok(GroupBy::Age),
            other => Err(UnknownGroup(other.to_owned())),
        }
    }
}

/// Errors of printing a write-ahead log.
#[derive(Debug, Error)]
pub enum WalCommandError {
    /// The log cannot be read. Corruption inside the log is printed and is not an error.
    #[error("cannot read the write-ahead log in {}: {source}", folder.display())]
    Read { folder: PathBuf, source: WalError },
    /// Standard output cannot be written to.
    #[error("cannot write to standard output: {0}")]
    Write(io::Error),
}

/// The contents of a log, with the time at which the log was read.
struct Snapshot {
    index: PendingIndex,
    report: VerificationReport,
    now_unix_us: u64,
}

/// Prints the write-ahead log of a state folder to standard output. Returns whether the log is sound.
pub fn run(folder: &Path, view: View) -> Result<bool, WalCommandError> {
    let Inspection { index, verification: report } = reeddock_wal::inspect(folder)
        .map_err(|source| WalCommandError::Read { folder: folder.to_owned(), source })?;
    let snapshot = Snapshot { index, report, now_unix_us: unix_time_us() };
    let mut out = BufWriter::new(io::stdout().lock());
    let written = write_view(&snapshot, view, &mut out).and_then(|()| out.flush());
    match written {
        // A reader that closes the pipe early is not an error.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => {}
        other => other.map_err(WalCommandError::Write)?,
    }
    Ok(snapshot.report.is_sound())
}

fn write_view(snapshot: &Snapshot, view: View, out: &mut impl Write) -> io::Result<()> {
    match view {
        View::All => text::write_all(snapshot, out),
        View::Verify => text::write_verification(snapshot, out),
        View::Counts(group_by) => text::write_counts(snapshot, group_by, out),
        View::Json => json::write_lines(snapshot, out),
    }
}

fn unix_time_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the whole seconds until the deadline, rounded down; negative after the deadline.
fn seconds_left(message: &PendingMessage, now_unix_us: u64) -> i64 {
    let left_us = i128::from(message.deadline_unix_us) - i128::from(now_unix_us);
    left_us.div_euclid(1_000_000) as i64
}

/// Returns the number of attempts of a message. Attempts whose records are lost count as one.
fn attempt_count(message: &PendingMessage) -> usize {
    message.attempts.len() + usize::from(message.records_lost)
}

/// Returns the number of attempts that may have been executed. Attempts whose records are lost count as one.
fn possibly_executed_count(message: &PendingMessage) -> usize {
    let unproven = message.attempts.iter().filter(|attempt| !attempt.state.proves_not_executed()).count();
    unproven + usize::from(message.records_lost)
}
