//! What a forwarder has accepted and still owes, in a folder that outlasts its process.
//!
//! # What holds
//!
//! - Once [`WriteAheadLog::append`] has returned, its records outlast the process, and the machine too as far as
//!   [`Sync`] promises.
//! - Records stand in numbered segments, and are appended to the last. The first is emptied in bounded steps
//!   that run behind appends, and dropped; which and how much is decided in [`plan`], which does no I/O. The
//!   manifest says which segment is the first: it moves on after the copies stand and before the file goes.
//! - What is owed always gets its end: each message's share of the room is counted when it is accepted, and a
//!   reserve on the disk is given up for it when there is no space left.
//! - At a start only what a cut write can have torn is cut. Anything else that can't be read is passed over,
//!   told with its place, and kept; messages that were open at that place of the write-ahead log count as ones that
//!   may have run, as records of their attempts may be among what is lost.

mod legacy;
pub mod memory_storage;
mod pending_index;
pub mod plan;
mod record;
mod segment;
mod storage;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use pending_index::{PendingIndex, PendingMessage};
pub use record::{Accepted, AttemptStarted, Checkpoint, Record};
pub use storage::{FileStorage, Storage};

use pending_index::RecordLocation;
use plan::{whole_blocks, Plan, Step};
use segment::{Head, Piece, Scan, HEAD, VERSION};

const MANIFEST: &str = "ledger.manifest";
const NEW_MANIFEST: &str = "ledger.manifest.new";
const RESERVE: &str = "ledger.reserve";
/// What can't be read and is not needed any more is kept under names that begin so.
const ASIDE: &str = "damaged-";
/// Part of the folder that this may fill; the oldest goes first.
const MOST_ASIDE: u64 = 16;
/// Bytes of the reserve that are made again behind one append.
const RESERVE_STEP: u64 = 64 * 1024;
/// Damaged places that are told one by one.
const PLACES_TOLD: usize = 100;

/// When what was appended is made to outlast the machine, and not the process alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sync {
    /// Never: the folder outlasts the process, and is lost with the machine.
    #[default]
    Never,
    /// Before an append returns. All of one append waits for one sync.
    Each,
    /// With the first append after so long: a lost machine loses what was written in that span.
    Every(Duration),
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Manifest {
    version: u16,
    first: u64,
}

/// A place that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    pub file: String,
    pub offset: u64,
    /// 0 where a whole file is missing.
    pub bytes: u64,
    /// What in it looks like text, most likely an id.
    pub hint: String,
}

impl fmt::Display for Corruption {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.bytes {
            0 => write!(to, "{} is missing", self.file)?,
            bytes => write!(to, "{}: {bytes} bytes at {} can't be read", self.file, self.offset)?,
        }
        if self.hint.is_empty() {
            return Ok(());
        }
        write!(to, ", among them {:?}", self.hint)
    }
}

/// What a reading of the whole ledger found beside what is owed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerificationReport {
    /// Bytes at the end that a cut write left.
    pub torn: u64,
    pub damaged: Vec<Corruption>,
    /// Damaged places beyond those.
    pub more: u64,
    pub segments: u64,
    pub bytes: u64,
    pub records: u64,
}

impl VerificationReport {
    fn damage(&mut self, file: &str, offset: u64, bytes: u64, hint: String) {
        if self.damaged.len() < PLACES_TOLD {
            self.damaged.push(Corruption { file: file.to_owned(), offset, bytes, hint });
        } else {
            self.more += 1;
        }
    }

    pub fn is_sound(&self) -> bool {
        self.damaged.is_empty()
    }
}

/// What came of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// Whether the messages among the records were accepted; where there was no space for them, all else was
    /// written without them and their attempts.
    pub taken_on: bool,
}

