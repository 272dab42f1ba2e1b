//! The single file of before: frames of length and checksum, one behind the other, with no head. It is read
//! once, at the first start of a program that writes segments.

use crate::pending_index::{PendingIndex, RecordLocation};
use crate::record::{Accepted, View};

pub const NAME: &str = "ledger";
const FRAME: usize = 8;
/// A body of 64 KiB and its names.
const LONGEST: usize = 1 << 20;

/// The record that begins here, and the length of its frame.
fn whole(bytes: &[u8]) -> Option<(View<'_>, usize)> {
    let frame = bytes.get(..FRAME)?;
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    let sum = u32::from_le_bytes([frame[4], frame[5], frame[6], frame[7]]);
    if length == 0 || length > LONGEST {
        return None;
    }
    let record = bytes.get(FRAME..FRAME + length)?;
    if crc32fast::hash(record) != sum {
        return None;
    }
    Some((View::read(record)?, FRAME + length))
}

/// Reads all of it; places and lengths of what can't be read.
pub fn read(bytes: &[u8], index: &mut PendingIndex) -> Vec<(u64, u64)> {
    let mut unread = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if let Some((record, length)) = whole(&bytes[at..]) {
            index.apply(record, RecordLocation { segment: 0, offset: at as u64, length });
            at += length;
            continue;
        }
        let started = at;
        while at < bytes.len() && whole(&bytes[at..]).is_none() {
            at += 1;
        }
        // A torn tail and a damaged one can't be told apart here, where a length has no checksum.
        index.gap();
        unread.push((started as u64, (at - started) as u64));
    }
    unread
}

/// The message whose record stands here.
pub fn accepted_at(bytes: &[u8], spot: RecordLocation) -> Option<Accepted> {
    whole(bytes.get(spot.offset as usize..)?)?.0.accepted()
}
