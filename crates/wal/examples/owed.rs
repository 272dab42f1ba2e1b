//! Measures the cost of many pending messages: memory, disk space, the duration of a start, and finishing
//! them while new ones arrive. Each command prints one JSON line, and needs a process of its own because the
//! memory of the process is measured.
//!
//!     cargo run --release -p reeddock-wal --example owed -- fill FOLDER COUNT BODY_BYTES [DESTINATIONS]
//!     cargo run --release -p reeddock-wal --example owed -- start FOLDER COUNT BODY_BYTES
//!     cargo run --release -p reeddock-wal --example owed -- drain FOLDER COUNT BODY_BYTES NEW_PER_FINISHED

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reeddock_wal::{AcceptedMessage, Record, SyncPolicy, WriteAheadLog};

/// Number of messages in one append.
const MESSAGES_PER_APPEND: u64 = 16;
/// Default number of destinations of the messages.
const DEFAULT_DESTINATIONS: u64 = 320_000;

fn id(number: u64) -> String {
    format!("{number:08x}-4c1e-4a2b-9d3f-{number:012x}")
}

fn message(number: u64, body: &Bytes, destinations: u64) -> AcceptedMessage {
    AcceptedMessage {
        idempotency_key: None,
        id: id(number),
        class: "order".into(),
        tenant: None,
        ordering_key: None,
        destination: number % destinations,
        deadline_unix_us: u64::MAX / 2,
        body: body.clone(),
    }
}

/// Returns a value of `/proc/self/status` in bytes; 0 if the system does not have the value.
fn process_memory_bytes(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Returns the size of all files of a folder in bytes.
fn disk_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
}

/// Accepts `count` messages.
fn fill(log: &mut WriteAheadLog, count: u64, body: &Bytes, destinations: u64) {
    for first in (0..count).step_by(MESSAGES_PER_APPEND as usize) {
        let records: Vec<Record> = (first..count.min(first + MESSAGES_PER_APPEND))
            .map(|n| Record::Accepted(message(n, body, destinations)))
            .collect();
        log.append(&records, Duration::ZERO).expect("the folder has space for the records");
    }
}

/// Finishes all pending messages, oldest first, and accepts `new_per_finished` new ones for each. Returns the
/// number of finished messages.
fn finish_all(log: &mut WriteAheadLog, count: u64, body: &Bytes, new_per_finished: f64) -> u64 {
    let (mut oldest, mut newest, mut new_messages_due) = (0, count, 0.0);
    let started = Instant::now();
    while oldest < newest {
        let mut records = Vec::new();
        let last = newest.min(oldest + MESSAGES_PER_APPEND);
        for number in oldest..last {
            records.push(Record::AttemptStarted {
                id: id(number),
                number: 0,
                endpoint: "target".into(),
                started_at_unix_us: 1,
            });
            records.push(Record::Finished { id: id(number), notice: None });
            new_messages_due += new_per_finished;
        }
        oldest = last;
        while new_messages_due >= 1.0 {
            records.push(Record::Accepted(message(newest, body, DEFAULT_DESTINATIONS)));
            newest += 1;
            new_messages_due -= 1.0;
        }
        log.append(&records, started.elapsed()).expect("the folder has space for the records");
    }
    oldest
}

enum Command {
    /// Accepts messages to `destinations` destinations.
    Fill { destinations: u64 },
    /// Opens the log.
    Start,
    /// Finishes all messages, and accepts `new_per_finished` new ones for each.
    Drain { new_per_finished: f64 },
}

impl Command {
    /// Parses the command and its own arguments.
    fn parse(words: &[String]) -> Result<Command, String> {
        let last = words.get(4);
        match words.first().map(String::as_str) {
            Some("fill") => {
                let destinations = last.and_then(|word| word.parse().ok()).unwrap_or(DEFAULT_DESTINATIONS);
                Ok(Command::Fill { destinations: destinations.max(1) })
            }
            Some("start") => Ok(Command::Start),
            Some("drain") => {
                let new_per_finished = last.and_then(|word| word.parse::<f64>().ok());
                let new_per_finished = new_per_finished.filter(|share| (0.0..1.0).contains(share));
                let new_per_finished =
                    new_per_finished.ok_or("expected NEW_PER_FINISHED of at least 0 and less than 1")?;
                Ok(Command::Drain { new_per_finished })
            }
            other => Err(format!("{:?}: expected fill, start or drain", other.unwrap_or_default())),
        }
    }

    /// Runs the command on an open log, and returns the number of finished messages.
    fn run(&self, log: &mut WriteAheadLog, count: u64, body: &Bytes) -> u64 {
        match self {
            Command::Fill { destinations } => {
                fill(log, count, body, *destinations);
                0
            }
            Command::Start => 0,
            Command::Drain { new_per_finished } => finish_all(log, count, body, *new_per_finished),
        }
    }
}

struct Arguments {
    name: String,
    command: Command,
    folder: PathBuf,
    count: u64,
    body_bytes: u64,
}

impl Arguments {
    fn parse(words: &[String]) -> Result<Arguments, String> {
        let number = |position: usize| words.get(position).and_then(|word| word.parse::<u64>().ok());
        let (Some(name), Some(folder), Some(count), Some(body_bytes)) =
            (words.first(), words.get(1), number(2), number(3))
        else {
            return Err("expected fill, start or drain, then FOLDER COUNT BODY_BYTES".to_owned());
        };
        let command = Command::parse(words)?;
        Ok(Arguments { name: name.clone(), command, folder: PathBuf::from(folder), count, body_bytes })
    }
}

/// Opens the log, runs the command and prints its JSON line.
fn run(arguments: &Arguments) {
    let Arguments { name, command, folder, count, body_bytes } = arguments;
    let body = Bytes::from(vec![7; *body_bytes as usize]);
    // Pending messages take at most two fifths of the folder's limit, so that the limit has to be more than
    // 2.5 times their size.
    let message_bytes = message(0, &body, DEFAULT_DESTINATIONS).reserved_bytes();
    let folder_bytes = count * message_bytes * 27 / 10 + 64_000_000;
    std::fs::create_dir_all(folder).expect("the folder can be created");
    let memory_before = process_memory_bytes("VmRSS");
    let open_started = Instant::now();
    let mut log = WriteAheadLog::open(folder, folder_bytes, SyncPolicy::Never)
        .expect("the write-ahead log can be opened");
    let open_seconds = open_started.elapsed().as_secs_f64();
    let work_started = Instant::now();
    let finished = command.run(&mut log, *count, &body);
    println!(
        "{{\"command\":\"{name}\",\"count\":{count},\"body\":{body_bytes},\"owed\":{},\"ended\":{finished},\
         \"open_s\":{open_seconds:.3},\"work_s\":{:.3},\"disk\":{},\"memory\":{},\"peak\":{}}}",
        log.index().counts().messages,
        work_started.elapsed().as_secs_f64(),
        disk_bytes(folder),
        process_memory_bytes("VmRSS").saturating_sub(memory_before),
        process_memory_bytes("VmHWM"),
    );
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match Arguments::parse(&words) {
        Ok(arguments) => {
            run(&arguments);
            ExitCode::SUCCESS
        }
        Err(expected) => {
            eprintln!("owed: {expected}");
            ExitCode::from(2)
        }
    }
}
