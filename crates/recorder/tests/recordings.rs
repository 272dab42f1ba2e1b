//! Guards against recordings that differ between runs, that miss parts of the delivery policy's interface, or
//! whose differences the comparison doesn't report.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

use reeddock_recorder::compare::{compare, ComparisonResult};
use reeddock_recorder::{streams, Recording, RecordingFormat, RecordingSummary};

/// Output of a recording that stays readable after the recording is finished.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn record_streams(seeds: impl Iterator<Item = u64>, format: RecordingFormat) -> (String, RecordingSummary) {
    let bytes = SharedBuffer::default();
    let recording = Recording::new(Box::new(bytes.clone()), format);
    seeds.for_each(|seed| streams::record(seed, &recording));
    let summary = recording.finish().unwrap();
    let text = String::from_utf8(bytes.0.lock().unwrap().clone()).unwrap();
    (text, summary)
}

/// Counts the lines that contain each of the words.
fn line_counts(text: &str, words: &[&str]) -> BTreeMap<String, usize> {
    let count = |word: &&str| text.lines().filter(|line| line.contains(*word)).count();
    words.iter().map(|word| ((*word).to_owned(), count(word))).collect()
}

#[test]
fn same_seeds_record_same_bytes_and_other_seeds_differ() {
    let first = record_streams(1..=20, RecordingFormat::Full);
    assert_eq!(first, record_streams(1..=20, RecordingFormat::Full));
    assert_ne!(first.1, record_streams(2..=21, RecordingFormat::Full).1);
}

#[test]
fn streams_record_every_call_command_and_outcome() {
    let (text, _) = record_streams(1..=150, RecordingFormat::Full);
    let words = [
        " calls open ",
        " calls list_begins whole=true",
        " calls list_begins whole=false",
        " calls listed ",
        " calls list_ends",
        " calls list_broken",
        " calls list_failed ",
        " calls hand_in ",
        " calls recall ",
        " past=",
        " calls settled ",
        " calls reported ",
        " calls told_to_wait ",
        " calls end ",
        " calls leaving ",
        " calls alarm ",
        " calls probed ",
        " calls told ",
        " calls turn ",
        " outcome=completed",
        " outcome=error",
        " outcome=full wait=-",
        " outcome=full wait=0",
        " outcome=timed_out",
        " outcome=no_connection",
        " outcome=broken",
        " outcome=unsent",
        " outcome=unreadable",
        " over=false outcome=called_off",
        " over=true outcome=called_off",
        " asks dispatch ",
        " asks call_off ",
        " asks shed ",
        " asks break_off ",
        " asks wake ",
        " asks subscribe ",
        " asks log line=\"circuit opened",
        " asks log line=\"circuit closed",
        " returns forgotten ",
        " returns waits_with ",
        " returns sent_to ",
        " returns knows ",
    ];
    let counts = line_counts(&text, &words);
    let missing: Vec<_> = counts.iter().filter(|(_, count)| **count < 5).collect();
    assert!(missing.is_empty(), "recorded fewer than 5 times: {missing:?}");
}

/// Returns stream, endpoint and destination of each recorded entry of an endpoint list.
fn list_entries(text: &str) -> impl Iterator<Item = (&str, &str, &str)> {
    text.lines().filter(|l| l.contains(" calls listed ")).map(|line| {
        let words: Vec<&str> = line.split(' ').collect();
        (words[0], words[3], words[4])
    })
}

#[test]
fn streams_contain_moved_endpoints_mass_removals_batches_and_clock_jumps() {
    let (text, _) = record_streams(1..=150, RecordingFormat::Full);
    let mut moved = 0;
    let mut destinations: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for (stream, endpoint, destination) in list_entries(&text) {
        let previous = destinations.insert((stream, endpoint), destination);
        moved += usize::from(previous.is_some_and(|previous| previous != destination));
    }
    assert!(moved > 20, "{moved} endpoints moved to another destination, expected more than 20");

    let removes_endpoints = |l: &&str| l.contains(" returns dropped ");
    let mass_removals =
        text.lines().filter(removes_endpoints).filter(|l| l.matches(',').count() > 40).count();
    assert!(
        mass_removals > 2,
        "{mass_removals} complete lists removed more than 41 endpoints, expected more than 2"
    );

    // Number of messages in each request, by stream and request.
    let mut requests: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for line in text.lines().filter(|l| l.contains(" asks dispatch ")) {
        let words: Vec<&str> = line.split(' ').collect();
        *requests.entry((words[0], words[5])).or_default() += 1;
    }
    let batches = requests.values().filter(|messages| **messages > 2).count();
    assert!(batches > 20, "{batches} requests carry more than 2 messages, expected more than 20");

    let run_times: Vec<(&str, f64)> = text
        .lines()
        .filter(|l| l.contains(" calls turn "))
        .filter_map(|l| Some((l.split(' ').next()?, l.rsplit('=').next()?.parse().ok()?)))
        .collect();
    let interval = |pair: &[(&str, f64)]| (pair[0].0 == pair[1].0).then(|| pair[1].1 - pair[0].1);
    let intervals: Vec<f64> = run_times.windows(2).filter_map(interval).collect();
    assert!(intervals.iter().filter(|s| **s == 0.0).count() > 50, "too few steps that take no time");
    assert!(intervals.iter().filter(|s| **s > 3_000.0).count() > 2, "too few clock jumps of an hour");
}

