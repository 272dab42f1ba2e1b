//! Scenarios drawn at random: small enough that a search sees many, varied enough that it sees what nobody
//! asked for.

use rand::{RngExt, SeedableRng};
use reeddock_simulation::distribution::{
    Amount, Distribution, RandomDistribution, RandomSource, Share, Span,
};
use reeddock_simulation::fault::{EndpointSelector, Fault, ForwarderSelector};
use reeddock_simulation::scenario::{
    ClassDecay, ClassIdempotency, ClassSpec, DestinationKind, EndpointListSettings, Fleet, GossipSettings,
    ListWeights, Network, Program, RateLimit, RecoverySettings, ScheduledFault, Traffic, VERSION,
};
use reeddock_simulation::Scenario;

struct Draw(RandomSource);

impl Draw {
    fn within(&mut self, low: f64, high: f64) -> f64 {
        // Two digits are enough, and a found file is read by people.
        let drawn = low + (high - low) * self.0.random::<f64>();
        (drawn * 100.0).round() / 100.0
    }

    fn count(&mut self, low: u32, high: u32) -> u32 {
        self.0.random_range(low..=high)
    }

    fn often(&mut self, share: f64) -> bool {
        self.0.random::<f64>() < share
    }

    fn share(&mut self, low: f64, high: f64) -> Share {
        Share::clamped(self.within(low, high))
    }

    fn amount(&mut self, low: f64, high: f64) -> Amount {
        Amount::clamped(self.within(low, high))
    }

    fn span(&mut self, low: f64, high: f64) -> Span {
        Span::clamped(self.within(low, high))
    }

    fn uniform(&mut self, low: f64, high: f64) -> Distribution {
        let (a, b) = (self.within(low, high), self.within(low, high));
        Distribution::Random(RandomDistribution::Uniform([a.min(b), a.max(b)]))
    }

    fn of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.0.random_range(0..all.len())]
    }

    fn whom(&mut self) -> EndpointSelector {
        let destination_share = Some(self.share(0.05, 0.5));
        let endpoint_share = self.often(0.4).then(|| self.share(0.2, 0.8));
        EndpointSelector { destinations: Vec::new(), destination_share, endpoint_share }
    }

    fn which(&mut self) -> ForwarderSelector {
        ForwarderSelector { forwarders: Vec::new(), share: Some(self.share(0.05, 0.6)) }
    }

    fn trouble(&mut self, categories: &[ClassSpec], programs: &[Program]) -> Fault {
        match self.count(0, 16) {
            0 => Fault::ConnectionsRefused { endpoints: self.whom() },
            1 => Fault::Unreachable { endpoints: self.whom() },
            2 => Fault::Hang { endpoints: self.whom() },
            3 => Fault::RejectsAll { endpoints: self.whom() },
            4 => Fault::FastErrors { endpoints: self.whom(), share: self.share(0.3, 1.0) },
            5 => Fault::Slow { endpoints: self.whom(), factor: self.amount(1.5, 6.0) },
            6 => Fault::Pauses {
                endpoints: self.whom(),
                duration: self.span(0.1, 0.6),
                interval: self.span(1.0, 4.0),
            },
            7 => Fault::HeavyTail {
                endpoints: self.whom(),
                share: self.share(0.01, 0.1),
                factor: self.uniform(4.0, 25.0),
            },
            8 => {
                let n = self.count(0, categories.len() as u32 - 1) as usize;
                Fault::ClassFails { endpoints: self.whom(), class: categories[n].name.clone() }
            }
            9 => Fault::ResponsesLost { endpoints: self.whom(), share: self.share(0.1, 1.0) },
            10 => Fault::Replaced { endpoints: self.whom() },
            11 => Fault::Drains { endpoints: self.whom() },
            12 => Fault::ListFrozen {},
            13 => Fault::ForwardersKilled { forwarders: self.which() },
            14 => Fault::TrafficShift { forwarders: self.which(), share: self.share(0.3, 0.9) },
            15 => Fault::TrafficBurst { factor: self.amount(1.3, 2.5) },
            _ => {
                let n = self.count(0, programs.len() as u32 - 1) as usize;
                Fault::ProgramSurge { program: programs[n].name.clone(), factor: self.amount(2.0, 5.0) }
            }
        }
    }
}

