//! Real processes on a real folder, killed at random moments. Apart from the other tests: a process that is
//! being started holds the locks of the one that starts it for a moment.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_wal::{inspect, Record, Sync, WriteAheadLog};

#[allow(dead_code)]
#[path = "wal/load.rs"]
mod load;

use load::{accepted, started};

const FOLDER: &str = "REEDDOCK_LEDGER_TEST_FOLDER";
const MOST: u64 = 200_000;

/// Not a test of its own: what the killed process runs. It says each line once the write-ahead log has it.
#[test]
fn the_process_that_is_killed() {
    let Some(folder) = std::env::var_os(FOLDER) else { return };
    let mut log = WriteAheadLog::open(folder.as_ref(), MOST, Sync::Never).unwrap();
    let mut out = std::io::stdout().lock();
    let first = std::process::id();
    let mut open = std::collections::VecDeque::new();
    for n in 0..1_000_000u32 {
        let id = format!("p{first}-{n}");
        log.append(&[accepted(&id, 400), started(&id, 0)], Duration::ZERO).unwrap();
        writeln!(out, "taken {id}").unwrap();
        open.push_back(id);
        if open.len() > 20 {
            let id = open.pop_front().unwrap();
            log.append(&[Record::Finished { id: id.clone(), notice: None }], Duration::ZERO).unwrap();
            writeln!(out, "ended {id}").unwrap();
        }
    }
}

#[test]
fn killed_at_random_moments_all_that_was_said_stands() {
    let folder = tempfile::tempdir().unwrap();
    let mut chance = Pcg32::seed_from_u64(1);
    let mut open = std::collections::BTreeSet::new();
    for round in 0..12 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "the_process_that_is_killed", "--nocapture"])
            .env(FOLDER, folder.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap());
        // So many lines in, the process is killed; what it said until then is read to the end.
        let most = chance.random_range(1..900);
        let mut said = 0;
        for line in lines.lines() {
            let Ok(line) = line else { break };
            match line.split_once(' ') {
                Some(("taken", id)) => drop(open.insert(id.to_owned())),
                Some(("ended", id)) => drop(open.remove(id)),
                _ => continue,
            }
            said += 1;
            if said == most {
                child.kill().unwrap();
            }
        }
        child.wait().unwrap();
        assert!(said >= most, "round {round}: it ended by itself");
        let (index, verification) = inspect(folder.path()).unwrap();
        assert!(verification.is_sound(), "round {round}: {verification:?}");
        let found: std::collections::BTreeSet<String> =
            index.pending().iter().map(|u| u.id.0.to_string()).collect();
        // One more may have been written, and its line not.
        let missing: Vec<_> = open.difference(&found).collect();
        let more: Vec<_> = found.difference(&open).collect();
        assert!(missing.len() <= 1 && more.len() <= 1, "round {round}: {missing:?} missing, {more:?} more");
        assert!(index.pending().iter().all(|u| u.attempts.len() == 1 && !u.lost));
        open = found;
        // The next process takes this folder up.
        let size: u64 =
            std::fs::read_dir(folder.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(size <= MOST, "{size}");
    }
}
