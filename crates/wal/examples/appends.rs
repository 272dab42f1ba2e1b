//! How long appends take while the ledger is compacted, and a start with what is owed: on a real folder.
//!
//!     cargo run --release -p reeddock-wal --example appends -- FOLDER OWED_MB BODY_BYTES SECONDS

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use reeddock_wal::{Ledger, Record, Sync, Taken};

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
    let taken = |n: u64| {
        Record::Taken(Taken {
            idempotency_key: None,
            id: format!("{n:08x}-4c1e-4a2b-9d3f-{n:012x}"),
            category: "order".into(),
            tenant: None,
            key: None,
            destination: n % 100,
            outer_limit: u64::MAX / 2,
            body: body.clone(),
        })
    };
    let id = |n: u64| format!("{n:08x}-4c1e-4a2b-9d3f-{n:012x}");
    let mut ledger = Ledger::open(folder.as_ref(), most, Sync::Never).expect("the ledger opens");
    let mut open: VecDeque<u64> = VecDeque::new();
    let mut n = 0;
    // Filled until so much is owed, in groups as a turn brings them.
    let size = match taken(0) {
        Record::Taken(taken) => Ledger::size_of(&taken),
        _ => 0,
    };
    while open.len() as u64 * size < owed_mb * 1_000_000 && ledger.room() > 20 * size {
        let group: Vec<Record> = (n..n + 16).map(taken).collect();
        open.extend(n..n + 16);
        n += 16;
        ledger.append(&group, Duration::ZERO).expect("there is room");
    }
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are sound");
    let begun = Instant::now();
    let mut bytes = 0;
    while begun.elapsed() < Duration::from_secs(seconds) {
        // A turn: eight are taken on, sent, and eight that are older end.
        let mut group = Vec::new();
        for _ in 0..8 {
            group.push(taken(n));
            group.push(Record::Begun { id: id(n), no: 0, target: "target".into(), at: 1 });
            open.push_back(n);
            n += 1;
            if let Some(over) = open.pop_front() {
                group.push(Record::Ended { id: id(over), notice: None });
            }
        }
        let at = Instant::now();
        ledger.append(&group, begun.elapsed()).expect("there is room");
        times.saturating_record(at.elapsed().as_micros() as u64);
        bytes += 8 * size;
    }
    println!(
        "{} owed, {} MB; {} appends, {:.0} MB/s: p50 {} us, p99 {} us, p99.9 {} us, worst {} us",
        open.len(),
        open.len() as u64 * size / 1_000_000,
        times.len(),
        bytes as f64 / 1e6 / begun.elapsed().as_secs_f64(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.value_at_quantile(0.999),
        times.max()
    );
    drop(ledger);
    let at = Instant::now();
    let ledger = Ledger::open(folder.as_ref(), most, Sync::Never).expect("the ledger opens");
    println!("a start with {} owed: {:?}", ledger.books().counts().0, at.elapsed());
}
