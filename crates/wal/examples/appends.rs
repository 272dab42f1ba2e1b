//! Measures the latency of appends during compaction, and the duration of a start with many pending messages,
//! in a folder on disk.
//!
//!     cargo run --release -p reeddock-wal --example appends -- FOLDER PENDING_MB BODY_BYTES SECONDS

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use reeddock_wal::{AcceptedMessage, Record, SyncPolicy, WriteAheadLog};

/// Number of messages in one append while the log is filled.
const MESSAGES_PER_FILL_APPEND: u64 = 16;
/// Number of messages that one measured append accepts. The append starts as many attempts and finishes as
/// many messages.
const MESSAGES_PER_MEASURED_APPEND: u64 = 8;
const MEGABYTE: u64 = 1_000_000;

struct Arguments {
    folder: PathBuf,
    pending_bytes: u64,
    body_bytes: u64,
    duration: Duration,
}

impl Arguments {
    fn parse(words: &[String]) -> Option<Arguments> {
        let number = |position: usize| words.get(position).and_then(|word| word.parse::<u64>().ok());
        Some(Arguments {
            folder: PathBuf::from(words.first()?),
            pending_bytes: number(1)? * MEGABYTE,
            body_bytes: number(2)?,
            duration: Duration::from_secs(number(3)?),
        })
    }

    /// Returns the folder's limit in bytes. Pending messages take at most two fifths of it, so that the limit
    /// has to be more than 2.5 times their size.
    fn folder_bytes(&self) -> u64 {
        self.pending_bytes * 27 / 10
    }
}

fn id(number: u64) -> String {
    format!("{number:08x}-4c1e-4a2b-9d3f-{number:012x}")
}

fn message(number: u64, body: &Bytes) -> AcceptedMessage {
    AcceptedMessage {
        id: id(number),
        class: "order".into(),
        tenant: None,
        ordering_key: None,
        destination: number % 100,
        deadline_unix_us: u64::MAX / 2,
        body: body.clone(),
        idempotency_key: None,
    }
}

fn open(folder: &Path, folder_bytes: u64) -> WriteAheadLog {
    WriteAheadLog::open(folder, folder_bytes, SyncPolicy::Never).expect("the write-ahead log can be opened")
}

/// A log with pending messages, all of the same size.
struct FilledLog {
    log: WriteAheadLog,
    /// Numbers of the pending messages, oldest first.
    pending: VecDeque<u64>,
    /// Number of the next message.
    next_number: u64,
    body: Bytes,
    /// Bytes reserved for each message.
    message_bytes: u64,
}

impl FilledLog {
    /// Accepts messages until the wanted number of bytes is pending.
    fn fill(log: WriteAheadLog, arguments: &Arguments) -> FilledLog {
        let body = Bytes::from(vec![7; arguments.body_bytes as usize]);
        let message_bytes = message(0, &body).reserved_bytes();
        let mut filled = FilledLog { log, pending: VecDeque::new(), next_number: 0, body, message_bytes };
        while filled.pending_bytes() < arguments.pending_bytes && filled.log.free_bytes() > 20 * message_bytes
        {
            let records: Vec<Record> = (0..MESSAGES_PER_FILL_APPEND).map(|_| filled.accept_next()).collect();
            filled.log.append(&records, Duration::ZERO).expect("the folder has space for the records");
        }
        filled
    }

    fn pending_bytes(&self) -> u64 {
        self.pending.len() as u64 * self.message_bytes
    }

    fn accept_next(&mut self) -> Record {
        let number = self.next_number;
        self.next_number += 1;
        self.pending.push_back(number);
        Record::Accepted(message(number, &self.body))
    }

    /// Returns the records of new messages with an attempt each, and of as many old messages that finish.
    fn next_measured_records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for _ in 0..MESSAGES_PER_MEASURED_APPEND {
            let number = self.next_number;
            records.push(self.accept_next());
            records.push(Record::AttemptStarted {
                id: id(number),
                number: 0,
                endpoint: "target".into(),
                started_at_unix_us: 1,
            });
            if let Some(oldest) = self.pending.pop_front() {
                records.push(Record::Finished { id: id(oldest), notice: None });
            }
        }
        records
    }
}

/// Appends for `duration`, and prints the latency of the appends.
fn measure_appends(filled: &mut FilledLog, duration: Duration) {
    let mut latencies =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("the bounds of the histogram are valid");
    let started = Instant::now();
    let mut bytes = 0;
    while started.elapsed() < duration {
        let records = filled.next_measured_records();
        let append_started = Instant::now();
        filled.log.append(&records, started.elapsed()).expect("the folder has space for the records");
        latencies.saturating_record(append_started.elapsed().as_micros() as u64);
        bytes += MESSAGES_PER_MEASURED_APPEND * filled.message_bytes;
    }
    println!(
        "{} pending, {} MB; {} appends, {:.0} MB/s: p50 {} us, p99 {} us, p99.9 {} us, maximum {} us",
        filled.pending.len(),
        filled.pending_bytes() / MEGABYTE,
        latencies.len(),
        bytes as f64 / 1e6 / started.elapsed().as_secs_f64(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.value_at_quantile(0.999),
        latencies.max()
    );
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let Some(arguments) = Arguments::parse(&words) else {
        eprintln!("appends: expected FOLDER PENDING_MB BODY_BYTES SECONDS");
        return ExitCode::from(2);
    };
    std::fs::create_dir_all(&arguments.folder).expect("the folder can be created");
    let log = open(&arguments.folder, arguments.folder_bytes());
    let mut filled = FilledLog::fill(log, &arguments);
    measure_appends(&mut filled, arguments.duration);
    drop(filled);
    let started = Instant::now();
    let log = open(&arguments.folder, arguments.folder_bytes());
    println!("start with {} pending: {:?}", log.index().counts().messages, started.elapsed());
    ExitCode::SUCCESS
}
