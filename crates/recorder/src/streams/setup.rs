//! Draws the settings, size and time intervals of a stream.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use rand_pcg::Pcg32;
use reeddock::{
    EndpointKind, Idempotency, IdempotencyKeyScope, LateDecay, ListedWeights, MessageClass, Settings,
    TenantQuota, ZoneFee,
};

use super::rule_model::{ClassRules, Rules};

/// Zones of endpoints; the forwarder is in the first zone.
pub const ZONES: [&str; 3] = ["north", "south", "west"];
/// Maximum number of different ordering keys in a stream.
pub const MAX_ORDERING_KEYS: u64 = 4;

/// Granularities of the times that a stream draws. With a coarse granularity many of the policy's deadlines
/// coincide.
const TIME_GRANULARITIES: [Duration; 4] = [
    Duration::from_nanos(1),
    Duration::from_millis(1),
    Duration::from_millis(10),
    Duration::from_millis(250),
];
/// Choices for [`StreamSetup::max_step_interval`].
const MAX_STEP_INTERVALS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(100),
    Duration::from_millis(1_500),
];

/// A message class as known to the clients of a stream.
pub struct StreamClass {
    pub name: String,
    pub deadline: Duration,
    pub ordered: bool,
    pub idempotency: Idempotency,
}

/// Parameters of a stream other than the policy's settings.
pub struct StreamSetup {
    pub classes: Vec<StreamClass>,
    /// Names of the endpoint kinds in the settings.
    pub kinds: Vec<String>,
    /// Names of the tenants in the settings.
    pub tenants: Vec<String>,
    pub max_in_flight: u64,
    pub max_pending_messages: u64,
    pub max_attempts: u64,
    pub ordering_hold_off: Duration,
    pub responses_carry_load_reports: bool,
    pub size: StreamSize,
    /// Whether clients also submit messages of classes that the settings don't contain.
    pub uses_unknown_classes: bool,
    /// Durations that the stream draws are rounded up to a multiple of this duration.
    pub time_granularity: Duration,
    /// Maximum time between two steps, except for rare long steps and clock jumps.
    pub max_step_interval: Duration,
}

pub struct StreamSize {
    /// Number of steps; the policy runs its due work once in each step.
    pub steps: usize,
    pub destinations: u64,
    /// Number of endpoints of all destinations at the start.
    pub endpoints: u32,
    /// Maximum number of messages submitted in a usual step; bursts are larger.
    pub max_messages_per_step: u32,
}

/// The setup of a stream, and the settings of its policy.
pub struct DrawnStream {
    pub setup: StreamSetup,
    pub settings: Settings,
}

/// Draws a duration between two numbers of milliseconds, both included.
pub fn draw_millis(random: &mut Pcg32, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}

/// Rounds a duration up to a multiple of `granularity`.
pub fn round_up(duration: Duration, granularity: Duration) -> Duration {
    let excess = duration.as_nanos() % granularity.as_nanos().max(1);
    if excess == 0 {
        return duration;
    }
    // The excess is less than the granularity and fits in a u64.
    duration + (granularity - Duration::from_nanos(excess as u64))
}

/// Draws one of the values; returns `None` if there are none.
fn pick<T: Copy>(random: &mut Pcg32, values: &[T]) -> Option<T> {
    values.choose(random).copied()
}

/// Draws a value with a probability of one half.
fn draw_optional<T>(random: &mut Pcg32, draw: impl FnOnce(&mut Pcg32) -> T) -> Option<T> {
    random.random_bool(0.5).then(|| draw(random))
}

/// Draws the idempotency setting of a message class.
fn draw_idempotency(random: &mut Pcg32) -> Option<Idempotency> {
    let window = draw_millis(random, 200, 8_000);
    let choices = [
        Some(Idempotency::Idempotent),
        Some(Idempotency::Idempotent),
        Some(Idempotency::NonIdempotent),
        Some(Idempotency::WithKey { window, scope: IdempotencyKeyScope::Region }),
        Some(Idempotency::WithKey { window, scope: IdempotencyKeyScope::Zone }),
        None,
    ];
    let index = random.random_range(0..choices.len());
    // Rarely `None`, because the policy then treats the class as non-idempotent.
    choices[index].or_else(|| random.random_bool(0.7).then_some(Idempotency::Idempotent))
}

