//! Scenarios drawn at random: small enough that a search sees many, varied enough that it sees what nobody
//! asked for.

use rand::{RngExt, SeedableRng};
use reeddock_simulation::distribution::{Amount, Chance, Distribution, RandomDistribution, Share, Span};
use reeddock_simulation::fault::{EndpointSelector, Fault, ForwarderSelector};
use reeddock_simulation::scenario::{
    Category, ClassIdempotency, Decay, EndpointListSettings, Fleet, Kind, Limit, Network, Notes, Program,
    Returning, Scheduled, Traffic, Weights, VERSION,
};
use reeddock_simulation::Scenario;

struct Draw(Chance);

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
        Distribution::Drawn(RandomDistribution::Uniform([a.min(b), a.max(b)]))
    }

    fn of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.0.random_range(0..all.len())]
    }

    fn whom(&mut self) -> EndpointSelector {
        let share = Some(self.share(0.05, 0.5));
        let targets = self.often(0.4).then(|| self.share(0.2, 0.8));
        EndpointSelector { destinations: Vec::new(), share, targets }
    }

    fn which(&mut self) -> ForwarderSelector {
        ForwarderSelector { forwarders: Vec::new(), share: Some(self.share(0.05, 0.6)) }
    }

    fn trouble(&mut self, categories: &[Category], programs: &[Program]) -> Fault {
        match self.count(0, 16) {
            0 => Fault::Refused { whom: self.whom() },
            1 => Fault::Silent { whom: self.whom() },
            2 => Fault::Hang { whom: self.whom() },
            3 => Fault::Shut { whom: self.whom() },
            4 => Fault::FastErrors { whom: self.whom(), share: self.share(0.3, 1.0) },
            5 => Fault::Slow { whom: self.whom(), times: self.amount(1.5, 6.0) },
            6 => {
                Fault::Pauses { whom: self.whom(), each_s: self.span(0.1, 0.6), every_s: self.span(1.0, 4.0) }
            }
            7 => Fault::HeavyTail {
                whom: self.whom(),
                share: self.share(0.01, 0.1),
                times: self.uniform(4.0, 25.0),
            },
            8 => {
                let n = self.count(0, categories.len() as u32 - 1) as usize;
                Fault::CategoryFails { whom: self.whom(), category: categories[n].name.clone() }
            }
            9 => Fault::AnswersLost { whom: self.whom(), share: self.share(0.1, 1.0) },
            10 => Fault::Replaced { whom: self.whom() },
            11 => Fault::Leaves { whom: self.whom() },
            12 => Fault::ListFrozen {},
            13 => Fault::Killed { which: self.which() },
            14 => Fault::Shift { which: self.which(), share: self.share(0.3, 0.9) },
            15 => Fault::Burst { times: self.amount(1.3, 2.5) },
            _ => {
                let n = self.count(0, programs.len() as u32 - 1) as usize;
                Fault::Surge { program: programs[n].name.clone(), times: self.amount(2.0, 5.0) }
            }
        }
    }
}

