//! Draws the settings of a stream, its size, and the spans of time that it is played with.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use rand_pcg::Pcg32;
use reeddock::{
    EndpointKind, Idempotency, IdempotencyKeyScope, LateDecay, ListedWeights, MessageClass, Settings,
    TenantQuota, ZoneFee,
};

use super::rule_model::{ClassRules, Rules};

/// The zones of endpoints; the forwarder is in the first one.
pub const ZONES: [&str; 3] = ["north", "south", "west"];
/// Ordering keys of a stream's messages at most.
pub const MAX_ORDERING_KEYS: u64 = 4;

/// Coarse steps are as long as many spans that the policy derives from its settings, so that its deadlines coincide.
const TIME_STEPS: [Duration; 4] = [
    Duration::from_nanos(1),
    Duration::from_millis(1),
    Duration::from_millis(10),
    Duration::from_millis(250),
];
/// The longest usual time between two steps of a stream.
const LONGEST_INTERVALS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(100),
    Duration::from_millis(1_500),
];

/// A message class as the clients of a stream know it.
pub struct StreamClass {
    pub name: String,
    pub deadline: Duration,
    pub ordered: bool,
    pub idempotency: Idempotency,
}

/// What a stream is played with, beside the settings of the policy.
pub struct StreamSetup {
    pub classes: Vec<StreamClass>,
    /// Names of the endpoint kinds in the settings.
    pub kinds: Vec<String>,
    /// Names of the tenants in the settings.
    pub tenants: Vec<String>,
    pub max_in_flight: u64,
    pub capacity: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
    pub responses_carry_load_reports: bool,
    pub size: StreamSize,
    /// Clients also name classes that the settings do not have.
    pub unknown_names: bool,
    /// Spans that the stream draws are multiples of this one: the coarser, the more times coincide.
    pub time_step: Duration,
    /// The longest usual time between two steps.
    pub longest_interval: Duration,
}

/// How large a stream is.
pub struct StreamSize {
    /// Times that the policy runs its due work.
    pub steps: usize,
    pub destinations: u64,
    /// Endpoints at the start, over all destinations.
    pub endpoints: u32,
    /// Messages of one usual submission at most.
    pub burst: u32,
}

/// A stream's setup, and the settings that the policy starts with.
pub struct DrawnStream {
    pub setup: StreamSetup,
    pub settings: Settings,
}

/// A duration between two numbers of milliseconds, both included.
pub fn millis(random: &mut Pcg32, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}

/// A duration rounded up to a multiple of a step.
pub fn rounded_up(duration: Duration, step: Duration) -> Duration {
    let excess = duration.as_nanos() % step.as_nanos().max(1);
    if excess == 0 {
        return duration;
    }
    // Under a step, so that it fits.
    duration + (step - Duration::from_nanos(excess as u64))
}

/// One of these values.
fn pick<T: Copy>(random: &mut Pcg32, from: &[T]) -> Option<T> {
    from.choose(random).copied()
}

/// A value in half of the cases.
fn perhaps<T>(random: &mut Pcg32, draw: impl FnOnce(&mut Pcg32) -> T) -> Option<T> {
    random.random_bool(0.5).then(|| draw(random))
}

/// The idempotency of a class in the settings.
fn idempotency(random: &mut Pcg32) -> Option<Idempotency> {
    let window = millis(random, 200, 8_000);
    let choices = [
        Some(Idempotency::Idempotent),
        Some(Idempotency::Idempotent),
        Some(Idempotency::NonIdempotent),
        Some(Idempotency::WithKey { window, scope: IdempotencyKeyScope::Region }),
        Some(Idempotency::WithKey { window, scope: IdempotencyKeyScope::Zone }),
        None,
    ];
    let drawn = random.random_range(0..choices.len());
    // Left out seldom, as the policy then takes the class for non-idempotent.
    choices[drawn].or_else(|| random.random_bool(0.7).then_some(Idempotency::Idempotent))
}

/// A message class, as clients know it and as the settings have it.
struct DrawnClass {
    class: StreamClass,
    settings: MessageClass,
}

impl DrawnClass {
    fn draw(random: &mut Pcg32, number: usize, time_step: Duration) -> DrawnClass {
        let deadline = rounded_up(millis(random, 500, 30_000), time_step);
        let name = format!("c{number}");
        let ordered = random.random_bool(0.3);
        let settings = MessageClass {
            name: name.clone(),
            idempotency: idempotency(random),
            latency_objective: perhaps(random, |random| {
                rounded_up(deadline.mul_f64(random.random_range(0.05..1.2)), time_step)
            }),
            deadline: random.random_bool(0.95).then_some(deadline),
            priority_weight: perhaps(random, |random| f64::from(random.random_range(0_u32..5)) / 2.0),
            late_weight: perhaps(random, |random| f64::from(random.random_range(0_u32..10)) / 10.0),
            ordered,
        };
        // A class without this setting is treated as the one that allows least.
        let idempotency = settings.idempotency.unwrap_or(Idempotency::NonIdempotent);
        DrawnClass { class: StreamClass { name, deadline, ordered, idempotency }, settings }
    }
}

/// One to three kinds of endpoints.
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

/// Up to two tenants.
fn tenant_quotas(random: &mut Pcg32) -> Vec<TenantQuota> {
    let count = random.random_range(0..=2_usize);
    let mut tenants = Vec::new();
    for number in 0..count {
        let messages_per_second = perhaps(random, |c| c.random_range(0.2..20.0));
        tenants.push(TenantQuota { tenant: format!("t{number}"), messages_per_second });
    }
    tenants
}

