//! Draws the terms of a stream, and its size.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use rand_pcg::Pcg32;
use reeddock::{
    EndpointKind, Idempotency, KeyScope, LateDecay, ListedWeights, MessageClass, Settings, TenantQuota,
    ZoneFee,
};

use super::model::Rules;

pub const ZONES: [&str; 3] = ["north", "south", "west"];
/// Most keys that the ordered messages of a stream are about.
pub const KEYS: u64 = 4;

/// Coarse ones are as long as much that the delivery policy derives from its terms, so that its deadlines meet.
const GRAINS: [Duration; 4] = [
    Duration::from_nanos(1),
    Duration::from_millis(1),
    Duration::from_millis(10),
    Duration::from_millis(250),
];
const LONGEST_STEPS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(100),
    Duration::from_millis(1_500),
];

/// A class as the programs of a stream know it.
pub struct Category {
    pub name: String,
    pub deadline: Duration,
    pub ordered: bool,
    pub idempotency: Idempotency,
}

/// What a stream is played with.
pub struct Setting {
    pub classes: Vec<Category>,
    pub kinds: Vec<String>,
    pub tenants: Vec<String>,
    pub slots: u64,
    pub room: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
    pub responses_carry_load_reports: bool,
    pub steps: usize,
    pub destinations: u64,
    pub endpoints: u32,
    /// Most messages of one usual submission.
    pub burst: u32,
    /// A program also submits what it takes no part in, and names that nobody knows.
    pub strange_names: bool,
    /// Spans that the stream draws are multiples of this one: the coarser, the more times are equal.
    pub grain: Duration,
    /// Most time of a usual step.
    pub longest_step: Duration,
}

pub fn millis(chance: &mut Pcg32, from: u64, to: u64) -> Duration {
    Duration::from_millis(chance.random_range(from..=to))
}

/// To the next multiple of a grain.
pub fn rounded(span: Duration, grain: Duration) -> Duration {
    let over = span.as_nanos() % grain.as_nanos().max(1);
    // Under a grain, so that it fits.
    span + if over == 0 { Duration::ZERO } else { grain - Duration::from_nanos(over as u64) }
}

fn pick<T: Copy>(chance: &mut Pcg32, from: &[T]) -> Option<T> {
    from.choose(chance).copied()
}

/// A value in half of the cases.
fn perhaps<T>(chance: &mut Pcg32, draw: impl FnOnce(&mut Pcg32) -> T) -> Option<T> {
    chance.random_bool(0.5).then(|| draw(chance))
}

fn idempotency(chance: &mut Pcg32) -> Option<Idempotency> {
    let window = millis(chance, 200, 8_000);
    let effects = [
        Some(Idempotency::Idempotent),
        Some(Idempotency::Idempotent),
        Some(Idempotency::NonIdempotent),
        Some(Idempotency::WithKey { window, scope: KeyScope::Region }),
        Some(Idempotency::WithKey { window, scope: KeyScope::Zone }),
        None,
    ];
    let drawn = chance.random_range(0..effects.len());
    // Untold is rare, as it is treated as non-idempotent.
    effects[drawn].or_else(|| chance.random_bool(0.7).then_some(Idempotency::Idempotent))
}

fn class(chance: &mut Pcg32, number: usize, grain: Duration) -> (Category, MessageClass) {
    let deadline = rounded(millis(chance, 500, 30_000), grain);
    let name = format!("c{number}");
    let ordered = chance.random_bool(0.3);
    let terms = MessageClass {
        name: name.clone(),
        idempotency: idempotency(chance),
        latency_objective: perhaps(chance, |c| rounded(deadline.mul_f64(c.random_range(0.05..1.2)), grain)),
        deadline: chance.random_bool(0.95).then_some(deadline),
        priority_weight: perhaps(chance, |c| f64::from(c.random_range(0_u32..5)) / 2.0),
        late_weight: perhaps(chance, |c| f64::from(c.random_range(0_u32..10)) / 10.0),
        ordered,
    };
    // What is untold is treated as what allows least.
    let idempotency = terms.idempotency.unwrap_or(Idempotency::NonIdempotent);
    (Category { name, deadline, ordered, idempotency }, terms)
}

fn kinds(chance: &mut Pcg32) -> Vec<(String, bool, Option<u64>)> {
    let count = chance.random_range(1..=3_usize);
    let mut kinds = Vec::new();
    for number in 0..count {
        let batch = perhaps(chance, |c| c.random_range(1..=12_u64));
        kinds.push((format!("k{number}"), chance.random_bool(0.5), batch));
    }
    kinds
}

fn tenants(chance: &mut Pcg32) -> Vec<(String, Option<f64>)> {
    let count = chance.random_range(0..=2_usize);
    let mut tenants = Vec::new();
    for number in 0..count {
        tenants.push((format!("t{number}"), perhaps(chance, |c| c.random_range(0.2..20.0))));
    }
    tenants
}

fn slots(chance: &mut Pcg32) -> u64 {
    match chance.random_range(0..10_u32) {
        0..=4 => chance.random_range(1..=4),
        5..=8 => chance.random_range(5..=24),
        _ => 64,
    }
}

