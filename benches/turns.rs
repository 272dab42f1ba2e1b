//! Duration of one run of due work, by the number of queued messages, destinations and requests in flight.
//! Benchmark names keep older terms for comparison: *turn* (run of due work), *held* (queued) and *slots*
//! (maximum number of requests in flight).
//!
//! Destinations that sent a Retry-After keep their messages queued. In each run, sixteen attempts finish and
//! sixteen messages are submitted.

mod load;

use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, SamplingMode, Throughput};

use load::{LoadSize, LoadedPolicy, MESSAGES_PER_RUN};

const fn size(queued: usize, destinations: u64, max_in_flight: u64) -> LoadSize {
    LoadSize { queued, destinations, max_in_flight }
}

const SIZES: [LoadSize; 17] = [
    size(10, 10, 64),
    size(1_000, 10, 64),
    size(1_000, 1_000, 64),
    size(10_000, 10, 64),
    size(10_000, 1_000, 64),
    size(10_000, 1_000, 1_000),
    size(10_000, 10_000, 64),
    size(100_000, 10, 64),
    size(100_000, 1_000, 64),
    size(100_000, 1_000, 1_000),
    size(100_000, 10_000, 64),
    // Load of one forwarder in a fleet that sends to 320,000 destinations.
    size(100, 100, 64),
    size(100, 10_000, 64),
    size(100, 100_000, 64),
    size(100, 320_000, 64),
    size(1_200_000, 1_000, 64),
    size(1_200_000, 320_000, 64),
];

fn loaded(size: LoadSize) -> LoadedPolicy {
    let mut load = LoadedPolicy::new(size);
    load.list_endpoints();
    load.queue_messages();
    load.warm_up();
    load
}

fn turns(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("turn");
    group.sample_size(10).warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
    // Flat sampling uses the same number of runs in each sample; a growing number takes minutes for slow
    // sizes.
    group.sampling_mode(SamplingMode::Flat);
    group.throughput(Throughput::Elements(MESSAGES_PER_RUN as u64));
    for size in SIZES {
        let LoadSize { queued, destinations, max_in_flight } = size;
        let name = format!("{queued} held, {destinations} destinations, {max_in_flight} slots");
        // The load is set up only if this size is selected.
        let mut load = None;
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            let load = load.get_or_insert_with(|| loaded(size));
            bencher.iter(|| load.run_once());
        });
    }
    group.finish();
}

criterion_group!(benches, turns);
criterion_main!(benches);