/// The scenario of a seed.
pub fn draw(seed: u64) -> Scenario {
    let mut d = Draw(RandomSource::seed_from_u64(seed ^ 0x006c_6162));
    let forwarders = d.of(&[1, 2, 3, 3, 5, 8, 12, 25, 60]);
    let lasts = d.within(25.0, 45.0);
    let usual = d.within(15.0, 200.0).max(f64::from(forwarders));
    let categories: Vec<ClassSpec> = (0..d.count(1, 3))
        .map(|n| {
            let promised = d.within(1.0, 4.0);
            ClassSpec {
                name: format!("category-{n}"),
                part: d.amount(0.5, 2.0),
                idempotency: match d.count(0, 2) {
                    0 => ClassIdempotency::Idempotent,
                    1 => ClassIdempotency::WithKey(d.span(3.0, 12.0)),
                    _ => ClassIdempotency::NonIdempotent,
                },
                latency_objective: Span::clamped(promised),
                deadline: Span::clamped((promised * d.within(2.0, 8.0) * 100.0).round() / 100.0),
                priority_weight: d.amount(0.5, 3.0),
                late_weight: d.share(0.2, 0.6),
                late_decay: if d.often(0.5) { ClassDecay::Linear } else { ClassDecay::Exponential },
                work_ms: Distribution::Random(RandomDistribution::LogNormal {
                    median: d.within(30.0, 350.0),
                    sigma: d.within(0.1, 0.7),
                }),
                ordered_keys: d.often(0.2).then(|| d.count(5, 200)),
            }
        })
        .collect();
    let programs: Vec<Program> = (0..d.count(1, 3))
        .map(|n| Program {
            name: format!("program-{n}"),
            part: d.amount(0.5, 3.0),
            quota_per_s: d.often(0.3).then(|| Amount::clamped(usual * 0.6)),
            max_resubmissions: d.count(0, 2),
            resubmission_delay_s: d.uniform(0.2, 2.0),
            honors_retry_after: d.share(0.0, 1.0),
            withdraws_after_s: d.often(0.15).then(|| d.uniform(2.0, 15.0)),
            arrival_size: Distribution::Constant(1.0),
        })
        .collect();
    let kinds: Vec<DestinationKind> = (0..d.count(1, 2))
        .map(|n| DestinationKind {
            name: format!("kind-{n}"),
            destinations: d.count(1, 20),
            endpoints: d.uniform(1.0, 3.4),
            traffic_weight: d.amount(0.5, 4.0),
            circuit_per_endpoint: d.often(0.3),
            max_batch: d.of(&[1, 1, 1, 4, 20]),
            rate_limit: match d.count(0, 3) {
                0 => RateLimit::None,
                1 => RateLimit::TokenBucket,
                _ => RateLimit::FixedWindow(Span::clamped(d.of(&[1.0, 2.0, 4.0]))),
            },
            headroom: d.uniform(0.9, 2.0),
            min_limit_per_s: d.amount(1.0, 4.0),
            spare_capacity: d.uniform(1.1, 1.6),
            queue_s: d.uniform(0.2, 1.0),
            work_factor: d.uniform(0.5, 2.0),
            sends_retry_after: d.share(0.0, 1.0),
            rejected_use_up_limit: d.often(0.3),
            max_connections: d.often(0.2).then(|| d.count(8, 40)),
            serves_abandoned: d.share(0.3, 1.0),
        })
        .collect();
    let mean_work = categories.iter().map(|c| c.work_ms.mean()).sum::<f64>() / categories.len() as f64 / 1e3;
    let each = usual / f64::from(forwarders);
    let troubles = (0..d.count(0, 4))
        .map(|_| ScheduledFault {
            start: Span::clamped(d.within(3.0, lasts * 0.7)),
            duration: d.span(1.0, 15.0),
            fault: d.trouble(&categories, &programs),
        })
        .collect();
    Scenario {
        version: VERSION,
        name: format!("drawn-{seed}"),
        about: String::new(),
        duration: Span::clamped(lasts),
        fleet: Fleet {
            forwarders,
            zones: d.count(1, 3),
            max_in_flight: ((each * mean_work * 1.3 * d.within(1.4, 3.0)).ceil() as u32).max(2),
            capacity: ((each * d.within(4.0, 14.0)).ceil() as u32).max(8),
            max_attempts: d.count(3, 12),
            tick: Span::millis(5),
            max_retry_after: d.often(0.6).then(|| d.span(1.0, 5.0)),
            write_ahead_log: d.often(0.4),
            unevenness: if d.often(0.2) { d.share(0.1, 0.5) } else { Share::NONE },
            drain_grace: d.span(0.5, 2.0),
            ordering_hold_off: d.span(1.0, 4.0),
            answer_slack: Span::millis(20),
        },
        traffic: Traffic {
            baseline_per_s: Amount::clamped(usual),
            load: d.amount(0.4, 1.25),
            skew: d.within(0.0, 1.2),
            clumped: if d.often(0.5) { d.share(0.05, 0.25) } else { Share::NONE },
            clump_size: d.uniform(3.0, 20.0),
        },
        network: Network::default(),
        endpoint_list: EndpointListSettings {
            delay_s: d.uniform(0.2, 5.0),
            weights: if d.often(0.5) { ListWeights::Rates } else { ListWeights::None },
            weight_error: d.uniform(0.5, 1.5),
        },
        gossip: GossipSettings::default(),
        recovery: RecoverySettings {
            slow_start_floor: d.share(0.15, 0.3),
            slow_start_duration: d.span(6.0, 14.0),
            overload_multiple: d.amount(1.5, 2.5),
            overload_window: d.span(1.5, 4.0),
            overload_outage: Span::millis(60_000),
        },
        classes: categories,
        programs,
        kinds,
        faults: troubles,
        found: None,
    }
}
