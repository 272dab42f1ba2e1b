//! Guards against records that are lost when a process is killed at a random moment.
//!
//! These tests have a test program of their own, because a child process briefly inherits the file locks of
//! its parent, so that other tests in the same program could find their folders locked.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_wal::{inspect, Inspection, SyncPolicy, WriteAheadLog};

mod support;

use support::{accepted, finished, started};

/// Environment variable with the folder of the child process; without the variable, the child's test does
/// nothing.
const FOLDER_VARIABLE: &str = "REEDDOCK_WAL_TEST_FOLDER";
const FOLDER_BYTES: u64 = 200_000;
/// First words of the lines that the child process prints; the id of a message follows.
const ACCEPTED: &str = "accepted";
const FINISHED: &str = "finished";

/// Runs in the child process, and prints a line after each append.
#[test]
fn child_process_appends_until_it_is_killed() {
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
            .args(["--exact", "child_process_appends_until_it_is_killed", "--nocapture"])
            .env(FOLDER_VARIABLE, folder.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap());
        // The process is killed after `kill_after` lines; the lines that it printed before it ended are read
        // too.
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
        assert!(printed >= kill_after, "round {round}: the child process ended before it was killed");
        let Inspection { index, verification } = inspect(folder.path()).unwrap();
        assert!(verification.is_sound(), "round {round}: corruption reported: {verification:?}");
        let found: BTreeSet<String> =
            index.pending().iter().map(|message| message.id.0.to_string()).collect();
        // The last append may have been written before its line was printed.
        let missing: Vec<_> = pending.difference(&found).collect();
        let unexpected: Vec<_> = found.difference(&pending).collect();
        assert!(
            missing.len() <= 1 && unexpected.len() <= 1,
            "round {round}: {missing:?} missing, {unexpected:?} unexpected"
        );
        assert!(index.pending().iter().all(|message| message.attempts.len() == 1 && !message.records_lost));
        pending = found;
        // The next round opens the same folder.
        let size: u64 =
            std::fs::read_dir(folder.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(size <= FOLDER_BYTES, "{size} bytes in the folder, limit {FOLDER_BYTES}");
    }
}
