//! How long appends take while the write-ahead log is compacted, and a start with what is owed: on a real folder.
//!
//!     cargo run --release -p reeddock-wal --example appends -- FOLDER OWED_MB BODY_BYTES SECONDS

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use reeddock_wal::{Accepted, Record, Sync, WriteAheadLog};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize| words.get(n).and_then(|w| w.parse::<u64>().ok());
    let (Some(folder), Some(owed_mb), Some(body), Some(seconds)) =
        (words.first(), number(1), number(2), number(3))
    else {
        eprintln!("appends: expected FOLDER OWED_MB BODY_BYTES SECONDS");
        std::process::exit(2);
    };
    let most = owed_mb * 1_000_000 * 27 / 10;
    std::fs::create_dir_all(folder).expect("the folder can be made");
    let body = Bytes::from(vec![7; body as usize]);
    let accepted = |n: u64| {
        Record::Accepted(Accepted {
            idempotency_key: None,
            id: format!("{n:08x}-4c1e-4a2b-9d3f-{n:012x}"),
            class: "order".into(),
            tenant: None,
            key: None,
            destination: n % 100,
            deadline: u64::MAX / 2,
            body: body.clone(),
        })
    };
    let id = |n: u64| format!("{n:08x}-4c1e-4a2b-9d3f-{n:012x}");
    let mut log = WriteAheadLog::open(folder.as_ref(), most, Sync::Never).expect("the ledger opens");
    let mut open: VecDeque<u64> = VecDeque::new();
    let mut n = 0;
    // Filled until so much is owed, in groups as a turn brings them.
    let size = match accepted(0) {
        Record::Accepted(accepted) => WriteAheadLog::size_of(&accepted),
        _ => 0,
    };
    while open.len() as u64 * size < owed_mb * 1_000_000 && log.room() > 20 * size {
        let group: Vec<Record> = (n..n + 16).map(accepted).collect();
        open.extend(n..n + 16);
        n += 16;
        log.append(&group, Duration::ZERO).expect("there is room");
    }
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are sound");
    let started = Instant::now();
    let mut bytes = 0;
    while started.elapsed() < Duration::from_secs(seconds) {
        // A turn: eight are accepted, sent, and eight that are older end.
        let mut group = Vec::new();
        for _ in 0..8 {
            group.push(accepted(n));
            group.push(Record::AttemptStarted { id: id(n), no: 0, endpoint: "target".into(), at: 1 });
            open.push_back(n);
            n += 1;
            if let Some(over) = open.pop_front() {
                group.push(Record::Finished { id: id(over), notice: None });
            }
        }
        let at = Instant::now();
        log.append(&group, started.elapsed()).expect("there is room");
        times.saturating_record(at.elapsed().as_micros() as u64);
        bytes += 8 * size;
    }
    println!(
        "{} owed, {} MB; {} appends, {:.0} MB/s: p50 {} us, p99 {} us, p99.9 {} us, worst {} us",
        open.len(),
        open.len() as u64 * size / 1_000_000,
        times.len(),
        bytes as f64 / 1e6 / started.elapsed().as_secs_f64(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.value_at_quantile(0.999),
        times.max()
    );
    drop(log);
    let at = Instant::now();
    let log = WriteAheadLog::open(folder.as_ref(), most, Sync::Never).expect("the ledger opens");
    println!("a start with {} owed: {:?}", log.index().counts().0, at.elapsed());
}
