//! What a turn of the delivery policy costs, by what it holds, by destinations and by slots.
//!
//! A forwarder holds messages for destinations that ask it to wait, while others are served: each turn tells
//! sixteen answers, hands sixteen messages in, and lets the delivery policy decide.

mod load;

use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, SamplingMode, Throughput};

use load::{Load, Size, IN_A_TURN};

/// Held, destinations, slots.
const SIZES: [(usize, u64, u64); 17] = [
    (10, 10, 64),
    (1_000, 10, 64),
    (1_000, 1_000, 64),
    (10_000, 10, 64),
    (10_000, 1_000, 64),
    (10_000, 1_000, 1_000),
    (10_000, 10_000, 64),
    (100_000, 10, 64),
    (100_000, 1_000, 64),
    (100_000, 1_000, 1_000),
    (100_000, 10_000, 64),
    // A forwarder's share of a fleet that sends to 320,000 destinations.
    (100, 100, 64),
    (100, 10_000, 64),
    (100, 100_000, 64),
    (100, 320_000, 64),
    (1_200_000, 1_000, 64),
    (1_200_000, 320_000, 64),
];

fn loaded(size: Size) -> Load {
    let mut load = Load::open(size);
    load.list();
    load.hold();
    load.first_turns();
    load
}

fn turns(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("turn");
    group.sample_size(10).warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
    // As many turns in each sample: with slow ones a growing number would take minutes.
    group.sampling_mode(SamplingMode::Flat);
    group.throughput(Throughput::Elements(IN_A_TURN as u64));
    for (held, destinations, slots) in SIZES {
        let name = format!("{held} held, {destinations} destinations, {slots} slots");
        // Set up only where its turns are asked for.
        let mut load = None;
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            let load = load.get_or_insert_with(|| loaded(Size { held, destinations, slots }));
            b.iter(|| load.turn());
        });
    }
    group.finish();
}

criterion_group!(benches, turns);
criterion_main!(benches);
