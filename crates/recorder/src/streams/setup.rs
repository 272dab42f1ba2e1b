//! Draws the settings of a stream, and its size.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use rand_pcg::Pcg32;
use reeddock::{
    EndpointKind, Idempotency, KeyScope, LateDecay, ListedWeights, MessageClass, Settings, TenantQuota,
    ZoneFee,
};

use super::rule_model::Rules;

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
pub struct StreamClass {
    pub name: String,
    pub deadline: Duration,
    pub ordered: bool,
    pub idempotency: Idempotency,
}

/// What a stream is played with.
pub struct StreamSetup {
    pub classes: Vec<StreamClass>,
    pub kinds: Vec<String>,
    pub tenants: Vec<String>,
    pub max_in_flight: u64,
    pub capacity: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
    pub responses_carry_load_reports: bool,
    pub steps: usize,
    pub destinations: u64,
    pub endpoints: u32,
    /// Most messages of one usual submission.
    pub burst: u32,
    /// A program also submits what it takes no part in, and names that nobody knows.
    pub unknown_names: bool,
    /// Spans that the stream draws are multiples of this one: the coarser, the more times are equal.
    pub time_step: Duration,
    /// Most time of a usual step.
    pub longest_step: Duration,
}

pub fn millis(random: &mut Pcg32, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}

/// To the next multiple of a grain.
pub fn rounded(span: Duration, time_step: Duration) -> Duration {
    let finished = span.as_nanos() % time_step.as_nanos().max(1);
    // Under a grain, so that it fits.
    span + if finished == 0 { Duration::ZERO } else { time_step - Duration::from_nanos(finished as u64) }
}

fn pick<T: Copy>(random: &mut Pcg32, from: &[T]) -> Option<T> {
    from.choose(random).copied()
}

/// A value in half of the cases.
fn perhaps<T>(random: &mut Pcg32, draw: impl FnOnce(&mut Pcg32) -> T) -> Option<T> {
    random.random_bool(0.5).then(|| draw(random))
}

fn idempotency(random: &mut Pcg32) -> Option<Idempotency> {
    let window = millis(random, 200, 8_000);
    let effects = [
        Some(Idempotency::Idempotent),
        Some(Idempotency::Idempotent),
        Some(Idempotency::NonIdempotent),
        Some(Idempotency::WithKey { window, scope: KeyScope::Region }),
        Some(Idempotency::WithKey { window, scope: KeyScope::Zone }),
        None,
    ];
    let drawn = random.random_range(0..effects.len());
    // Untold is rare, as it is treated as non-idempotent.
    effects[drawn].or_else(|| random.random_bool(0.7).then_some(Idempotency::Idempotent))
}

fn class(random: &mut Pcg32, number: usize, time_step: Duration) -> (StreamClass, MessageClass) {
    let deadline = rounded(millis(random, 500, 30_000), time_step);
    let name = format!("c{number}");
    let ordered = random.random_bool(0.3);
    let settings = MessageClass {
        name: name.clone(),
        idempotency: idempotency(random),
        latency_objective: perhaps(random, |c| {
            rounded(deadline.mul_f64(c.random_range(0.05..1.2)), time_step)
        }),
        deadline: random.random_bool(0.95).then_some(deadline),
        priority_weight: perhaps(random, |c| f64::from(c.random_range(0_u32..5)) / 2.0),
        late_weight: perhaps(random, |c| f64::from(c.random_range(0_u32..10)) / 10.0),
        ordered,
    };
    // What is untold is treated as what allows least.
    let idempotency = settings.idempotency.unwrap_or(Idempotency::NonIdempotent);
    (StreamClass { name, deadline, ordered, idempotency }, settings)
}

fn endpoint_kinds(random: &mut Pcg32) -> Vec<EndpointKind> {
    let count = random.random_range(1..=3_usize);
    let mut kinds = Vec::new();
    for number in 0..count {
        let max_batch = perhaps(random, |c| c.random_range(1..=12_u64));
        let circuit_per_endpoint = random.random_bool(0.5);
        kinds.push(EndpointKind { name: format!("k{number}"), circuit_per_endpoint, max_batch });
    }
    kinds
}

fn tenant_quotas(random: &mut Pcg32) -> Vec<TenantQuota> {
    let count = random.random_range(0..=2_usize);
    let mut tenants = Vec::new();
    for number in 0..count {
        let messages_per_second = perhaps(random, |c| c.random_range(0.2..20.0));
        tenants.push(TenantQuota { tenant: format!("t{number}"), messages_per_second });
    }
    tenants
}

fn max_in_flight(random: &mut Pcg32) -> u64 {
    match random.random_range(0..10_u32) {
        0..=4 => random.random_range(1..=4),
        5..=8 => random.random_range(5..=24),
        _ => 64,
    }
}

/// Few forwarders, or more than one of them has slots: the delivery policy decides otherwise where these are many.
fn forwarders(random: &mut Pcg32, max_in_flight: u64) -> u64 {
    if random.random_bool(0.5) {
        return random.random_range(1..=max_in_flight.min(3));
    }
    max_in_flight + pick(random, &[1, 10, 100, 1_000]).unwrap_or(1)
}

