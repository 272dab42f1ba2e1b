//! What a large number of owed messages costs: memory and disk for each, a start with them, and ending them
//! beside new ones. Each command prints one JSON line; run each in a process of its own, as memory is read from
//! the process.
//!
//!     cargo run --release -p reeddock-wal --example owed -- fill FOLDER COUNT BODY_BYTES [DESTINATIONS]
//!     cargo run --release -p reeddock-wal --example owed -- start FOLDER COUNT BODY_BYTES
//!     cargo run --release -p reeddock-wal --example owed -- drain FOLDER COUNT BODY_BYTES NEW_FOR_EACH_ENDED

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reeddock_wal::{Accepted, Record, Sync, WriteAheadLog};

/// Messages in one append.
const GROUP: u64 = 16;
/// Destinations that messages are spread over, where none are named.
const DESTINATIONS: u64 = 320_000;

fn id(number: u64) -> String {
    format!("{number:08x}-4c1e-4a2b-9d3f-{number:012x}")
}

fn accepted(number: u64, body: &Bytes, destinations: u64) -> Accepted {
    Accepted {
        idempotency_key: None,
        id: id(number),
        class: "order".into(),
        tenant: None,
        key: None,
        destination: number % destinations,
        deadline: u64::MAX / 2,
        body: body.clone(),
    }
}

/// A line of `/proc/self/status` in bytes; 0 where the system has none.
fn memory(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Bytes of all files of a folder.
fn disk(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
}

/// Takes messages on until so many are owed.
fn fill(log: &mut WriteAheadLog, count: u64, body: &Bytes, destinations: u64) {
    for first in (0..count).step_by(GROUP as usize) {
        let group: Vec<Record> = (first..count.min(first + GROUP))
            .map(|n| Record::Accepted(accepted(n, body, destinations)))
            .collect();
        log.append(&group, Duration::ZERO).expect("there is room");
    }
}

/// Ends all that is owed, the oldest first, and takes so many new ones on for each that ends. Gives how many
/// messages ended.
fn drain(log: &mut WriteAheadLog, count: u64, body: &Bytes, new_for_each: f64) -> u64 {
    let (mut oldest, mut newest, mut due) = (0, count, 0.0);
    let started = Instant::now();
    while oldest < newest {
        let mut group = Vec::new();
        let last = newest.min(oldest + GROUP);
        for number in oldest..last {
            group.push(Record::AttemptStarted { id: id(number), no: 0, endpoint: "target".into(), at: 1 });
            group.push(Record::Finished { id: id(number), notice: None });
            due += new_for_each;
        }
        oldest = last;
        while due >= 1.0 {
            group.push(Record::Accepted(accepted(newest, body, DESTINATIONS)));
            newest += 1;
            due -= 1.0;
        }
        log.append(&group, started.elapsed()).expect("there is room");
    }
    oldest
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize| words.get(n).and_then(|w| w.parse::<u64>().ok());
    let (Some(command), Some(folder), Some(count), Some(body_bytes)) =
        (words.first(), words.get(1), number(2), number(3))
    else {
        eprintln!("owed: expected fill, start or drain, then FOLDER COUNT BODY_BYTES");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let body = Bytes::from(vec![7; body_bytes as usize]);
    // What is owed may have two fifths of the folder.
    let most = count * WriteAheadLog::size_of(&accepted(0, &body, DESTINATIONS)) * 27 / 10 + 64_000_000;
    std::fs::create_dir_all(folder).expect("the folder can be made");
    let before = memory("VmRSS");
    let at = Instant::now();
    let mut log = WriteAheadLog::open(folder, most, Sync::Never).expect("the ledger opens");
    let opened = at.elapsed().as_secs_f64();
    let at = Instant::now();
    let ended = match command.as_str() {
        "fill" => {
            let destinations = number(4).unwrap_or(DESTINATIONS).max(1);
            fill(&mut log, count, &body, destinations);
            0
        }
        "drain" => {
            let share = words.get(4).and_then(|w| w.parse::<f64>().ok()).filter(|s| (0.0..1.0).contains(s));
            let Some(share) = share else {
                eprintln!("owed: expected NEW_FOR_EACH_ENDED from 0 to under 1");
                return ExitCode::from(2);
            };
            drain(&mut log, count, &body, share)
        }
        "start" => 0,
        other => {
            eprintln!("owed: {other:?}: expected fill, start or drain");
            return ExitCode::from(2);
        }
    };
    println!(
        "{{\"command\":\"{command}\",\"count\":{count},\"body\":{body_bytes},\"owed\":{},\"ended\":{ended},\
         \"open_s\":{opened:.3},\"work_s\":{:.3},\"disk\":{},\"memory\":{},\"peak\":{}}}",
        log.index().counts().0,
        at.elapsed().as_secs_f64(),
        disk(folder),
        memory("VmRSS").saturating_sub(before),
        memory("VmHWM"),
    );
    ExitCode::SUCCESS
}
