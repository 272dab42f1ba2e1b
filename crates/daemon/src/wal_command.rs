//! The command `ledger`: what a folder's forwarder owes, read only, also while it runs.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use reeddock_protocol::FinalAnswer;
use reeddock_wal::{Inspection, PendingCounts, PendingIndex, PendingMessage, VerificationReport};
use serde_json::json;

/// What of the write-ahead log is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum View {
    /// Each message and notice, then counts by destination.
    #[default]
    All,
    Verify,
    By(Key),
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Key {
    Category,
    Destination,
    Age,
}

impl FromStr for Key {
    type Err = String;
    fn from_str(name: &str) -> Result<Key, String> {
        match name {
            "category" => Ok(Key::Category),
            "destination" => Ok(Key::Destination),
            "age" => Ok(Key::Age),
            other => Err(format!("--by {other:?}: expected category, destination or age")),
        }
    }
}

/// Seconds that a message has left; below 0 where its time is up.
fn left(pending: &PendingMessage, now: u64) -> i64 {
    (i128::from(pending.deadline) - i128::from(now)).div_euclid(1_000_000) as i64
}

fn may_have_run(pending: &PendingMessage) -> usize {
    pending.attempts.iter().filter(|d| !d.state.proves_not_executed()).count()
        + usize::from(pending.records_lost)
}

/// Tells it; false where something is damaged.
pub fn tell(folder: &Path, view: View) -> Result<bool, String> {
    let Inspection { index, verification } = reeddock_wal::inspect(folder)
        .map_err(|e| format!("cannot read the ledger in {}: {e}", folder.display()))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    let now = u64::try_from(now).unwrap_or(u64::MAX);
    let mut to = io::BufWriter::new(io::stdout().lock());
    let told = match view {
        View::All => list(&index, now, &mut to).and_then(|()| found(&verification, &index, &mut to)),
        View::Verify => verify(&index, &verification, &mut to),
        View::By(key) => count(&index, key, now, &mut to),
        View::Json => lines(&index, &verification, now, &mut to),
    };
    match told.and_then(|()| to.flush()) {
        // Whoever read as much as it wanted has gone.
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(format!("cannot write: {e}")),
        _ => Ok(verification.is_sound()),
    }
}

fn list(index: &PendingIndex, now: u64, to: &mut impl Write) -> io::Result<()> {
    for owed in index.pending() {
        writeln!(
            to,
            "{} {} for destination {}: {} s left, {} dispatches, {} of which may have run",
            owed.id.0,
            owed.class,
            owed.destination,
            left(owed, now),
            owed.attempts.len() + usize::from(owed.records_lost),
            may_have_run(owed)
        )?;
    }
    for notice in index.unacknowledged_notices() {
        writeln!(to, "{} ended, and the platform has not been told: {:?}", notice.id.0, notice.end)?;
    }
    count(index, Key::Destination, now, to)
}

/// The span that an age falls in, in order.
fn age(left: i64) -> (u8, &'static str) {
    match left {
        i64::MIN..=-1 => (0, "time is up"),
        0..=4 => (1, "under 5 s left"),
        5..=19 => (2, "5 to 20 s left"),
        20..=59 => (3, "20 to 60 s left"),
        _ => (4, "a minute or more left"),
    }
}

fn count(index: &PendingIndex, key: Key, now: u64, to: &mut impl Write) -> io::Result<()> {
    let mut counts: BTreeMap<(u64, String), (usize, u64, usize)> = BTreeMap::new();
    for owed in index.pending() {
        let name = match key {
            Key::Category => (0, format!("category {}", owed.class)),
            Key::Destination => (owed.destination, format!("destination {}", owed.destination)),
            Key::Age => {
                let (place, name) = age(left(owed, now));
                (place.into(), name.to_owned())
            }
        };
        let (many, bytes, unsure) = counts.entry(name).or_default();
        *many += 1;
        *bytes += owed.size;
        *unsure += usize::from(may_have_run(owed) > 0);
    }
    for ((_, name), (many, bytes, unsure)) in counts {
        writeln!(to, "{name}: {many} owed, {bytes} bytes, {unsure} may have run")?;
    }
    Ok(())
}

fn found(verification: &VerificationReport, index: &PendingIndex, to: &mut impl Write) -> io::Result<()> {
    if verification.torn_bytes > 0 {
        writeln!(
            to,
            "{} bytes at the end are of a write that was cut short; the next start cuts them off",
            verification.torn_bytes
        )?;
    }
    for damage in &verification.corruptions {
        writeln!(to, "damaged: {damage}")?;
    }
    if verification.unlisted_corruptions > 0 {
        writeln!(to, "damaged: {} places more", verification.unlisted_corruptions)?;
    }
    for id in index.orphans() {
        writeln!(to, "unknown: {} was taken on, and nothing else is known of it", id.0)?;
    }
    let more = index.unlisted_orphans();
    if more > 0 {
        writeln!(to, "unknown: {more} more")?;
    }
    Ok(())
}

fn verify(index: &PendingIndex, verification: &VerificationReport, to: &mut impl Write) -> io::Result<()> {
    found(verification, index, to)?;
    let PendingCounts { messages: owed, notices: untold } = index.counts();
    let lost = index.pending().iter().filter(|u| u.records_lost).count();
    let state = if verification.is_sound() { "sound" } else { "DAMAGED" };
    writeln!(
        to,
        "{state}: {} segments, {} bytes, {} records; {owed} owed, {untold} notices untold, {lost} that may have \
         run as records of them may be lost",
        verification.segments, verification.bytes, verification.records
    )
}

fn lines(
    index: &PendingIndex,
    verification: &VerificationReport,
    now: u64,
    to: &mut impl Write,
) -> io::Result<()> {
    for owed in index.pending() {
        let attempts = owed.attempts.iter().map(|d| {
            json!({"target": &*d.endpoint, "at_us": d.at, "ended": d.state.is_finished(), "never_ran": d.state.proves_not_executed()})
        });
        let line = json!({
            "owed": &*owed.id.0, "category": &*owed.class, "tenant": owed.tenant.as_deref(), "key": owed.key,
            "destination": owed.destination, "outer_limit_us": owed.deadline, "left_s": left(owed, now),
            "bytes": owed.size, "dispatches": attempts.collect::<Vec<_>>(), "records_lost": owed.records_lost,
            "may_have_run": may_have_run(owed) > 0,
        });
        writeln!(to, "{line}")?;
    }
    for notice in index.unacknowledged_notices() {
        let (end, retry_after) = match notice.end {
            FinalAnswer::Failed => ("broken_off", None),
            FinalAnswer::Rejected { retry_after: wait } => {
                ("shed", wait.map(|w| u64::try_from(w.as_millis()).unwrap_or(u64::MAX)))
            }
        };
        writeln!(to, "{}", json!({"untold": &*notice.id.0, "end": end, "come_back_ms": retry_after}))?;
    }
    for id in index.orphans() {
        writeln!(to, "{}", json!({"unknown": &*id.0}))?;
    }
    for d in &verification.corruptions {
        let line = json!({"damaged": d.file, "offset": d.offset, "bytes": d.bytes, "hint": d.hint});
        writeln!(to, "{line}")?;
    }
    Ok(())
}
