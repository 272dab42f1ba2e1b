//! Draws the terms of a stream, and its size.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use rand_pcg::Pcg32;
use reeddock::{CategoryTerms, Effect, Group, Terms, Weights};

use super::model::Rules;

pub const ZONES: [&str; 3] = ["north", "south", "west"];
/// Most keys that the ordered envelopes of a stream are about.
pub const KEYS: u64 = 4;

/// Coarse ones are as long as much that the module derives from its terms, so that its deadlines meet.
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

/// A category as the programs of a stream know it.
pub struct Category {
    pub name: String,
    pub outer_limit: Duration,
    pub ordered: bool,
    pub effect: Effect,
}

/// What a stream is played with.
pub struct Setting {
    pub categories: Vec<Category>,
    pub kinds: Vec<String>,
    pub tenants: Vec<String>,
    pub slots: u64,
    pub room: u64,
    pub dispatch_cap: u64,
    pub key_rest: Duration,
    pub answers_report: bool,
    pub steps: usize,
    pub destinations: u64,
    pub targets: u32,
    /// Most envelopes of one usual hand-in.
    pub burst: u32,
    /// A program also hands in what it takes no part in, and names that nobody knows.
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

fn effect(chance: &mut Pcg32) -> Option<Effect> {
    let window = millis(chance, 200, 8_000);
    let effects = [
        Some(Effect::Pure),
        Some(Effect::Pure),
        Some(Effect::Effectful),
        Some(Effect::Receipted { window, group: Group::All }),
        Some(Effect::Receipted { window, group: Group::Zone }),
        None,
    ];
    let drawn = chance.random_range(0..effects.len());
    // Untold is rare, as it is treated as effectful.
    effects[drawn].or_else(|| chance.random_bool(0.7).then_some(Effect::Pure))
}

fn category(chance: &mut Pcg32, number: usize, grain: Duration) -> (Category, CategoryTerms) {
    let outer_limit = rounded(millis(chance, 500, 30_000), grain);
    let name = format!("c{number}");
    let ordered = chance.random_bool(0.3);
    let terms = CategoryTerms {
        name: name.clone(),
        effect: effect(chance),
        promised: perhaps(chance, |c| rounded(outer_limit.mul_f64(c.random_range(0.05..1.2)), grain)),
        outer_limit: chance.random_bool(0.95).then_some(outer_limit),
        credit: perhaps(chance, |c| f64::from(c.random_range(0_u32..5)) / 2.0),
        late_credit: perhaps(chance, |c| f64::from(c.random_range(0_u32..10)) / 10.0),
        ordered,
    };
    // What is untold is treated as what allows least.
    let effect = terms.effect.unwrap_or(Effect::Effectful);
    (Category { name, outer_limit, ordered, effect }, terms)
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

/// Few forwarders, or more than one of them has slots: the module decides otherwise where these are many.
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

/// Steps, destinations, targets and envelopes of a burst.
fn size(chance: &mut Pcg32) -> (usize, u64, u32, u32) {
    match chance.random_range(0..100_u32) {
        0..=89 => {
            let destinations = chance.random_range(1..=8_u64);
            let targets = chance.random_range(1..=16_u32).max(destinations as u32);
            (chance.random_range(40..=240), destinations, targets, 3)
        }
        90..=98 => (chance.random_range(40..=120), 30, 120, 8),
        _ => (24, 300, 2_000, 60),
    }
}

impl Setting {
    /// What the module promises under these terms.
    pub fn rules(&self) -> Rules {
        let category = |c: &Category| (c.name.clone(), (c.effect, c.ordered));
        Rules {
            categories: self.categories.iter().map(category).collect(),
            slots: self.slots,
            room: self.room,
            dispatch_cap: self.dispatch_cap,
            key_rest: self.key_rest,
        }
    }

    pub fn draw(chance: &mut Pcg32) -> (Setting, Terms) {
        let (steps, destinations, targets, burst) = size(chance);
        let count = chance.random_range(1..=4_usize);
        let grain = pick(chance, &GRAINS).unwrap_or(GRAINS[0]);
        let (categories, of_categories): (Vec<_>, Vec<_>) =
            (0..count).map(|n| category(chance, n, grain)).unzip();
        let (kinds, tenants, slots) = (kinds(chance), tenants(chance), slots(chance));
        let weights = [Weights::Untold, Weights::RoughRates, Weights::Rates];
        let terms = Terms {
            seed: chance.next_u64(),
            forwarders: Some(forwarders(chance, slots)),
            zone: ZONES[0].to_owned(),
            categories: of_categories,
            kinds: kinds.clone(),
            tenants: tenants.clone(),
            over_share_credit: perhaps(chance, |c| c.random_range(0.0..1.0)),
            halving: chance.random_bool(0.5),
            slots: Some(slots),
            room: room(chance, u64::from(burst)),
            dispatch_cap: chance.random_bool(0.8).then(|| chance.random_range(1..=6)),
            may_duplicate: chance.random_bool(0.3),
            come_back: perhaps(chance, |c| millis(c, 100, 10_000)),
            cold_from: perhaps(chance, |c| c.random_range(0.05..1.0)),
            warm_within: perhaps(chance, |c| millis(c, 0, 15_000)),
            fall_multiple: perhaps(chance, |c| c.random_range(0.5..4.0)),
            tip_after: perhaps(chance, |c| millis(c, 100, 4_000)),
            key_rest: perhaps(chance, |c| millis(c, 0, 4_000)),
            ask_within: perhaps(chance, |c| millis(c, 500, 20_000)),
            weights: pick(chance, &weights).unwrap_or_default(),
            answers_report: chance.random_bool(0.4),
            connection_idle: perhaps(chance, |c| millis(c, 0, 5_000)),
            cross_zone_price: perhaps(chance, |c| c.random_range(0.0..0.1)),
            connection_price: perhaps(chance, |c| c.random_range(0.0..0.1)),
            zone_fees: ZONES
                .iter()
                .skip(1)
                .map(|z| ((*z).to_owned(), chance.random_range(0.0..0.2)))
                .collect(),
        };
        let setting = Setting {
            categories,
            kinds: kinds.into_iter().map(|k| k.0).collect(),
            tenants: tenants.into_iter().map(|t| t.0).collect(),
            slots,
            room: terms.room.unwrap_or(u64::MAX),
            dispatch_cap: terms.dispatch_cap.unwrap_or(u64::MAX),
            key_rest: terms.key_rest.unwrap_or_default(),
            answers_report: terms.answers_report,
            steps,
            destinations,
            targets,
            burst,
            strange_names: chance.random_bool(0.2),
            grain,
            longest_step: pick(chance, &LONGEST_STEPS).unwrap_or(LONGEST_STEPS[0]),
        };
        (setting, terms)
    }
}
