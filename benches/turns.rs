//! What a turn of the module costs, by what it holds, by destinations and by slots.
//!
//! A forwarder holds envelopes for destinations that ask it to wait, while others are served: each turn tells
//! sixteen answers, hands sixteen envelopes in, and lets the module decide.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use reeddock::*;

/// Answers and hand-ins in a turn.
const IN_A_TURN: usize = 16;
const TICK: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(100_000);

/// A host that only remembers what was sent.
#[derive(Default)]
struct Sent {
    out: VecDeque<(EnvelopeId, DispatchNo)>,
    dispatches: std::collections::HashMap<Arc<str>, u32>,
}

impl Host for Sent {
    fn dispatch(&mut self, envelope: &EnvelopeId, _: TargetId, _: Spans) {
        let no = self.dispatches.entry(envelope.0.clone()).or_default();
        self.out.push_back((envelope.clone(), DispatchNo(*no)));
        *no += 1;
    }
    fn call_off(&mut self, _: &EnvelopeId, _: DispatchNo) {}
    fn shed(&mut self, _: &EnvelopeId, _: Option<Duration>) {}
    fn break_off(&mut self, _: &EnvelopeId) {}
    fn wake(&mut self, _: Duration) {}
    fn probe(&mut self, _: TargetId) {}
    fn tell(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self, _: bool) {}
    fn fetch_list(&mut self) {}
    fn log(&mut self, _: &str) {}
}

struct Bench {
    forwarder: Forwarder,
    host: Sent,
    now: Duration,
    envelopes: usize,
    busy: u64,
}

impl Bench {
    /// `held` envelopes for half of the destinations, which are told to wait; the other half is served.
    fn new(held: usize, destinations: u64, slots: u64) -> Bench {
        let category = CategoryTerms {
            name: "note".into(),
            effect: Some(Effect::Pure),
            promised: Some(LIMIT / 2),
            outer_limit: Some(LIMIT),
            ..Default::default()
        };
        let terms = Terms {
            seed: 1,
            forwarders: Some(1),
            categories: vec![category],
            kinds: vec![("one".into(), false, Some(1))],
            slots: Some(slots),
            ..Default::default()
        };
        let mut host = Sent::default();
        let mut forwarder = Forwarder::open(Duration::ZERO, terms, &mut host);
        forwarder.list_begins(true);
        for n in 0..destinations {
            forwarder.listed(Listing {
                target: TargetId(n as u32 + 1),
                destination: DestinationId(n + 1),
                standing: Standing::Active,
                weight: None,
                zone: "z",
                kind: "one",
            });
        }
        forwarder.list_ends();
        let mut bench = Bench { forwarder, host, now: TICK, envelopes: 0, busy: destinations.div_ceil(2) };
        // Each waiting destination refuses one envelope and tells a wait that outlasts the bench.
        let waiting = (destinations - bench.busy).max(1);
        for n in 0..waiting {
            bench.hand_in(bench.busy + n);
        }
        while !bench.host.out.is_empty() || bench.envelopes < waiting as usize {
            bench.forwarder.turn(bench.now, &mut bench.host);
            if bench.host.out.is_empty() {
                break;
            }
            while let Some((id, no)) = bench.host.out.pop_front() {
                let full = Outcome::Full(Some(LIMIT / 4));
                bench.forwarder.settled(bench.now, &id, no, full, false, &mut bench.host);
            }
            bench.now += TICK;
        }
        for n in waiting..(held as u64).max(waiting) {
            bench.hand_in(bench.busy + n % waiting);
        }
        for _ in 0..4 {
            bench.turn();
        }
        bench
    }

    fn hand_in(&mut self, destination: u64) {
        let id =
            EnvelopeId(Arc::from(format!("{:08x}-4c1e-4a2b-9d3f-{:012x}", self.envelopes, self.envelopes)));
        self.envelopes += 1;
        let to = DestinationId(destination + 1);
        self.forwarder.hand_in(self.now, id, "note", None, None, self.now + LIMIT, to, &mut self.host);
    }

    /// Sixteen answers, sixteen envelopes, one turn.
    fn turn(&mut self) {
        self.now += TICK;
        for _ in 0..IN_A_TURN {
            let Some((id, no)) = self.host.out.pop_front() else { break };
            self.host.dispatches.remove(&id.0);
            self.forwarder.settled(self.now, &id, no, Outcome::Completed, true, &mut self.host);
        }
        for n in 0..IN_A_TURN as u64 {
            self.hand_in(n % self.busy);
        }
        self.forwarder.turn(self.now, &mut self.host);
    }
}

fn turns(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("turn");
    group.sample_size(10).warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_secs(1));
    group.throughput(Throughput::Elements(IN_A_TURN as u64));
    let sizes = [
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
    ];
    for (held, destinations, slots) in sizes {
        let name = format!("{held} held, {destinations} destinations, {slots} slots");
        let mut bench = Bench::new(held, destinations, slots);
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(|| bench.turn()));
    }
    group.finish();
}

criterion_group!(benches, turns);
criterion_main!(benches);