/// The scenario of a seed.
pub fn draw(seed: u64) -> Scenario {
    let mut d = Draw(Chance::seed_from_u64(seed ^ 0x006c_6162));
    let forwarders = d.of(&[1, 2, 3, 3, 5, 8, 12, 25, 60]);
    let lasts = d.within(25.0, 45.0);
    let usual = d.within(15.0, 200.0).max(f64::from(forwarders));
    let categories: Vec<Category> = (0..d.count(1, 3))
        .map(|n| {
            let promised = d.within(1.0, 4.0);
            Category {
                name: format!("category-{n}"),
                part: d.amount(0.5, 2.0),
                effect: match d.count(0, 2) {
                    0 => ClassIdempotency::Pure,
                    1 => ClassIdempotency::Receipted(d.span(3.0, 12.0)),
                    _ => ClassIdempotency::Effectful,
                },
                promised: Span::clamped(promised),
                outer_limit: Span::clamped((promised * d.within(2.0, 8.0) * 100.0).round() / 100.0),
                credit: d.amount(0.5, 3.0),
                late_credit: d.share(0.2, 0.6),
                decay: if d.often(0.5) { Decay::Line } else { Decay::Halves },
                work_ms: Distribution::Drawn(RandomDistribution::LogNormal {
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
            share_per_s: d.often(0.3).then(|| Amount::clamped(usual * 0.6)),
            returns: d.count(0, 2),
            return_after_s: d.uniform(0.2, 2.0),
            heeds: d.share(0.0, 1.0),
            withdraws_after_s: d.often(0.15).then(|| d.uniform(2.0, 15.0)),
            bunch: Distribution::Told(1.0),
        })
        .collect();
    let kinds: Vec<Kind> = (0..d.count(1, 2))
        .map(|n| Kind {
            name: format!("kind-{n}"),
            destinations: d.count(1, 20),
            targets: d.uniform(1.0, 3.4),
            traffic: d.amount(0.5, 4.0),
            apart: d.often(0.3),
            batch: d.of(&[1, 1, 1, 4, 20]),
            limit: match d.count(0, 3) {
                0 => Limit::None,
                1 => Limit::Rate,
                _ => Limit::Span(Span::clamped(d.of(&[1.0, 2.0, 4.0]))),
            },
            headroom: d.uniform(0.9, 2.0),
            least_per_s: d.amount(1.0, 4.0),
            spare: d.uniform(1.1, 1.6),
            queue_s: d.uniform(0.2, 1.0),
            pace: d.uniform(0.5, 2.0),
            told_waits: d.share(0.0, 1.0),
            refused_use_up: d.often(0.3),
            connections: d.often(0.2).then(|| d.count(8, 40)),
            runs_on: d.share(0.3, 1.0),
        })
        .collect();
    let mean_work = categories.iter().map(|c| c.work_ms.mean()).sum::<f64>() / categories.len() as f64 / 1e3;
    let each = usual / f64::from(forwarders);
    let troubles = (0..d.count(0, 4))
        .map(|_| Scheduled {
            at: Span::clamped(d.within(3.0, lasts * 0.7)),
            lasts: d.span(1.0, 15.0),
            what: d.trouble(&categories, &programs),
        })
        .collect();
    Scenario {
        version: VERSION,
        name: format!("drawn-{seed}"),
        about: String::new(),
        lasts: Span::clamped(lasts),
        fleet: Fleet {
            forwarders,
            zones: d.count(1, 3),
            slots: ((each * mean_work * 1.3 * d.within(1.4, 3.0)).ceil() as u32).max(2),
            room: ((each * d.within(4.0, 14.0)).ceil() as u32).max(8),
            dispatch_cap: d.count(3, 12),
            tick: Span::millis(5),
            come_back: d.often(0.6).then(|| d.span(1.0, 5.0)),
            ledger: d.often(0.4),
            uneven: if d.often(0.2) { d.share(0.1, 0.5) } else { Share::NONE },
            drain_grace: d.span(0.5, 2.0),
            key_rest: d.span(1.0, 4.0),
            answer_slack: Span::millis(20),
        },
        traffic: Traffic {
            usual_per_s: Amount::clamped(usual),
            load: d.amount(0.4, 1.25),
            skew: d.within(0.0, 1.2),
            clumped: if d.often(0.5) { d.share(0.05, 0.25) } else { Share::NONE },
            clump: d.uniform(3.0, 20.0),
        },
        network: Network::default(),
        list: EndpointListSettings {
            delay_s: d.uniform(0.2, 5.0),
            weights: if d.often(0.5) { Weights::Rates } else { Weights::None },
            weight_error: d.uniform(0.5, 1.5),
        },
        notes: Notes::default(),
        returning: Returning {
            cold_from: d.share(0.15, 0.3),
            warm_within: d.span(6.0, 14.0),
            fall_multiple: d.amount(1.5, 2.5),
            tip_after: d.span(1.5, 4.0),
            stays_down: Span::millis(60_000),
        },
        categories,
        programs,
        kinds,
        troubles,
        found: None,
    }
}
