//! Guards against corruption that is not reported, or that hides messages or their attempts.

use std::collections::BTreeSet;

use reeddock::MessageId;
use reeddock_wal::memory_storage::MemoryStorage;
use reeddock_wal::{Storage, WriteAheadLog};

use crate::harness::{mixed_records, open, reopen, FIRST_SEGMENT, NOW};
use crate::load::Load;
use crate::model::Model;
use crate::support::accepted;

/// Compares a log that was read after a bit flip in `file` with the reference model of what was written.
fn check_after_flip(log: &WriteAheadLog, model: &Model, file: &str, place: &str) {
    assert!(!log.verification().is_sound(), "{place}: corruption not detected");
    let reported: String = log.verification().corruptions.iter().map(ToString::to_string).collect();
    assert!(reported.contains(file), "{place}: file not named in {reported}");
    let orphans: BTreeSet<MessageId> = log.index().orphans().cloned().collect();
    for (id, attempts) in &model.pending {
        let key = MessageId(id.as_str().into());
        let Some(pending) = log.index().get(&key) else {
            // The report names the id, or at least one of its halves if the flipped bit is in the id.
            let named = orphans.contains(&key) || reported.contains(&id[..4]) || reported.contains(&id[5..]);
            assert!(named, "{place}: {id} is missing and not reported: {reported}");
            continue;
        };
        let was_sent = attempts.iter().any(|state| !state.proves_not_executed());
        let possibly_executed = pending.records_lost
            || pending.attempts.iter().any(|attempt| !attempt.state.proves_not_executed());
        assert!(!was_sent || possibly_executed, "{place}: {id} was sent, but counts as never executed");
    }
    // A finished message is either still finished or counts as possibly executed.
    if let Some(done) = log.index().get(&MessageId("cccc-done".into())) {
        assert!(
            done.records_lost || !done.attempts.is_empty(),
            "{place}: cccc-done is pending, but counts as never executed"
        );
    }
}

#[test]
fn any_flipped_bit_is_reported_and_hides_no_message_or_execution() {
    let (memory, model) = mixed_records();
    let files = memory.files().unwrap();
    let mut flips = 0;
    for (file, size) in files.iter().filter(|(file, _)| *file != "ledger.reserve") {
        for offset in 0..*size as usize {
            for bit in [0, 3, 7] {
                flips += 1;
                let corrupt = memory.after_kill();
                corrupt.flip_bit(file, offset, bit);
                let place = format!("{file}, byte {offset}, bit {bit}");
                check_after_flip(&reopen(&corrupt), &model, file, &place);
            }
        }
    }
    assert!(flips > 1500, "{flips} bits were flipped, expected more than 1500");
}

#[test]
fn unreadable_bytes_after_the_last_record_are_kept_and_not_appended_to() {
    for unreadable in [vec![0; 700], (0..700).map(|n| (n * 7 % 251) as u8).collect::<Vec<u8>>()] {
        let (memory, model) = mixed_records();
        let mut bytes = memory.bytes(FIRST_SEGMENT);
        bytes.extend(&unreadable);
        memory.write_file(FIRST_SEGMENT, &bytes);
        let mut log = open(&memory);
        assert!(!log.verification().is_sound());
        assert_eq!(log.index().counts().messages, model.pending.len());
        log.append(&[accepted("later", 10)], NOW).unwrap();
        assert_eq!(memory.bytes(FIRST_SEGMENT), bytes, "the segment with unreadable bytes was changed");
        assert!(reopen(&memory).index().get(&MessageId("later".into())).is_some());
        // The segment is quarantined when it has no more live records.
        let mut load = Load::new(3, 300);
        load.model = Model { pending: model.pending.clone(), notices: Default::default() };
        load.model.pending.insert("later".into(), Vec::new());
        load.append_groups(&mut log, 600).unwrap();
        assert!(memory.files().unwrap().contains_key(&format!("damaged-{FIRST_SEGMENT}")));
    }
}

#[test]
fn missing_segment_is_reported_by_name() {
    let memory = MemoryStorage::default();
    let mut log = open(&memory);
    for n in 0..40 {
        log.append(&[accepted(&format!("e{n}"), 300)], NOW).unwrap();
    }
    let mut without_segment = memory.after_kill();
    without_segment.remove("ledger-000000000002").unwrap();
    let log = reopen(&without_segment);
    assert_eq!(log.verification().corruptions[0].to_string(), "ledger-000000000002 is missing");
    // Messages before the missing segment may have been sent; messages after it were not.
    let pending = log.index().pending();
    assert!(pending.first().unwrap().records_lost && !pending.last().unwrap().records_lost);
}
