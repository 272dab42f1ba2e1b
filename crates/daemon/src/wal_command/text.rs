//! Prints a write-ahead log as text. Scripts match the words of the output: *owed* is a pending message,
//! *dispatch* an attempt, *untold* an unacknowledged notice.

use std::collections::BTreeMap;
use std::io::{self, Write};

use reeddock_wal::{PendingCounts, PendingMessage};

use super::{attempt_count, possibly_executed_count, seconds_left, GroupBy, Snapshot};

/// Prints a line for each pending message and unacknowledged notice, counts by destination, and damaged
/// places.
pub fn write_all(snapshot: &Snapshot, out: &mut impl Write) -> io::Result<()> {
    for message in snapshot.index.pending() {
        writeln!(
            out,
            "{} {} for destination {}: {} s left, {} dispatches, {} of which may have run",
            message.id.0,
            message.class,
            message.destination,
            seconds_left(message, snapshot.now_unix_us),
            attempt_count(message),
            possibly_executed_count(message)
        )?;
    }
    for notice in snapshot.index.unacknowledged_notices() {
        writeln!(
            out,
            "{} finished, its notice not acknowledged by the platform: {}",
            notice.id.0, notice.answer
        )?;
    }
    write_counts(snapshot, GroupBy::Destination, out)?;
    write_damage(snapshot, out)
}

/// Prints damaged places and a summary.
pub fn write_verification(snapshot: &Snapshot, out: &mut impl Write) -> io::Result<()> {
    write_damage(snapshot, out)?;
    let report = &snapshot.report;
    let PendingCounts { messages: pending, notices: unacknowledged } = snapshot.index.counts();
    let lost = snapshot.index.pending().iter().filter(|message| message.records_lost).count();
    let state = if report.is_sound() { "sound" } else { "DAMAGED" };
    writeln!(
        out,
        "{state}: {} segments, {} bytes, {} records; {pending} owed, {unacknowledged} notices untold, {lost} that \
         may have run as records of them may be lost",
        report.segments, report.bytes, report.records
    )
}

/// A group of pending messages. Groups are printed ordered by rank, then by label.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    rank: u64,
    label: String,
}

impl Group {
    fn of(message: &PendingMessage, group_by: GroupBy, now_unix_us: u64) -> Group {
        match group_by {
            GroupBy::Class => Group { rank: 0, label: format!("category {}", message.class) },
            GroupBy::Destination => {
                Group { rank: message.destination, label: format!("destination {}", message.destination) }
            }
            GroupBy::Age => Group::of_seconds_left(seconds_left(message, now_unix_us)),
        }
    }

    fn of_seconds_left(seconds: i64) -> Group {
        let (rank, label) = match seconds {
            i64::MIN..=-1 => (0, "time is up"),
            0..=4 => (1, "under 5 s left"),
            5..=19 => (2, "5 to 20 s left"),
            20..=59 => (3, "20 to 60 s left"),
            _ => (4, "a minute or more left"),
        };
        Group { rank, label: label.to_owned() }
    }
}

/// Totals of a group of pending messages.
#[derive(Default)]
struct Totals {
    messages: usize,
    bytes: u64,
    possibly_executed_messages: usize,
}

/// Prints a line with the totals of each group of pending messages.
pub fn write_counts(snapshot: &Snapshot, group_by: GroupBy, out: &mut impl Write) -> io::Result<()> {
    let mut groups: BTreeMap<Group, Totals> = BTreeMap::new();
    for message in snapshot.index.pending() {
        let totals = groups.entry(Group::of(message, group_by, snapshot.now_unix_us)).or_default();
        totals.messages += 1;
        totals.bytes += message.reserved_bytes;
        totals.possibly_executed_messages += usize::from(possibly_executed_count(message) > 0);
    }
    for (group, totals) in groups {
        writeln!(
            out,
            "{}: {} owed, {} bytes, {} may have run",
            group.label, totals.messages, totals.bytes, totals.possibly_executed_messages
        )?;
    }
    Ok(())
}

/// Prints a torn write at the end, damaged places, and messages of which only the id is known.
fn write_damage(snapshot: &Snapshot, out: &mut impl Write) -> io::Result<()> {
    let report = &snapshot.report;
    if report.torn_bytes > 0 {
        writeln!(
            out,
            "{} bytes at the end are of a torn write; the next start cuts them off",
            report.torn_bytes
        )?;
    }
    for place in &report.corruptions {
        writeln!(out, "damaged: {place}")?;
    }
    if report.unlisted_corruptions > 0 {
        writeln!(out, "damaged: {} places more", report.unlisted_corruptions)?;
    }
    for id in snapshot.index.orphans() {
        writeln!(out, "unknown: {} was accepted, and nothing else is known of it", id.0)?;
    }
    let unlisted = snapshot.index.unlisted_orphans();
    if unlisted > 0 {
        writeln!(out, "unknown: {unlisted} more")?;
    }
    Ok(())
}