/// Room that one burst fills, that a troubled while fills, or that is never full.
fn capacity(random: &mut Pcg32, burst: u64) -> Option<u64> {
    match random.random_range(0..3_u32) {
        0 => Some(random.random_range(2..=burst * 4)),
        1 => Some(random.random_range(burst * 4..=burst * 60)),
        _ => None,
    }
}

/// Steps, destinations, endpoints and messages of a burst.
fn size(random: &mut Pcg32) -> (usize, u64, u32, u32) {
    match random.random_range(0..100_u32) {
        0..=89 => {
            let destinations = random.random_range(1..=8_u64);
            let endpoints = random.random_range(1..=16_u32).max(destinations as u32);
            (random.random_range(40..=240), destinations, endpoints, 3)
        }
        90..=98 => (random.random_range(40..=120), 30, 120, 8),
        _ => (24, 300, 2_000, 60),
    }
}

impl StreamSetup {
    /// What the delivery policy promises under these terms.
    pub fn rules(&self) -> Rules {
        let class = |c: &StreamClass| (c.name.clone(), (c.idempotency, c.ordered));
        Rules {
            classes: self.classes.iter().map(class).collect(),
            max_in_flight: self.max_in_flight,
            capacity: self.capacity,
            max_attempts: self.max_attempts,
            ordering_hold_off: self.ordering_hold_off,
        }
    }

    pub fn draw(random: &mut Pcg32) -> (StreamSetup, Settings) {
        let (steps, destinations, endpoints, burst) = size(random);
        let count = random.random_range(1..=4_usize);
        let time_step = pick(random, &GRAINS).unwrap_or(GRAINS[0]);
        let (classes, of_categories): (Vec<_>, Vec<_>) =
            (0..count).map(|n| class(random, n, time_step)).unzip();
        let kinds = endpoint_kinds(random);
        let tenants = tenant_quotas(random);
        let max_in_flight = max_in_flight(random);
        let mut settings = draw_settings(random, max_in_flight, burst, &kinds, &tenants);
        settings.classes = of_categories;
        let setup = StreamSetup {
            classes,
            kinds: kinds.into_iter().map(|k| k.name).collect(),
            tenants: tenants.into_iter().map(|t| t.tenant).collect(),
            max_in_flight,
            capacity: settings.capacity.unwrap_or(u64::MAX),
            max_attempts: settings.max_attempts.unwrap_or(u64::MAX),
            ordering_hold_off: settings.ordering_hold_off.unwrap_or_default(),
            responses_carry_load_reports: settings.responses_carry_load_reports,
            steps,
            destinations,
            endpoints,
            burst,
            unknown_names: random.random_bool(0.2),
            time_step,
            longest_step: pick(random, &LONGEST_STEPS).unwrap_or(LONGEST_STEPS[0]),
        };
        (setup, settings)
    }
}

/// The settings of a stream without its classes.
fn draw_settings(
    random: &mut Pcg32,
    max_in_flight: u64,
    burst: u32,
    kinds: &[EndpointKind],
    tenants: &[TenantQuota],
) -> Settings {
    let weights = [ListedWeights::Unspecified, ListedWeights::ApproximateRates, ListedWeights::Rates];
    Settings {
        seed: random.next_u64(),
        forwarders: Some(forwarders(random, max_in_flight)),
        zone: ZONES[0].to_owned(),
        classes: Vec::new(),
        endpoint_kinds: kinds.to_vec(),
        tenants: tenants.to_vec(),
        over_quota_weight: perhaps(random, |c| c.random_range(0.0..1.0)),
        late_decay: match random.random_bool(0.5) {
            true => LateDecay::Exponential,
            false => LateDecay::Linear,
        },
        max_in_flight: Some(max_in_flight),
        capacity: capacity(random, u64::from(burst)),
        max_attempts: random.random_bool(0.8).then(|| random.random_range(1..=6)),
        hedging_allowed: random.random_bool(0.3),
        max_retry_after: perhaps(random, |c| millis(c, 100, 10_000)),
        slow_start_floor: perhaps(random, |c| c.random_range(0.05..1.0)),
        slow_start_duration: perhaps(random, |c| millis(c, 0, 15_000)),
        overload_multiple: perhaps(random, |c| c.random_range(0.5..4.0)),
        overload_window: perhaps(random, |c| millis(c, 100, 4_000)),
        ordering_hold_off: perhaps(random, |c| millis(c, 0, 4_000)),
        poll_interval_limit: perhaps(random, |c| millis(c, 500, 20_000)),
        listed_weights: pick(random, &weights).unwrap_or_default(),
        responses_carry_load_reports: random.random_bool(0.4),
        connection_idle_timeout: perhaps(random, |c| millis(c, 0, 5_000)),
        cross_zone_price: perhaps(random, |c| c.random_range(0.0..0.1)),
        connection_price: perhaps(random, |c| c.random_range(0.0..0.1)),
        zone_fees: ZONES
            .iter()
            .skip(1)
            .map(|z| ZoneFee { zone: (*z).to_owned(), fee: random.random_range(0.0..0.2) })
            .collect(),
    }
}