pub struct WriteAheadLog {
    folder: Box<dyn Storage>,
    plan: Plan,
    sync: Sync,
    index: PendingIndex,
    verification: VerificationReport,
    /// The last segment must not be appended to: it ends in something that can't be read.
    sealed: bool,
    /// Ends of messages that may stand in the write-ahead log though they were not accepted, as a write that failed
    /// could not be taken back. They go before anything else.
    void: Vec<Record>,
    /// Segments with bytes that were not synced.
    unsynced: BTreeSet<u64>,
    synced_at: Duration,
    /// Segments that hold something that can't be read.
    damaged: BTreeSet<u64>,
    /// Where the emptying of the first segment stands.
    cursor: u64,
    reserve: u64,
    /// What was owed when the disk was found full.
    full_at: Option<u64>,
    aside: BTreeMap<String, u64>,
    buffer: Vec<u8>,
    quiet_until: Duration,
}

/// How a segment stood before an append; none: it was begun with it.
#[derive(Clone, Copy)]
struct Before {
    number: u64,
    had: Option<u64>,
}

/// Errors of compaction are told at most so often.
const TOLD_EVERY: Duration = Duration::from_secs(10);

fn later(file: &str, version: u16) -> io::Error {
    let what = format!("{file} is of version {version}, and this program knows {VERSION} at most");
    io::Error::new(io::ErrorKind::Unsupported, what)
}