#[test]
fn both_formats_cover_the_same_lines() {
    let (lines, full_summary) = record_streams(1..=8, RecordingFormat::Full);
    let (digests, digest_summary) = record_streams(1..=8, RecordingFormat::Digest);
    assert_eq!(full_summary, digest_summary);
    assert_eq!(full_summary.lines, lines.lines().count() as u64);
    let blocks: u64 = (1..=8)
        .map(|seed| lines.lines().filter(|l| l.starts_with(&format!("{seed} "))).count() as u64)
        .map(|line_count| line_count.div_ceil(reeddock_recorder::recording::LINES_PER_BLOCK))
        .sum();
    assert_eq!(digests.lines().count() as u64, blocks);
}

fn write_recording(folder: &Path, name: &str, text: &str) {
    std::fs::write(folder.join(name), text).unwrap();
}

#[test]
fn comparison_reports_first_difference_of_each_file() {
    let (left, right) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (text, _) = record_streams(1..=3, RecordingFormat::Full);
    let lines: Vec<&str> = text.lines().collect();
    let at = lines.iter().rposition(|l| l.starts_with("2 asks dispatch ")).unwrap();
    let changed = lines[at].replace(" target=", " target=9");
    let other: Vec<&str> = [&lines[..at], &[changed.as_str()], &lines[at + 1..]].concat();
    write_recording(left.path(), "a.recording", &text);
    write_recording(right.path(), "a.recording", &(other.join("\n") + "\n"));
    write_recording(left.path(), "b.recording", &text);
    write_recording(right.path(), "b.recording", &text);
    write_recording(left.path(), "c.recording", &text);
    write_recording(right.path(), "c.recording", &(lines[..lines.len() - 1].join("\n") + "\n"));
    write_recording(left.path(), "d.recording", &text);
    let files = compare(left.path(), right.path()).unwrap();

    let ComparisonResult::Differs(first) = &files[0].result else {
        panic!("the changed file must be reported as different, found {:?}", files[0].result)
    };
    assert_eq!((first.line_number, first.forwarder.as_str()), (at as u64 + 1, "2"));
    assert_eq!((first.left[0].as_str(), first.right[0].as_str()), (lines[at], changed.as_str()));
    assert!(first.before.len() == 6 && first.before.iter().all(|l| l.starts_with("2 ")), "{first:?}");
    assert_eq!(first.left[1], first.right[1], "the lines after the difference are shown for both sides");

    assert_eq!(files[1].result, ComparisonResult::Equal { lines: lines.len() as u64 });
    let ComparisonResult::Differs(cut) = &files[2].result else {
        panic!("the shortened file must be reported as different, found {:?}", files[2].result)
    };
    assert_eq!((cut.line_number, cut.right.len()), (lines.len() as u64, 0));
    assert_eq!(files[3].result, ComparisonResult::OnlyLeft);
}

#[test]
fn comparison_rejects_folders_without_recordings_and_empty_files() {
    let (empty, full) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    write_recording(full.path(), "a.recording", "1 calls list_ends\n");
    let error_text = |left: &Path, right: &Path| compare(left, right).unwrap_err().to_string();
    assert!(error_text(full.path(), empty.path()).contains("holds no recordings"));
    assert!(error_text(&empty.path().join("none"), full.path()).contains("cannot be read"));
    write_recording(empty.path(), "a.recording", "");
    assert!(error_text(empty.path(), empty.path()).contains("is empty"));
}
