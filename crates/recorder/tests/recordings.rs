//! Recordings of random event streams: the same bytes each time, reaching all of the delivery policy's interface, and
//! compared to the first line that differs.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

use reeddock_recorder::compare::{compare, ComparisonResult};
use reeddock_recorder::{streams, Recording, RecordingFormat, RecordingSummary};

/// Bytes that outlive the recording which writes them.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn recorded(seeds: impl Iterator<Item = u64>, form: RecordingFormat) -> (String, RecordingSummary) {
    let bytes = Shared::default();
    let recording = Recording::new(Box::new(bytes.clone()), form);
    seeds.for_each(|seed| streams::record(seed, &recording));
    let summary = recording.finish().unwrap();
    let text = String::from_utf8(bytes.0.lock().unwrap().clone()).unwrap();
    (text, summary)
}

/// Lines by what stands in them.
fn counts(text: &str, words: &[&str]) -> BTreeMap<String, usize> {
    let count = |word: &&str| text.lines().filter(|l| l.contains(*word)).count();
    words.iter().map(|w| ((*w).to_owned(), count(w))).collect()
}

#[test]
fn a_seed_gives_the_same_bytes_and_another_seed_others() {
    let first = recorded(1..=20, RecordingFormat::Full);
    assert_eq!(first, recorded(1..=20, RecordingFormat::Full));
    assert_ne!(first.1, recorded(2..=21, RecordingFormat::Full).1);
}

#[test]
fn streams_reach_every_input_request_and_outcome() {
    let (text, _) = recorded(1..=150, RecordingFormat::Full);
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
    let seen = counts(&text, &words);
    let missing: Vec<_> = seen.iter().filter(|(_, count)| **count < 5).collect();
    assert!(missing.is_empty(), "seldom or never: {missing:?}");
}

/// Stream, endpoint and destination of each line of a list.
fn listed(text: &str) -> impl Iterator<Item = (&str, &str, &str)> {
    text.lines().filter(|l| l.contains(" calls listed ")).map(|line| {
        let words: Vec<&str> = line.split(' ').collect();
        (words[0], words[3], words[4])
    })
}

#[test]
fn streams_have_the_hard_cases() {
    let (text, _) = recorded(1..=150, RecordingFormat::Full);
    let mut moved = 0;
    let mut home: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for (stream, endpoint, destination) in listed(&text) {
        let before = home.insert((stream, endpoint), destination);
        moved += usize::from(before.is_some_and(|b| b != destination));
    }
    assert!(moved > 20, "{moved} targets moved to another destination");

    let dropped = |l: &&str| l.contains(" returns dropped ");
    let many = text.lines().filter(dropped).filter(|l| l.matches(',').count() > 40).count();
    assert!(many > 2, "{many} whole lists dropped over 40 targets");

    // Calls that carry several messages, over those of the same stream and call.
    let mut calls: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for line in text.lines().filter(|l| l.contains(" asks dispatch ")) {
        let words: Vec<&str> = line.split(' ').collect();
        *calls.entry((words[0], words[5])).or_default() += 1;
    }
    let full = calls.values().filter(|messages| **messages > 2).count();
    assert!(full > 20, "{full} calls with over 2 envelopes");

    let turns: Vec<(&str, f64)> = text
        .lines()
        .filter(|l| l.contains(" calls turn "))
        .filter_map(|l| Some((l.split(' ').next()?, l.rsplit('=').next()?.parse().ok()?)))
        .collect();
    let between = |w: &[(&str, f64)]| (w[0].0 == w[1].0).then(|| w[1].1 - w[0].1);
    let steps: Vec<f64> = turns.windows(2).filter_map(between).collect();
    assert!(steps.iter().filter(|s| **s == 0.0).count() > 50, "steps that take no time");
    assert!(steps.iter().filter(|s| **s > 3_000.0).count() > 2, "jumps of an hour");
}

#[test]
fn digests_stand_for_the_same_lines() {
    let (lines, full) = recorded(1..=8, RecordingFormat::Full);
    let (digests, short) = recorded(1..=8, RecordingFormat::Digest);
    assert_eq!(full, short);
    assert_eq!(full.lines, lines.lines().count() as u64);
    let blocks: u64 = (1..=8)
        .map(|seed| lines.lines().filter(|l| l.starts_with(&format!("{seed} "))).count() as u64)
        .map(|of_stream| of_stream.div_ceil(reeddock_recorder::recording::BLOCK_LINES))
        .sum();
    assert_eq!(digests.lines().count() as u64, blocks);
}

fn keep(folder: &Path, name: &str, text: &str) {
    std::fs::write(folder.join(name), text).unwrap();
}

#[test]
fn a_changed_line_is_found() {
    let (left, right) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (text, _) = recorded(1..=3, RecordingFormat::Full);
    let lines: Vec<&str> = text.lines().collect();
    let at = lines.iter().rposition(|l| l.starts_with("2 asks dispatch ")).unwrap();
    let changed = lines[at].replace(" target=", " target=9");
    let other: Vec<&str> = [&lines[..at], &[changed.as_str()], &lines[at + 1..]].concat();
    keep(left.path(), "a.recording", &text);
    keep(right.path(), "a.recording", &(other.join("\n") + "\n"));
    keep(left.path(), "b.recording", &text);
    keep(right.path(), "b.recording", &text);
    keep(left.path(), "c.recording", &text);
    keep(right.path(), "c.recording", &(lines[..lines.len() - 1].join("\n") + "\n"));
    keep(left.path(), "d.recording", &text);
    let pairs = compare(left.path(), right.path()).unwrap();

    let ComparisonResult::Differs(first) = &pairs[0].result else { panic!("{:?}", pairs[0].result) };
    assert_eq!((first.line_number, first.forwarder.as_str()), (at as u64 + 1, "2"));
    assert_eq!((first.left[0].as_str(), first.right[0].as_str()), (lines[at], changed.as_str()));
    assert!(first.before.len() == 6 && first.before.iter().all(|l| l.starts_with("2 ")), "{first:?}");
    assert_eq!(first.left[1], first.right[1], "what follows is shown of both");

    assert_eq!(pairs[1].result, ComparisonResult::Equal { lines: lines.len() as u64 });
    let ComparisonResult::Differs(cut) = &pairs[2].result else { panic!("{:?}", pairs[2].result) };
    assert_eq!((cut.line_number, cut.right.len()), (lines.len() as u64, 0));
    assert_eq!(pairs[3].result, ComparisonResult::OnlyLeft);
}

#[test]
fn folders_without_recordings_are_refused() {
    let (empty, full) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    keep(full.path(), "a.recording", "1 calls list_ends\n");
    let refused = |left: &Path, right: &Path| compare(left, right).unwrap_err().to_string();
    assert!(refused(full.path(), empty.path()).contains("holds no recordings"));
    assert!(refused(&empty.path().join("none"), full.path()).contains("cannot be read"));
    keep(empty.path(), "a.recording", "");
    assert!(refused(empty.path(), empty.path()).contains("is empty"));
}