/// A message class as known to clients, and its settings.
struct DrawnClass {
    class: StreamClass,
    settings: MessageClass,
}

impl DrawnClass {
    fn draw(random: &mut Pcg32, number: usize, time_granularity: Duration) -> DrawnClass {
        let deadline = round_up(draw_millis(random, 500, 30_000), time_granularity);
        let name = format!("c{number}");
        let ordered = random.random_bool(0.3);
        let settings = MessageClass {
            name: name.clone(),
            idempotency: draw_idempotency(random),
            latency_objective: draw_optional(random, |random| {
                round_up(deadline.mul_f64(random.random_range(0.05..1.2)), time_granularity)
            }),
            deadline: random.random_bool(0.95).then_some(deadline),
            priority_weight: draw_optional(random, |random| f64::from(random.random_range(0_u32..5)) / 2.0),
            late_weight: draw_optional(random, |random| f64::from(random.random_range(0_u32..10)) / 10.0),
            ordered,
        };
        // The policy treats a class without this setting as non-idempotent.
        let idempotency = settings.idempotency.unwrap_or(Idempotency::NonIdempotent);
        DrawnClass { class: StreamClass { name, deadline, ordered, idempotency }, settings }
    }
}

/// Draws one to three endpoint kinds.
fn draw_endpoint_kinds(random: &mut Pcg32) -> Vec<EndpointKind> {
    let count = random.random_range(1..=3_usize);
    let mut kinds = Vec::new();
    for number in 0..count {
        let max_batch = draw_optional(random, |random| random.random_range(1..=12_u64));
        let circuit_per_endpoint = random.random_bool(0.5);
        kinds.push(EndpointKind { name: format!("k{number}"), circuit_per_endpoint, max_batch });
    }
    kinds
}

/// Draws up to two tenants and their quotas.
fn draw_tenant_quotas(random: &mut Pcg32) -> Vec<TenantQuota> {
    let count = random.random_range(0..=2_usize);
    let mut tenants = Vec::new();
    for number in 0..count {
        let messages_per_second = draw_optional(random, |random| random.random_range(0.2..20.0));
        tenants.push(TenantQuota { tenant: format!("t{number}"), messages_per_second });
    }
    tenants
}

/// Draws a small, medium or large maximum of requests in flight.
fn draw_max_in_flight(random: &mut Pcg32) -> u64 {
    match random.random_range(0..10_u32) {
        0..=4 => random.random_range(1..=4),
        5..=8 => random.random_range(5..=24),
        _ => 64,
    }
}

/// Draws the number of forwarders: few, or more than the maximum of requests in flight, because the policy
/// decides differently in large fleets.
fn draw_forwarder_count(random: &mut Pcg32, max_in_flight: u64) -> u64 {
    if random.random_bool(0.5) {
        return random.random_range(1..=max_in_flight.min(3));
    }
    max_in_flight + pick(random, &[1, 10, 100, 1_000]).unwrap_or(1)
}

/// Draws a maximum of pending messages: one that a burst reaches, one that a longer fault reaches, or none.
fn draw_max_pending_messages(random: &mut Pcg32, max_messages_per_step: u64) -> Option<u64> {
    match random.random_range(0..3_u32) {
        0 => Some(random.random_range(2..=max_messages_per_step * 4)),
        1 => Some(random.random_range(max_messages_per_step * 4..=max_messages_per_step * 60)),
        _ => None,
    }
}

impl StreamSize {
    /// Draws a size: usually small, sometimes with many destinations, rarely with thousands of endpoints.
    fn draw(random: &mut Pcg32) -> StreamSize {
        match random.random_range(0..100_u32) {
            0..=89 => {
                let destinations = random.random_range(1..=8_u64);
                let endpoints = random.random_range(1..=16_u32).max(destinations as u32);
                let steps = random.random_range(40..=240);
                StreamSize { steps, destinations, endpoints, max_messages_per_step: 3 }
            }
            90..=98 => {
                let steps = random.random_range(40..=120);
                StreamSize { steps, destinations: 30, endpoints: 120, max_messages_per_step: 8 }
            }
            _ => StreamSize { steps: 24, destinations: 300, endpoints: 2_000, max_messages_per_step: 60 },
        }
    }
}