fn read_manifest(
    folder: &dyn Storage,
    files: &BTreeMap<String, u64>,
) -> io::Result<Option<Option<Manifest>>> {
    if !files.contains_key(MANIFEST) {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    folder.reader(MANIFEST)?.take(4096).read_to_end(&mut bytes)?;
    let whole = record::value(&bytes);
    // The version comes first, whatever a later one has behind it.
    let version = whole.and_then(|v| postcard::take_from_bytes::<u16>(v).ok()).map(|v| v.0);
    if let Some(version) = version.filter(|v| *v > VERSION) {
        return Err(later(MANIFEST, version));
    }
    Ok(Some(whole.and_then(|v| postcard::from_bytes(v).ok())))
}

/// All that a folder holds, read without a change.
struct Reading {
    index: PendingIndex,
    verification: VerificationReport,
    /// Segments that count, with their sizes.
    segments: BTreeMap<u64, u64>,
    damaged: BTreeSet<u64>,
    /// Where the last segment's torn end begins.
    torn_at: Option<u64>,
    /// Segments before the first that counts.
    past: Vec<u64>,
    first: u64,
    old: Option<Vec<u8>>,
    has_manifest: bool,
    last_is_older: bool,
}

fn read(folder: &dyn Storage) -> io::Result<Reading> {
    let files = folder.files()?;
    let manifest = read_manifest(folder, &files)?;
    let mut reading = Reading {
        index: PendingIndex::default(),
        verification: VerificationReport::default(),
        segments: files.iter().filter_map(|(name, size)| Some((segment::number(name)?, *size))).collect(),
        damaged: BTreeSet::new(),
        torn_at: None,
        past: Vec::new(),
        first: 1,
        old: None,
        last_is_older: false,
        has_manifest: manifest.is_some(),
    };
    // Nothing is read, let alone changed, where a part of it is of a later version.
    for number in reading.segments.keys() {
        let name = segment::name(*number);
        if let (_, Head::Later(version)) = Scan::begin(folder.reader(&name)?, *number)? {
            return Err(later(&name, version));
        }
    }
    if manifest.is_none() && files.contains_key(legacy::NAME) {
        // Segments beside it were begun by a start that did not live to move it over.
        reading.past = std::mem::take(&mut reading.segments).into_keys().collect();
        let mut bytes = Vec::new();
        folder.reader(legacy::NAME)?.read_to_end(&mut bytes)?;
        for (offset, length) in legacy::read(&bytes, &mut reading.index) {
            reading.verification.damage(legacy::NAME, offset, length, String::new());
        }
        reading.verification.bytes = bytes.len() as u64;
        reading.old = Some(bytes);
        return Ok(reading);
    }
    let lowest = reading.segments.keys().next().copied();
    let first = match manifest {
        Some(Some(manifest)) => manifest.first,
        other => {
            if other.is_some() || lowest.is_some() {
                let bytes = files.get(MANIFEST).copied().unwrap_or_default();
                reading.verification.damage(MANIFEST, 0, bytes, String::new());
            }
            lowest.unwrap_or(1)
        }
    };
    reading.first = first;
    if reading.segments.range(first..).next().is_none() && first > 1 {
        // The last segment is never dropped.
        reading.verification.damage(&segment::name(first), 0, 0, String::new());
    }
    reading.past = reading.segments.range(..first).map(|(n, _)| *n).collect();
    reading.segments = reading.segments.split_off(&first);
    let last = reading.segments.keys().next_back().copied();
    let mut expected = first;
    for (number, size) in reading.segments.clone() {
        for missing in expected..number.min(expected + 1000) {
            reading.verification.damage(&segment::name(missing), 0, 0, String::new());
            reading.index.gap();
        }
        expected = number + 1;
        reading.verification.segments += 1;
        reading.verification.bytes += size;
        read_segment(folder, number, Some(number) == last, &mut reading)?;
    }
    Ok(reading)
}

fn read_segment(folder: &dyn Storage, number: u64, is_last: bool, to: &mut Reading) -> io::Result<()> {
    let name = segment::name(number);
    let (mut scan, head) = Scan::begin(folder.reader(&name)?, number)?;
    let harm = |to: &mut Reading, offset, bytes, hint| {
        to.verification.damage(&name, offset, bytes, hint);
        to.index.gap();
        to.damaged.insert(number);
    };
    match head {
        Head::Short if is_last => {
            // Begun, and cut short before anything was written to it.
            to.verification.torn += to.segments.get(&number).copied().unwrap_or_default();
            to.torn_at = Some(0);
            return Ok(());
        }
        Head::Short | Head::Damaged => harm(to, 0, HEAD as u64, String::new()),
        // Nothing is written behind an older version's records, so that its program does not take the new ones
        // for damage.
        Head::Sound(version) if is_last => to.last_is_older = version < VERSION,
        Head::Sound(_) | Head::Later(_) => {}
    }
    loop {
        match scan.next()? {
            Piece::Record { offset, length } => {
                to.verification.records += 1;
                match scan.record() {
                    Some(record) => {
                        to.index.apply(record, RecordLocation { segment: number, offset, length })
                    }
                    None => harm(to, offset, length as u64, String::new()),
                }
            }
            Piece::Damaged { offset, bytes, hint } => harm(to, offset, bytes, hint),
            Piece::Torn { offset, bytes } if is_last => {
                to.verification.torn += bytes;
                to.torn_at = Some(offset);
            }
            Piece::Torn { offset, bytes } => harm(to, offset, bytes, String::new()),
            Piece::End => return Ok(()),
        }
    }
}

/// Reads what a folder's ledger says is owed, also beside the forwarder that writes it; changes nothing.
pub fn inspect(folder: &Path) -> io::Result<(PendingIndex, VerificationReport)> {
    let disk = FileStorage::to_read(folder);
    let mut tries = 0;
    loop {
        match read(&disk) {
            Ok(reading) => return Ok((reading.index, reading.verification)),
            // A segment was dropped while it was being read: what it held stands further on.
            Err(e) if e.kind() == io::ErrorKind::NotFound && tries < 10 && folder.exists() => tries += 1,
            Err(e) => return Err(e),
        }
    }
}

impl WriteAheadLog {
    /// Opens the write-ahead log of a folder that may hold `most_bytes`.
    pub fn open(folder: &Path, most_bytes: u64, sync: Sync) -> io::Result<WriteAheadLog> {
        WriteAheadLog::open_in(Box::new(FileStorage::to_write(folder)?), most_bytes, sync)
    }

    pub fn open_in(folder: Box<dyn Storage>, most_bytes: u64, sync: Sync) -> io::Result<WriteAheadLog> {
        let reading = read(&*folder)?;
        let mut log = WriteAheadLog {
            folder,
            plan: Plan::new(most_bytes),
            sync,
            index: reading.index,
            verification: reading.verification,
            sealed: false,
            void: Vec::new(),
            unsynced: BTreeSet::new(),
            synced_at: Duration::ZERO,
            damaged: reading.damaged,
            cursor: 0,
            reserve: 0,
            full_at: None,
            aside: BTreeMap::new(),
            buffer: Vec::new(),
            quiet_until: Duration::ZERO,
        };
        let files = log.folder.files()?;
        log.aside = files.iter().filter(|f| f.0.starts_with(ASIDE)).map(|(n, s)| (n.clone(), *s)).collect();
        log.reserve = files.get(RESERVE).copied().unwrap_or_default();
        if files.contains_key(NEW_MANIFEST) {
            log.folder.remove(NEW_MANIFEST)?;
        }
        for number in reading.past {
            log.folder.remove(&segment::name(number))?;
        }
        log.tell_findings();
        log.plan.begins_at(reading.first);
        for (number, size) in &reading.segments {
            log.plan.has(*number, *size);
        }
        log.count_beside();
        match reading.old {
            Some(bytes) => log.move_over(&bytes)?,
            None => {
                if !reading.has_manifest || !log.verification.is_sound() {
                    log.write_manifest(reading.first)?;
                }
                // A start that moved the old file over did not live to remove it.
                if files.contains_key(legacy::NAME) {
                    log.folder.remove(legacy::NAME)?;
                }
                log.cut(reading.torn_at);
            }
        }
        // Nothing is ever written behind what can't be read.
        let damaged = log.plan.last().is_some_and(|last| log.damaged.contains(&last));
        log.sealed |= reading.last_is_older || damaged;
        while log.reserve < log.plan.reserve() && log.keep_reserve() {}
        Ok(log)
    }

    /// Cuts what a killed process left torn at the end.
    fn cut(&mut self, torn_at: Option<u64>) {
        let (Some(at), Some(last)) = (torn_at, self.plan.last()) else { return };
        if self.damaged.contains(&last) {
            return;
        }
        tracing::warn!(bytes = self.verification.torn, "the ledger ends in a torn record, which is cut off");
        match self.folder.truncate(&segment::name(last), at) {
            Ok(()) if at == 0 => {
                // Not even its head is whole.
                self.sealed = self.folder.remove(&segment::name(last)).is_err();
                if !self.sealed {
                    self.plan.dropped(last);
                }
            }
            Ok(()) => self.plan.has(last, at),
            Err(fault) => {
                tracing::warn!(%fault, "it could not be cut off, and nothing is written behind it");
                self.sealed = true;
            }
        }
    }

    fn tell_findings(&self) {
        for damage in self.verification.damaged.iter().take(10) {
            tracing::error!("the ledger is damaged: {damage}");
        }
        if !self.verification.is_sound() {
            let lost = self.index.pending().iter().filter(|u| u.lost).count();
            let (orphans, more) = self.index.orphans();
            let named: Vec<&str> = orphans.take(20).map(|id| &*id.0).collect();
            tracing::error!(
                places = self.verification.damaged.len() as u64 + self.verification.more,
                may_have_run = lost,
                known_by_id_only = ?named,
                more,
                "what stood there is unknown; reeddock ledger --verify tells all of it"
            );
        }
    }

    /// The single file of before, written anew as segments.
    fn move_over(&mut self, bytes: &[u8]) -> io::Result<()> {
        let ids: Vec<_> = self.index.pending().iter().map(|u| u.id.clone()).collect();
        let unacknowledged_notices: Vec<_> = self.index.unacknowledged_notices().map(|n| n.id).collect();
        let old = std::mem::take(&mut self.index);
        let mut group = Vec::new();
        for id in ids.iter().chain(&unacknowledged_notices) {
            let Some(mut record) = old.carried(id) else { continue };
            if let (Record::Checkpoint(carried), Some(pending)) = (&mut record, old.get(id)) {
                if let Some(accepted) = legacy::accepted_at(bytes, pending.spot()) {
                    carried.accepted = accepted;
                }
            }
            group.push(record);
            if group.len() >= 64 {
                self.write(&group)?;
                group.clear();
            }
        }
        self.write(&group)?;
        self.sync_all()?;
        let first = self.plan.first().unwrap_or(1);
        self.write_manifest(first)?;
        if self.verification.is_sound() {
            self.folder.remove(legacy::NAME)?;
        } else {
            self.folder.rename(legacy::NAME, &format!("{ASIDE}{}", legacy::NAME))?;
            self.aside.insert(format!("{ASIDE}{}", legacy::NAME), bytes.len() as u64);
            self.count_beside();
        }
        tracing::info!(pending_bytes = ids.len(), "the ledger was moved over from its old format");
        Ok(())
    }

    /// All that is owed.
    pub fn index(&self) -> &PendingIndex {
        &self.index
    }

    /// What the reading at the start found.
    pub fn verification(&self) -> &VerificationReport {
        &self.verification
    }

    /// All that was written of a message that is owed, with its body.
    pub fn accepted(&self, pending: &PendingMessage) -> io::Result<Accepted> {
        let spot = pending.spot();
        let name = segment::name(spot.segment);
        let bytes = self.folder.read_at(&name, spot.offset, spot.length)?;
        let rotten =
            || io::Error::new(io::ErrorKind::InvalidData, format!("{name} at {} is damaged", spot.offset));
        let record = record::value(&bytes).and_then(record::View::read).ok_or_else(rotten)?;
        let other = || io::Error::new(io::ErrorKind::InvalidData, "another record stands in its place");
        record.accepted().ok_or_else(other)
    }

    /// Bytes that are free for what is accepted from here on.
    pub fn room(&self) -> u64 {
        // Without its reserve the end of what is owed already is not sure of its place.
        // Nor is a disk that was full asked again before some of what is owed is over.
        let full = self.full_at.is_some_and(|at| self.index.pending_bytes() > at - at / 16);
        if full || self.reserve < self.plan.reserve() {
            return 0;
        }
        self.plan.most_owed().saturating_sub(self.index.pending_bytes())
    }

    /// Bytes that all files have, in whole blocks.
    pub fn used(&self) -> u64 {
        self.plan.used()
    }

    /// What a message takes up until it is over.
    pub fn size_of(accepted: &Accepted) -> u64 {
        record::size(&accepted.view())
    }

    /// Writes these records, and then empties the first segment by a step. All of them have outlasted this
    /// process once this returns; on an error none has. With no space left the reserve goes for what is owed
    /// already, and nothing is accepted.
    pub fn append(&mut self, records: &[Record], now: Duration) -> io::Result<Written> {
        if records.is_empty() {
            return Ok(Written { taken_on: true });
        }
        let mut taken_on = true;
        let bytes = match self.write_and_sync(records, now) {
            Ok(bytes) => bytes,
            Err(fault) if fault.kind() == io::ErrorKind::StorageFull => {
                self.full_at = Some(self.index.pending_bytes());
                let musts = musts(records);
                taken_on = musts.len() == records.len();
                if musts.is_empty() {
                    return Ok(Written { taken_on });
                }
                match self.write_and_sync(&musts, now) {
                    Err(fault) if fault.kind() == io::ErrorKind::StorageFull && self.reserve > 0 => {
                        tracing::warn!("no space is left; the reserve goes for what is owed already");
                        self.give_reserve();
                        self.write_and_sync(&musts, now)?
                    }
                    other => other?,
                }
            }
            Err(fault) => return Err(fault),
        };
        self.step(bytes, now);
        Ok(Written { taken_on })
    }

    /// Makes all that was appended outlast the machine.
    pub fn sync_all(&mut self) -> io::Result<()> {
        if self.sync == Sync::Never {
            self.unsynced.clear();
            return Ok(());
        }
        while let Some(segment) = self.unsynced.first().copied() {
            self.folder.sync(&segment::name(segment))?;
            self.unsynced.remove(&segment);
        }
        Ok(())
    }

    fn write_and_sync(&mut self, records: &[Record], now: Duration) -> io::Result<u64> {
        if !self.void.is_empty() {
            let void = std::mem::take(&mut self.void);
            if let Err(fault) = self.write(&void) {
                self.void.extend(void);
                return Err(fault);
            }
        }
        let (bytes, before) = self.append_only(records)?;
        let due = match self.sync {
            Sync::Never => false,
            Sync::Each => true,
            Sync::Every(span) => now >= self.synced_at + span,
        };
        if due {
            if let Err(fault) = self.sync_all() {
                self.undo(before);
                return Err(fault);
            }
            self.synced_at = now;
        }
        self.apply(records);
        Ok(bytes)
    }

    fn write(&mut self, records: &[Record]) -> io::Result<u64> {
        if records.is_empty() {
            return Ok(0);
        }
        let (bytes, _) = self.append_only(records)?;
        self.apply(records);
        Ok(bytes)
    }

    /// Puts records at the end of the last segment, or into a new one; the books don't have them yet.
    fn append_only(&mut self, records: &[Record]) -> io::Result<(u64, Before)> {
        let mut bytes = std::mem::take(&mut self.buffer);
        bytes.clear();
        bytes.resize(HEAD, 0);
        records.iter().for_each(|r| record::frame(&mut bytes, &r.view()));
        let length = (bytes.len() - HEAD) as u64;
        let result = self.append_bytes(&mut bytes, length);
        self.buffer = bytes;
        if result.is_err() && self.sealed {
            self.void.extend(records.iter().filter_map(|r| match r {
                Record::Accepted(accepted) => {
                    Some(Record::Finished { id: accepted.id.clone(), notice: None })
                }
                _ => None,
            }));
        }
        result.map(|before| (length, before))
    }

    fn append_bytes(&mut self, bytes: &mut [u8], length: u64) -> io::Result<Before> {
        self.make_room(length + HEAD as u64)?;
        let begins = self.sealed || self.plan.is_full(length);
        let (number, had) = match self.plan.last().filter(|_| !begins) {
            Some(last) => (last, Some(self.plan.size(last))),
            None => (self.plan.next(), None),
        };
        if had.is_none() {
            bytes[..HEAD].copy_from_slice(&segment::head(number));
        }
        let from = if had.is_none() { 0 } else { HEAD };
        let before = Before { number, had };
        self.plan.has(number, had.unwrap_or_default() + (bytes.len() - from) as u64);
        let written = self.folder.append(&segment::name(number), &bytes[from..]).and_then(|()| {
            if had.is_none() && self.sync != Sync::Never {
                self.folder.sync_names()?;
            }
            Ok(())
        });
        if let Err(fault) = written {
            self.undo(before);
            return Err(fault);
        }
        self.unsynced.insert(number);
        self.sealed = false;
        Ok(before)
    }

    /// Takes back what an append left behind; nothing is written behind a torn record.
    fn undo(&mut self, before: Before) {
        let Before { number, had } = before;
        let name = segment::name(number);
        let undone = match had {
            Some(had) => self.folder.truncate(&name, had),
            None => match self.folder.remove(&name) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
                other => other,
            },
        };
        match (undone, had) {
            (Ok(()), Some(had)) => self.plan.has(number, had),
            (Ok(()), None) => {
                self.plan.dropped(number);
                self.unsynced.remove(&number);
            }
            (Err(fault), _) => {
                tracing::warn!(%fault, "a write that failed could not be taken back; a new segment is begun");
                self.sealed = true;
                self.damaged.insert(number);
            }
        }
    }

    fn apply(&mut self, records: &[Record]) {
        // Frames stand one behind the other at the end of the last segment.
        let Some(last) = self.plan.last() else { return };
        let mut offset = self.plan.size(last) - (self.buffer.len() - HEAD) as u64;
        let mut at = HEAD;
        for record in records {
            let Some((length, _)) = self.buffer.get(at..).and_then(record::head) else { return };
            let length = record::FRAME + length;
            self.index.apply(record.view(), RecordLocation { segment: last, offset, length });
            offset += length as u64;
            at += length;
        }
    }

    // # Compaction.

    /// Has room for so many bytes, by emptying the first segments if there is no other way.
    fn make_room(&mut self, bytes: u64) -> io::Result<()> {
        let mut left = 4 * self.index.counts().0 + 1000;
        while !self.plan.fits(bytes) {
            let Step::Copy { segment, bytes } = self.plan.in_need() else { break };
            if left == 0 || !self.plan.fits(0) {
                break;
            }
            left -= 1;
            // The copies themselves must fit, which appends that come here again would not find out.
            let used = self.plan.used();
            self.empty(segment, bytes.min(self.plan.most().saturating_sub(used) / 2))?;
        }
        if self.plan.fits(bytes) {
            Ok(())
        } else {
            Err(io::ErrorKind::StorageFull.into())
        }
    }

    /// A bounded step behind an append; what goes wrong in it harms no append.
    fn step(&mut self, appended: u64, now: Duration) {
        // A disk that was full has less room than the plan was told of.
        let full = self.full_at.is_some() || self.reserve < self.plan.reserve();
        let planned = self.plan.after_append(appended, self.index.pending_bytes());
        let step = match self.plan.in_need() {
            // Copies would take what is left, unless far more comes free than they need.
            Step::Copy { segment, .. } if full => {
                let pays = 4 * self.index.live_bytes(segment) <= self.plan.size(segment);
                if pays {
                    self.plan.in_need()
                } else {
                    Step::Rest
                }
            }
            _ => planned,
        };
        if let Step::Copy { segment, bytes } = step {
            match self.empty(segment, bytes) {
                Ok(copied) => self.plan.copied(copied),
                Err(fault) if now >= self.quiet_until => {
                    self.quiet_until = now + TOLD_EVERY;
                    tracing::warn!(%fault, segment, "the ledger could not be compacted");
                }
                Err(_) => {}
            }
        }
        if self.reserve < self.plan.reserve() {
            self.keep_reserve();
        }
    }

    /// Copies what matters of the first segment to the end, some bytes of it at most; drops it once nothing does.
    fn empty(&mut self, segment: u64, bytes: u64) -> io::Result<u64> {
        let mut copied = 0;
        let mut group = Vec::new();
        let mut next = self.index.live_from(segment, self.cursor);
        while let Some((offset, id)) = next.take() {
            let Some(mut record) = self.index.carried(&id) else { break };
            if let (Record::Checkpoint(carried), Some(pending)) = (&mut record, self.index.get(&id)) {
                carried.accepted = self.accepted(pending)?;
                copied += pending.spot().length as u64;
            } else {
                copied += record::FRAME as u64 + id.0.len() as u64;
            }
            group.push(record);
            self.cursor = offset + 1;
            next = self.index.live_from(segment, self.cursor);
            if copied >= bytes {
                break;
            }
        }
        let done = next.is_none();
        if !group.is_empty() {
            if let Err(fault) = self.copy(&group) {
                self.cursor = 0;
                return Err(fault);
            }
        }
        if done {
            self.cursor = 0;
            if self.index.live_from(segment, 0).is_none() {
                self.drop_first(segment)?;
            }
        }
        Ok(copied)
    }

    fn copy(&mut self, records: &[Record]) -> io::Result<()> {
        // Not by way of `make_room`, which comes here.
        let mut bytes = vec![0; HEAD];
        records.iter().for_each(|r| record::frame(&mut bytes, &r.view()));
        let length = (bytes.len() - HEAD) as u64;
        if !self.plan.fits(length + HEAD as u64) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.append_bytes(&mut bytes, length)?;
        let kept = std::mem::replace(&mut self.buffer, bytes);
        self.apply(records);
        self.buffer = kept;
        Ok(())
    }

    /// The first segment holds nothing that matters. Its copies outlast what it held before it goes, and the
    /// manifest says so first: were a later segment's name gone and this one's not, what it tells of messages
    /// that ended there would stand again.
    fn drop_first(&mut self, segment: u64) -> io::Result<()> {
        self.sync_all()?;
        self.write_manifest(segment + 1)?;
        let name = segment::name(segment);
        if self.damaged.remove(&segment) {
            let aside = format!("{ASIDE}{name}");
            self.folder.rename(&name, &aside)?;
            self.aside.insert(aside, self.plan.size(segment));
            let most = self.plan.most() / MOST_ASIDE;
            while self.aside.values().map(|s| whole_blocks(*s)).sum::<u64>() > most {
                let Some((oldest, _)) = self.aside.pop_first() else { break };
                tracing::warn!(file = oldest, "there is no room to keep a damaged part of the ledger longer");
                self.folder.remove(&oldest)?;
            }
        } else {
            self.folder.remove(&name)?;
        }
        self.plan.dropped(segment);
        self.full_at = None;
        self.count_beside();
        Ok(())
    }

    fn write_manifest(&mut self, first: u64) -> io::Result<()> {
        let mut bytes = Vec::new();
        record::frame(&mut bytes, &Manifest { version: VERSION, first });
        match self.folder.remove(NEW_MANIFEST) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        self.folder.append(NEW_MANIFEST, &bytes)?;
        if self.sync != Sync::Never {
            self.folder.sync(NEW_MANIFEST)?;
        }
        self.folder.rename(NEW_MANIFEST, MANIFEST)?;
        if self.sync != Sync::Never {
            self.folder.sync_names()?;
        }
        Ok(())
    }

    // # The reserve.

    fn count_beside(&mut self) {
        let aside: u64 = self.aside.values().map(|s| whole_blocks(*s)).sum();
        // The manifest, and the one that takes its place.
        self.plan.set_beside(aside + whole_blocks(self.reserve) + 2 * plan::BLOCK);
    }

    /// Makes a piece of the reserve; says whether there was space.
    fn keep_reserve(&mut self) -> bool {
        let piece = (self.plan.reserve() - self.reserve).min(RESERVE_STEP);
        if !self.plan.fits(piece) {
            return false;
        }
        let kept = self.folder.append(RESERVE, &vec![0; piece as usize]);
        self.reserve = self.folder.files().ok().and_then(|f| f.get(RESERVE).copied()).unwrap_or_default();
        self.count_beside();
        kept.is_ok()
    }

    fn give_reserve(&mut self) {
        match self.folder.remove(RESERVE) {
            Ok(()) => self.reserve = 0,
            Err(fault) => tracing::warn!(%fault, "the reserve could not be given up"),
        }
        self.count_beside();
    }
}

/// What must be written whatever else can't be: all but what is newly accepted, and its attempts.
fn musts(records: &[Record]) -> Vec<Record> {
    let accepted: BTreeSet<&str> = records
        .iter()
        .filter_map(|r| if let Record::Accepted(accepted) = r { Some(accepted.id.as_str()) } else { None })
        .collect();
    let must = |r: &&Record| match r {
        Record::Accepted(_) => false,
        Record::AttemptStarted { id, .. } | Record::AttemptFinished { id, .. } => {
            !accepted.contains(id.as_str())
        }
        Record::Finished { .. } | Record::NoticeAcknowledged { .. } | Record::Checkpoint(_) => true,
    };
    records.iter().filter(must).cloned().collect()
}