/// Few forwarders, or more than one of them has slots: the delivery policy decides otherwise where these are many.
fn forwarders(chance: &mut Pcg32, slots: u64) -> u64 {
    if chance.random_bool(0.5) {
        return chance.random_range(1..=slots.min(3));
    }
    slots + pick(chance, &[1, 10, 100, 1_000]).unwrap_or(1)
}

/// Room that one burst fills, that a troubled while fills, or that is never full.
fn room(chance: &mut Pcg32, burst: u64) -> Option<u64> {
    match chance.random_range(0..3_u32) {
        0 => Some(chance.random_range(2..=burst * 4)),
        1 => Some(chance.random_range(burst * 4..=burst * 60)),
        _ => None,
    }
}

/// Steps, destinations, endpoints and messages of a burst.
fn size(chance: &mut Pcg32) -> (usize, u64, u32, u32) {
    match chance.random_range(0..100_u32) {
        0..=89 => {
            let destinations = chance.random_range(1..=8_u64);
            let endpoints = chance.random_range(1..=16_u32).max(destinations as u32);
            (chance.random_range(40..=240), destinations, endpoints, 3)
        }
        90..=98 => (chance.random_range(40..=120), 30, 120, 8),
        _ => (24, 300, 2_000, 60),
    }
}

impl Setting {
    /// What the delivery policy promises under these terms.
    pub fn rules(&self) -> Rules {
        let class = |c: &Category| (c.name.clone(), (c.idempotency, c.ordered));
        Rules {
            classes: self.classes.iter().map(class).collect(),
            slots: self.slots,
            room: self.room,
            max_attempts: self.max_attempts,
            ordering_hold_off: self.ordering_hold_off,
        }
    }

    pub fn draw(chance: &mut Pcg32) -> (Setting, Settings) {
        let (steps, destinations, endpoints, burst) = size(chance);
        let count = chance.random_range(1..=4_usize);
        let grain = pick(chance, &GRAINS).unwrap_or(GRAINS[0]);
        let (classes, of_categories): (Vec<_>, Vec<_>) = (0..count).map(|n| class(chance, n, grain)).unzip();
        let (kinds, tenants, slots) = (kinds(chance), tenants(chance), slots(chance));
        let weights = [ListedWeights::Unspecified, ListedWeights::ApproximateRates, ListedWeights::Rates];
        let terms = Settings {
            seed: chance.next_u64(),
            forwarders: Some(forwarders(chance, slots)),
            zone: ZONES[0].to_owned(),
            classes: of_categories,
            endpoint_kinds: kinds
                .iter()
                .cloned()
                .map(|(name, circuit_per_endpoint, max_batch)| EndpointKind {
                    name,
                    circuit_per_endpoint,
                    max_batch,
                })
                .collect(),
            tenants: tenants
                .iter()
                .cloned()
                .map(|(tenant, messages_per_second)| TenantQuota { tenant, messages_per_second })
                .collect(),
            over_quota_weight: perhaps(chance, |c| c.random_range(0.0..1.0)),
            late_decay: match chance.random_bool(0.5) {
                true => LateDecay::Exponential,
                false => LateDecay::Linear,
            },
            max_in_flight: Some(slots),
            capacity: room(chance, u64::from(burst)),
            max_attempts: chance.random_bool(0.8).then(|| chance.random_range(1..=6)),
            hedging_allowed: chance.random_bool(0.3),
            max_retry_after: perhaps(chance, |c| millis(c, 100, 10_000)),
            slow_start_floor: perhaps(chance, |c| c.random_range(0.05..1.0)),
            slow_start_duration: perhaps(chance, |c| millis(c, 0, 15_000)),
            overload_multiple: perhaps(chance, |c| c.random_range(0.5..4.0)),
            overload_window: perhaps(chance, |c| millis(c, 100, 4_000)),
            ordering_hold_off: perhaps(chance, |c| millis(c, 0, 4_000)),
            poll_interval_limit: perhaps(chance, |c| millis(c, 500, 20_000)),
            listed_weights: pick(chance, &weights).unwrap_or_default(),
            responses_carry_load_reports: chance.random_bool(0.4),
            connection_idle_timeout: perhaps(chance, |c| millis(c, 0, 5_000)),
            cross_zone_price: perhaps(chance, |c| c.random_range(0.0..0.1)),
            connection_price: perhaps(chance, |c| c.random_range(0.0..0.1)),
            zone_fees: ZONES
                .iter()
                .skip(1)
                .map(|z| ZoneFee { zone: (*z).to_owned(), fee: chance.random_range(0.0..0.2) })
                .collect(),
        };
        let setting = Setting {
            classes,
            kinds: kinds.into_iter().map(|k| k.0).collect(),
            tenants: tenants.into_iter().map(|t| t.0).collect(),
            slots,
            room: terms.capacity.unwrap_or(u64::MAX),
            max_attempts: terms.max_attempts.unwrap_or(u64::MAX),
            ordering_hold_off: terms.ordering_hold_off.unwrap_or_default(),
            responses_carry_load_reports: terms.responses_carry_load_reports,
            steps,
            destinations,
            endpoints,
            burst,
            strange_names: chance.random_bool(0.2),
            grain,
            longest_step: pick(chance, &LONGEST_STEPS).unwrap_or(LONGEST_STEPS[0]),
        };
        (setting, terms)
    }
}
