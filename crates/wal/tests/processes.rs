//! Real processes on a real folder, killed at random moments.
//!
//! This is a test program of its own: a process that is being started holds the file locks of the one that starts it
//! for a moment, so that other tests beside it could find their folders locked.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_wal::{inspect, Inspection, SyncPolicy, WriteAheadLog};

mod support;

use support::{accepted, finished, started};

/// Names the folder to the process that is killed; without it that "test" does nothing.
const FOLDER_VARIABLE: &str = "REEDDOCK_WAL_TEST_FOLDER";
const FOLDER_BYTES: u64 = 200_000;
/// What the process that is killed says of a message, before its id.
const ACCEPTED: &str = "accepted";
const FINISHED: &str = "finished";

/// Not a test of its own: what the killed process runs. It prints each line once the write-ahead log has the records.
#[test]
fn the_process_that_is_killed() {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else { return };
    let mut log = WriteAheadLog::open(folder.as_ref(), FOLDER_BYTES, SyncPolicy::Never).unwrap();
    let mut out = std::io::stdout().lock();
    let process = std::process::id();
    let mut pending = std::collections::VecDeque::new();
    for n in 0..1_000_000u32 {
        let id = format!("p{process}-{n}");
        log.append(&[accepted(&id, 400), started(&id, 0)], Duration::ZERO).unwrap();
        writeln!(out, "{ACCEPTED} {id}").unwrap();
        pending.push_back(id);
        if pending.len() > 20 {
            let id = pending.pop_front().unwrap();
            log.append(&[finished(&id)], Duration::ZERO).unwrap();
            writeln!(out, "{FINISHED} {id}").unwrap();
        }
    }
}

#[test]
fn kills_at_random_moments_lose_no_record_whose_append_returned() {
    let folder = tempfile::tempdir().unwrap();
    let mut random = Pcg32::seed_from_u64(1);
    let mut pending = BTreeSet::new();
    for round in 0..12 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "the_process_that_is_killed", "--nocapture"])
            .env(FOLDER_VARIABLE, folder.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap());
        // After so many lines the process is killed; what it printed until then is read to the end.
        let kill_after = random.random_range(1..900);
        let mut printed = 0;
        for line in lines.lines() {
            let Ok(line) = line else { break };
            match line.split_once(' ') {
                Some((ACCEPTED, id)) => drop(pending.insert(id.to_owned())),
                Some((FINISHED, id)) => drop(pending.remove(id)),
                _ => continue,
            }
            printed += 1;
            if printed == kill_after {
                child.kill().unwrap();
            }
        }
        child.wait().unwrap();
        assert!(printed >= kill_after, "round {round}: it ended by itself");
        let Inspection { index, verification } = inspect(folder.path()).unwrap();
        assert!(verification.is_sound(), "round {round}: {verification:?}");
        let found: BTreeSet<String> =
            index.pending().iter().map(|message| message.id.0.to_string()).collect();
        // One more group may have been written, and its line not.
        let missing: Vec<_> = pending.difference(&found).collect();
        let more: Vec<_> = found.difference(&pending).collect();
        assert!(missing.len() <= 1 && more.len() <= 1, "round {round}: {missing:?} missing, {more:?} more");
        assert!(index.pending().iter().all(|message| message.attempts.len() == 1 && !message.records_lost));
        pending = found;
        // The next process goes on in this folder.
        let size: u64 =
            std::fs::read_dir(folder.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(size <= FOLDER_BYTES, "{size}");
    }
}
