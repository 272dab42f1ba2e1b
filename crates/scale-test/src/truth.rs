//! The list of targets as the control side has it: the entries, the last changes, and whole lists serialized
//! once and shared by all that ask for them.

use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

/// One target. Its name and its destination follow from its place in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    pub address: SocketAddrV4,
    /// The generation of its last change.
    pub generation: u64,
}

/// The name of the target at a place.
pub fn name_of(place: u32) -> String {
    format!("s-{place:08x}")
}

/// The place that a name stands for; none for names that no list here has.
pub fn place_of(name: &str) -> Option<u32> {
    let digits = name.strip_prefix("s-").filter(|digits| digits.len() == 8)?;
    u32::from_str_radix(digits, 16).ok()
}

/// One change, which is one generation.
#[derive(Clone)]
pub struct Change {
    pub generation: u64,
    /// Its entry as it stands in a line.
    pub entry: Bytes,
    /// The line with this change alone.
    pub line: Bytes,
}

/// A whole list of one generation, in pieces that are shared by all who are sent it.
pub struct Whole {
    pub generation: u64,
    pub pieces: Vec<Bytes>,
}

impl Whole {
    /// Bytes of all pieces.
    pub fn size(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }
}

/// Changes that are kept; whoever is further behind is sent the whole list.
const CHANGES_KEPT: usize = 4_096;
/// A whole list is sent again, with the changes since, until so many have come.
const CHANGES_AFTER_WHOLE: u64 = 512;
const PIECE: usize = 64 * 1024;
/// The generation of the first list.
const FIRST: u64 = 1;

struct Inner {
    generation: u64,
    targets: Vec<Target>,
    log: VecDeque<Change>,
    /// When each generation was made, from the first on.
    made: Vec<Instant>,
}

/// The list, shared by the control side and whoever changes it.
pub struct Truth {
    inner: Mutex<Inner>,
    news: watch::Sender<u64>,
    whole: tokio::sync::Mutex<Option<Arc<Whole>>>,
}

impl Truth {
    /// A list of so many targets; `address` says where each is.
    pub fn new(targets: u32, address: impl Fn(u32) -> SocketAddrV4) -> Truth {
        let target = |place| Target { address: address(place), generation: FIRST };
        let inner = Inner {
            generation: FIRST,
            targets: (0..targets).map(target).collect(),
            log: VecDeque::new(),
            made: vec![Instant::now()],
        };
        Truth {
            inner: Mutex::new(inner),
            news: watch::Sender::new(FIRST),
            whole: tokio::sync::Mutex::new(None),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves a target, or lists the one behind the last; says the change's generation.
    pub fn put(&self, place: u32, address: SocketAddrV4) -> u64 {
        let mut inner = self.inner();
        let generation = inner.generation + 1;
        let target = Target { address, generation };
        match inner.targets.get_mut(place as usize) {
            Some(old) => *old = target,
            None => inner.targets.push(target),
        }
        let mut entry = String::new();
        write_entry(&mut entry, place, &target);
        let line = Bytes::from(line_of(generation, &[entry.as_bytes()]));
        inner.log.push_back(Change { generation, entry: Bytes::from(entry), line });
        if inner.log.len() > CHANGES_KEPT {
            inner.log.pop_front();
        }
        inner.generation = generation;
        inner.made.push(Instant::now());
        drop(inner);
        self.news.send_replace(generation);
        generation
    }

    /// The control side has restarted and knows of no change before.
    pub fn forget_changes(&self) {
        self.inner().log.clear();
    }

    /// Tells each new generation.
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    pub fn generation(&self) -> u64 {
        self.inner().generation
    }

    /// When a generation was made.
    pub fn made(&self, generation: u64) -> Option<Instant> {
        let at = generation.checked_sub(FIRST)?;
        self.inner().made.get(usize::try_from(at).ok()?).copied()
    }

    /// All targets as they are now.
    pub fn targets(&self) -> (u64, Vec<Target>) {
        let inner = self.inner();
        (inner.generation, inner.targets.clone())
    }

    /// The changes after a generation, so many at most; none where they are not all known any more.
    pub fn changes_after(&self, generation: u64, most: usize) -> Option<Vec<Change>> {
        let inner = self.inner();
        if generation > inner.generation {
            return None;
        }
        let behind = usize::try_from(inner.generation - generation).ok()?;
        let start = inner.log.len().checked_sub(behind)?;
        Some(inner.log.range(start..).take(most).cloned().collect())
    }

    /// A whole list from which the changes until now are known. It is serialized when none is at hand.
    pub async fn whole(self: &Arc<Truth>) -> Arc<Whole> {
        let mut kept = self.whole.lock().await;
        if let Some(whole) = kept.as_ref() {
            let near = self.generation() - whole.generation <= CHANGES_AFTER_WHOLE;
            if near && self.changes_after(whole.generation, 0).is_some() {
                return whole.clone();
            }
        }
        let (generation, targets) = self.targets();
        let written = tokio::task::spawn_blocking(move || serialize(generation, &targets));
        let whole = Arc::new(written.await.unwrap_or(Whole { generation, pieces: Vec::new() }));
        *kept = Some(whole.clone());
        whole
    }
}

fn write_entry(to: &mut String, place: u32, target: &Target) {
    let name = name_of(place);
    // Writing into a string cannot fail.
    let _ = write!(
        to,
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"partner\",\
         \"cell\":{place},\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}}",
        target.address
    );
}

/// A line with some entries that have changed up to a generation.
pub fn line_of(generation: u64, entries: &[&[u8]]) -> Vec<u8> {
    let mut line = format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[").into_bytes();
    line.extend(entries.join(&b','));
    line.extend_from_slice(b"]}\n");
    line
}

fn serialize(generation: u64, targets: &[Target]) -> Whole {
    let mut pieces = Vec::new();
    let mut piece = String::with_capacity(PIECE + 256);
    let _ = write!(piece, "{{\"generation\":{generation},\"reset\":true,\"instances\":[");
    for (place, target) in (0..).zip(targets) {
        if place > 0 {
            piece.push(',');
        }
        write_entry(&mut piece, place, target);
        if piece.len() >= PIECE {
            let full = std::mem::replace(&mut piece, String::with_capacity(PIECE + 256));
            pieces.push(Bytes::from(full));
        }
    }
    piece.push_str("]}\n");
    pieces.push(Bytes::from(piece));
    Whole { generation, pieces }
}
