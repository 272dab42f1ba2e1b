//! The command `ledger`: what a folder's forwarder owes, read only, also while it runs.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use reeddock_wal::{Books, Findings, Unended};
use reeddock_protocol::GivenUp;
use serde_json::json;

/// What of the ledger is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum View {
    /// Each envelope and notice, then counts by destination.
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

/// Seconds that an envelope has left; below 0 where its time is up.
fn left(unended: &Unended, now: u64) -> i64 {
    (i128::from(unended.outer_limit) - i128::from(now)).div_euclid(1_000_000) as i64
}

fn may_have_run(unended: &Unended) -> usize {
    unended.dispatches.iter().filter(|d| d.ended != Some(true)).count() + usize::from(unended.lost)
}

/// Tells it; false where something is damaged.
pub fn tell(folder: &Path, view: View) -> Result<bool, String> {
    let (books, findings) = reeddock_wal::look(folder)
        .map_err(|e| format!("cannot read the ledger in {}: {e}", folder.display()))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    let now = u64::try_from(now).unwrap_or(u64::MAX);
    let mut to = io::BufWriter::new(io::stdout().lock());
    let told = match view {
        View::All => list(&books, now, &mut to).and_then(|()| found(&findings, &books, &mut to)),
        View::Verify => verify(&books, &findings, &mut to),
        View::By(key) => count(&books, key, now, &mut to),
        View::Json => lines(&books, &findings, now, &mut to),
    };
    match told.and_then(|()| to.flush()) {
        // Whoever read as much as it wanted has gone.
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(format!("cannot write: {e}")),
        _ => Ok(findings.is_sound()),
    }
}

fn list(books: &Books, now: u64, to: &mut impl Write) -> io::Result<()> {
    for owed in books.unended() {
        writeln!(
            to,
            "{} {} for destination {}: {} s left, {} dispatches, {} of which may have run",
            owed.id.0,
            owed.category,
            owed.destination,
            left(owed, now),
            owed.dispatches.len() + usize::from(owed.lost),
            may_have_run(owed)
        )?;
    }
    for notice in books.untold() {
        writeln!(to, "{} ended, and the platform has not been told: {:?}", notice.id.0, notice.end)?;
    }
    count(books, Key::Destination, now, to)
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

fn count(books: &Books, key: Key, now: u64, to: &mut impl Write) -> io::Result<()> {
    let mut counts: BTreeMap<(u64, String), (usize, u64, usize)> = BTreeMap::new();
    for owed in books.unended() {
        let name = match key {
            Key::Category => (0, format!("category {}", owed.category)),
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

fn found(findings: &Findings, books: &Books, to: &mut impl Write) -> io::Result<()> {
    if findings.torn > 0 {
        writeln!(
            to,
            "{} bytes at the end are of a write that was cut short; the next start cuts them off",
            findings.torn
        )?;
    }
    for damage in &findings.damaged {
        writeln!(to, "damaged: {damage}")?;
    }
    if findings.more > 0 {
        writeln!(to, "damaged: {} places more", findings.more)?;
    }
    let (orphans, more) = books.orphans();
    for id in orphans {
        writeln!(to, "unknown: {} was taken on, and nothing else is known of it", id.0)?;
    }
    if more > 0 {
        writeln!(to, "unknown: {more} more")?;
    }
    Ok(())
}

fn verify(books: &Books, findings: &Findings, to: &mut impl Write) -> io::Result<()> {
    found(findings, books, to)?;
    let (owed, untold) = books.counts();
    let lost = books.unended().iter().filter(|u| u.lost).count();
    let state = if findings.is_sound() { "sound" } else { "DAMAGED" };
    writeln!(
        to,
        "{state}: {} segments, {} bytes, {} records; {owed} owed, {untold} notices untold, {lost} that may have \
         run as records of them may be lost",
        findings.segments, findings.bytes, findings.records
    )
}

fn lines(books: &Books, findings: &Findings, now: u64, to: &mut impl Write) -> io::Result<()> {
    for owed in books.unended() {
        let dispatches = owed.dispatches.iter().map(|d| {
            json!({"target": &*d.target, "at_us": d.at, "ended": d.ended.is_some(), "never_ran": d.ended == Some(true)})
        });
        let line = json!({
            "owed": &*owed.id.0, "category": &*owed.category, "tenant": owed.tenant.as_deref(), "key": owed.key,
            "destination": owed.destination, "outer_limit_us": owed.outer_limit, "left_s": left(owed, now),
            "bytes": owed.size, "dispatches": dispatches.collect::<Vec<_>>(), "records_lost": owed.lost,
            "may_have_run": may_have_run(owed) > 0,
        });
        writeln!(to, "{line}")?;
    }
    for notice in books.untold() {
        let (end, come_back) = match notice.end {
            GivenUp::BrokenOff => ("broken_off", None),
            GivenUp::Shed(wait) => ("shed", wait.map(|w| u64::try_from(w.as_millis()).unwrap_or(u64::MAX))),
        };
        writeln!(to, "{}", json!({"untold": &*notice.id.0, "end": end, "come_back_ms": come_back}))?;
    }
    for id in books.orphans().0 {
        writeln!(to, "{}", json!({"unknown": &*id.0}))?;
    }
    for d in &findings.damaged {
        let line = json!({"damaged": d.file, "offset": d.offset, "bytes": d.bytes, "hint": d.hint});
        writeln!(to, "{line}")?;
    }
    Ok(())
}
