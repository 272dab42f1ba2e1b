//! The command `wal`: prints what the write-ahead log of a state folder holds. It only reads, and so may run beside
//! the forwarder that writes the log.

mod json;
mod text;

use std::io::{self, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use reeddock_wal::{Inspection, PendingIndex, PendingMessage, VerificationReport, WalError};
use thiserror::Error;

/// What is printed of a write-ahead log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum View {
    /// A line for each pending message and unacknowledged notice, counts by destination, then what is damaged.
    All,
    /// What is damaged, then a summary.
    Verify,
    /// Counts of pending messages.
    Counts(GroupBy),
    /// A JSON object a line for each message, notice and damaged place.
    Json,
}

/// The property by which pending messages are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GroupBy {
    /// The message class.
    Class,
    /// The number of the destination.
    Destination,
    /// The time that is left until the deadline, in a few spans.
    Age,
}

/// The value of `--by` is none of those that messages can be counted by.
#[derive(Debug, Error)]
#[error("{0:?}: expected category, destination or age")]
pub struct UnknownGroup(String);

impl FromStr for GroupBy {
    type Err = UnknownGroup;

    fn from_str(name: &str) -> Result<GroupBy, UnknownGroup> {
        match name {
            // `category` is what the operators' scripts say.
            "category" | "class" => Ok(GroupBy::Class),
            "destination" => Ok(GroupBy::Destination),
            "age" => Ok(GroupBy::Age),
            other => Err(UnknownGroup(other.to_owned())),
        }
    }
}

/// Why a write-ahead log could not be printed.
#[derive(Debug, Error)]
pub enum WalCommandError {
    /// The log can't be read. Corruption inside it is no error: it is printed.
    #[error("cannot read the write-ahead log in {}: {source}", folder.display())]
    Read { folder: PathBuf, source: WalError },
    /// Standard output can't be written to.
    #[error("cannot write: {0}")]
    Write(io::Error),
}

/// What is printed: the log as it was read, at one moment.
struct Snapshot {
    index: PendingIndex,
    report: VerificationReport,
    /// Microseconds of Unix time.
    now: u64,
}

/// Prints the write-ahead log of a state folder to standard output. Returns whether it is sound.
pub fn run(folder: &Path, view: View) -> Result<bool, WalCommandError> {
    let Inspection { index, verification: report } = reeddock_wal::inspect(folder)
        .map_err(|source| WalCommandError::Read { folder: folder.to_owned(), source })?;
    let snapshot = Snapshot { index, report, now: unix_time_us() };
    let mut out = BufWriter::new(io::stdout().lock());
    let written = write_view(&snapshot, view, &mut out).and_then(|()| out.flush());
    match written {
        // The reader has closed the pipe: it read as much as it wanted.
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

/// Whole seconds until the deadline, rounded down; negative after it.
fn seconds_left(message: &PendingMessage, now_us: u64) -> i64 {
    let left_us = i128::from(message.deadline_unix_us) - i128::from(now_us);
    left_us.div_euclid(1_000_000) as i64
}

/// All attempts of a message; those whose records are lost count as one.
fn attempt_count(message: &PendingMessage) -> usize {
    message.attempts.len() + usize::from(message.records_lost)
}

/// The attempts of a message that are not proven not to have been executed.
fn possibly_executed(message: &PendingMessage) -> usize {
    let unproven = message.attempts.iter().filter(|attempt| !attempt.state.proves_not_executed()).count();
    unproven + usize::from(message.records_lost)
}