/// Few requests in flight, more, or many.
fn max_in_flight(random: &mut Pcg32) -> u64 {
    match random.random_range(0..10_u32) {
        0..=4 => random.random_range(1..=4),
        5..=8 => random.random_range(5..=24),
        _ => 64,
    }
}

/// Few forwarders, or more of them than one may have requests in flight: in so large a fleet the policy decides otherwise.
fn forwarders(random: &mut Pcg32, max_in_flight: u64) -> u64 {
    if random.random_bool(0.5) {
        return random.random_range(1..=max_in_flight.min(3));
    }
    max_in_flight + pick(random, &[1, 10, 100, 1_000]).unwrap_or(1)
}

/// A capacity that one burst fills, that a longer fault fills, or none.
fn capacity(random: &mut Pcg32, burst: u64) -> Option<u64> {
    match random.random_range(0..3_u32) {
        0 => Some(random.random_range(2..=burst * 4)),
        1 => Some(random.random_range(burst * 4..=burst * 60)),
        _ => None,
    }
}

impl StreamSize {
    /// Mostly small; seldom of many destinations, and more seldom of thousands of endpoints.
    fn draw(random: &mut Pcg32) -> StreamSize {
        match random.random_range(0..100_u32) {
            0..=89 => {
                let destinations = random.random_range(1..=8_u64);
                let endpoints = random.random_range(1..=16_u32).max(destinations as u32);
                let steps = random.random_range(40..=240);
                StreamSize { steps, destinations, endpoints, burst: 3 }
            }
            90..=98 => {
                let steps = random.random_range(40..=120);
                StreamSize { steps, destinations: 30, endpoints: 120, burst: 8 }
            }
            _ => StreamSize { steps: 24, destinations: 300, endpoints: 2_000, burst: 60 },
        }
    }
}

impl StreamSetup {
    /// What the delivery policy promises under these settings.
    pub fn rules(&self) -> Rules {
        let class = |class: &StreamClass| {
            let rules = ClassRules { idempotency: class.idempotency, ordered: class.ordered };
            (class.name.clone(), rules)
        };
        Rules {
            classes: self.classes.iter().map(class).collect(),
            max_in_flight: self.max_in_flight,
            capacity: self.capacity,
            max_attempts: self.max_attempts,
            ordering_hold_off: self.ordering_hold_off,
        }
    }
}

impl DrawnStream {
    /// Draws a setup, and settings that go with it.
    pub fn draw(random: &mut Pcg32) -> DrawnStream {
        let size = StreamSize::draw(random);
        let class_count = random.random_range(1..=4_usize);
        let time_step = pick(random, &TIME_STEPS).unwrap_or(TIME_STEPS[0]);
        let drawn_classes: Vec<DrawnClass> =
            (0..class_count).map(|number| DrawnClass::draw(random, number, time_step)).collect();
        let kinds = endpoint_kinds(random);
        let tenants = tenant_quotas(random);
        let max_in_flight = max_in_flight(random);
        let mut settings = draw_settings(random, max_in_flight, size.burst, &kinds, &tenants);
        let mut classes = Vec::new();
        for drawn in drawn_classes {
            classes.push(drawn.class);
            settings.classes.push(drawn.settings);
        }
        let setup = StreamSetup {
            classes,
            kinds: kinds.into_iter().map(|kind| kind.name).collect(),
            tenants: tenants.into_iter().map(|quota| quota.tenant).collect(),
            max_in_flight,
            capacity: settings.max_pending_messages.unwrap_or(u64::MAX),
            max_attempts: settings.max_attempts.unwrap_or(u64::MAX),
            ordering_hold_off: settings.ordering_hold_off.unwrap_or_default(),
            responses_carry_load_reports: settings.responses_carry_load_reports,
            size,
            unknown_names: random.random_bool(0.2),
            time_step,
            longest_interval: pick(random, &LONGEST_INTERVALS).unwrap_or(LONGEST_INTERVALS[0]),
        };
        DrawnStream { setup, settings }
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
        over_quota_weight: perhaps(random, |random| random.random_range(0.0..1.0)),
        late_decay: if random.random_bool(0.5) { LateDecay::Exponential } else { LateDecay::Linear },
        max_in_flight: Some(max_in_flight),
        max_pending_messages: capacity(random, u64::from(burst)),
        max_attempts: random.random_bool(0.8).then(|| random.random_range(1..=6)),
        hedging_allowed: random.random_bool(0.3),
        max_retry_after: perhaps(random, |random| millis(random, 100, 10_000)),
        slow_start_floor: perhaps(random, |random| random.random_range(0.05..1.0)),
        slow_start_duration: perhaps(random, |random| millis(random, 0, 15_000)),
        overload_capacity_multiple: perhaps(random, |random| random.random_range(0.5..4.0)),
        overload_window: perhaps(random, |random| millis(random, 100, 4_000)),
        ordering_hold_off: perhaps(random, |random| millis(random, 0, 4_000)),
        max_poll_interval: perhaps(random, |random| millis(random, 500, 20_000)),
        listed_weights: pick(random, &weights).unwrap_or_default(),
        responses_carry_load_reports: random.random_bool(0.4),
        connection_idle_timeout: perhaps(random, |random| millis(random, 0, 5_000)),
        cross_zone_price: perhaps(random, |random| random.random_range(0.0..0.1)),
        connection_price: perhaps(random, |random| random.random_range(0.0..0.1)),
        zone_fees: ZONES
            .iter()
            .skip(1)
            .map(|zone| ZoneFee { zone: (*zone).to_owned(), fee: random.random_range(0.0..0.2) })
            .collect(),
    }
}