impl StreamSetup {
    /// Returns the rules that the delivery policy must keep under the settings of this stream.
    pub fn rules(&self) -> Rules {
        let class = |class: &StreamClass| {
            let rules = ClassRules { idempotency: class.idempotency, ordered: class.ordered };
            (class.name.clone(), rules)
        };
        Rules {
            classes: self.classes.iter().map(class).collect(),
            max_in_flight: self.max_in_flight,
            max_pending_messages: self.max_pending_messages,
            max_attempts: self.max_attempts,
            ordering_hold_off: self.ordering_hold_off,
        }
    }
}

impl DrawnStream {
    /// Draws a setup and the matching settings.
    pub fn draw(random: &mut Pcg32) -> DrawnStream {
        let size = StreamSize::draw(random);
        let class_count = random.random_range(1..=4_usize);
        let time_granularity = pick(random, &TIME_GRANULARITIES).unwrap_or(TIME_GRANULARITIES[0]);
        let drawn_classes: Vec<DrawnClass> =
            (0..class_count).map(|number| DrawnClass::draw(random, number, time_granularity)).collect();
        let kinds = draw_endpoint_kinds(random);
        let tenants = draw_tenant_quotas(random);
        let max_in_flight = draw_max_in_flight(random);
        let mut settings = draw_settings(random, max_in_flight, size.max_messages_per_step, &kinds, &tenants);
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
            max_pending_messages: settings.max_pending_messages.unwrap_or(u64::MAX),
            max_attempts: settings.max_attempts.unwrap_or(u64::MAX),
            ordering_hold_off: settings.ordering_hold_off.unwrap_or_default(),
            responses_carry_load_reports: settings.responses_carry_load_reports,
            size,
            uses_unknown_classes: random.random_bool(0.2),
            time_granularity,
            max_step_interval: pick(random, &MAX_STEP_INTERVALS).unwrap_or(MAX_STEP_INTERVALS[0]),
        };
        DrawnStream { setup, settings }
    }
}

/// Draws the settings of a stream, without its message classes.
fn draw_settings(
    random: &mut Pcg32,
    max_in_flight: u64,
    max_messages_per_step: u32,
    kinds: &[EndpointKind],
    tenants: &[TenantQuota],
) -> Settings {
    let weights = [ListedWeights::Unspecified, ListedWeights::ApproximateRates, ListedWeights::Rates];
    Settings {
        seed: random.next_u64(),
        forwarders: Some(draw_forwarder_count(random, max_in_flight)),
        zone: ZONES[0].to_owned(),
        classes: Vec::new(),
        endpoint_kinds: kinds.to_vec(),
        tenants: tenants.to_vec(),
        over_quota_weight: draw_optional(random, |random| random.random_range(0.0..1.0)),
        late_decay: if random.random_bool(0.5) { LateDecay::Exponential } else { LateDecay::Linear },
        max_in_flight: Some(max_in_flight),
        max_pending_messages: draw_max_pending_messages(random, u64::from(max_messages_per_step)),
        max_attempts: random.random_bool(0.8).then(|| random.random_range(1..=6)),
        hedging_allowed: random.random_bool(0.3),
        max_retry_after: draw_optional(random, |random| draw_millis(random, 100, 10_000)),
        slow_start_floor: draw_optional(random, |random| random.random_range(0.05..1.0)),
        slow_start_duration: draw_optional(random, |random| draw_millis(random, 0, 15_000)),
        overload_capacity_multiple: draw_optional(random, |random| random.random_range(0.5..4.0)),
        overload_window: draw_optional(random, |random| draw_millis(random, 100, 4_000)),
        ordering_hold_off: draw_optional(random, |random| draw_millis(random, 0, 4_000)),
        max_poll_interval: draw_optional(random, |random| draw_millis(random, 500, 20_000)),
        listed_weights: pick(random, &weights).unwrap_or_default(),
        responses_carry_load_reports: random.random_bool(0.4),
        connection_idle_timeout: draw_optional(random, |random| draw_millis(random, 0, 5_000)),
        cross_zone_price: draw_optional(random, |random| random.random_range(0.0..0.1)),
        connection_price: draw_optional(random, |random| random.random_range(0.0..0.1)),
        zone_fees: ZONES
            .iter()
            .skip(1)
            .map(|zone| ZoneFee { zone: (*zone).to_owned(), fee: random.random_range(0.0..0.2) })
            .collect(),
    }
}
