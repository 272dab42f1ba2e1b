//! Numbers of a scenario: bounded as they are read, constant or drawn from a stated distribution.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_distr::{Distribution as _, Exp, LogNormal};
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde::{Deserialize, Serialize};

/// Source of random numbers of a simulated world. Each use has a stream of its own, so that one more draw in one
/// place leaves the others as they were and two policies get the same arrivals.
pub type RandomSource = rand_pcg::Pcg64;

/// The longest span that a scenario may name, in seconds: a day.
const LONGEST_SPAN: f64 = 86_400.0;

/// Bounds of an [`Amount`].
const AMOUNT_RANGE: std::ops::RangeInclusive<f64> = 1e-6..=1e6;

/// Largest number that a [`Distribution`] may name.
const LARGEST_NUMBER: f64 = 1e9;

/// Largest spread of the logarithm in a log-normal distribution: beyond it no mean means anything.
const LARGEST_SIGMA: f64 = 3.0;

/// A number that a scenario may not name.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NumberError {
    /// Not a [`Share`].
    #[error("{0} is no share: expected a number from 0 to 1")]
    Share(f64),
    /// Not an [`Amount`].
    #[error("{0} is out of range: expected a number over 0, 1000000 at most")]
    Amount(f64),
    /// Not a [`Span`].
    #[error("{0} is no span: expected seconds from 0 to {LONGEST_SPAN}")]
    Span(f64),
    /// Parameters of a [`Distribution`] that are out of range.
    #[error(
        "distribution out of range: expected numbers from 0 up, uniform = [low, high], a mean or median over 0, \
         sigma 3 at most"
    )]
    Distribution,
}

/// A part of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// Nothing.
    pub const NONE: Share = Share(0.0);

    /// The share as a number from 0 to 1.
    pub fn get(self) -> f64 {
        self.0
    }

    /// The nearest share; none where the value is not finite.
    pub fn clamped(value: f64) -> Share {
        Share(if value.is_finite() { value.clamp(0.0, 1.0) } else { 0.0 })
    }

    /// Draws whether an event with this probability occurs.
    pub fn occurs(self, random: &mut RandomSource) -> bool {
        // Drawn in any case, so that a share of 0 does not shift what is drawn after it.
        random.random::<f64>() < self.0
    }
}

impl TryFrom<f64> for Share {
    type Error = NumberError;
    fn try_from(value: f64) -> Result<Share, NumberError> {
        if (0.0..=1.0).contains(&value) {
            Ok(Share(value))
        } else {
            Err(NumberError::Share(value))
        }
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> f64 {
        share.0
    }
}

/// A factor, a rate or a size: over 0 and at most a million.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Amount(f64);

impl Amount {
    /// One.
    pub const ONE: Amount = Amount(1.0);

    /// The amount as a number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// The nearest amount; one where the value is not finite.
    pub fn clamped(value: f64) -> Amount {
        Amount(if value.is_finite() { value.clamp(*AMOUNT_RANGE.start(), *AMOUNT_RANGE.end()) } else { 1.0 })
    }
}

impl TryFrom<f64> for Amount {
    type Error = NumberError;
    fn try_from(value: f64) -> Result<Amount, NumberError> {
        if value > 0.0 && value <= *AMOUNT_RANGE.end() {
            Ok(Amount(value))
        } else {
            Err(NumberError::Amount(value))
        }
    }
}

impl From<Amount> for f64 {
    fn from(amount: Amount) -> f64 {
        amount.0
    }
}

/// A span of time, read and written as seconds; a day at most, to the microsecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Span(pub Duration);

impl Span {
    /// A span of whole milliseconds.
    pub const fn millis(ms: u64) -> Span {
        Span(Duration::from_millis(ms))
    }

    /// The span in seconds.
    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }

    /// The nearest span that a scenario may name.
    pub fn clamped(seconds: f64) -> Span {
        Span(duration_from_seconds(seconds))
    }
}

impl TryFrom<f64> for Span {
    type Error = NumberError;
    fn try_from(value: f64) -> Result<Span, NumberError> {
        if (0.0..=LONGEST_SPAN).contains(&value) {
            Ok(Span(duration_from_seconds(value)))
        } else {
            Err(NumberError::Span(value))
        }
    }
}

impl From<Span> for f64 {
    fn from(span: Span) -> f64 {
        span.0.as_secs_f64()
    }
}

/// Seconds as whole microseconds, a day at most: whole, so that the last bits of a platform's logarithms seldom matter.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    let micros = if seconds.is_finite() { seconds.clamp(0.0, LONGEST_SPAN) * 1e6 } else { 0.0 };
    Duration::from_micros(micros.round() as u64)
}

/// A number that is constant, or drawn anew at each use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Distribution {
    /// The same number at each use.
    Constant(f64),
    /// Drawn at each use.
    Random(RandomDistribution),
}

/// A distribution to draw from.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    rename_all = "snake_case",
    deny_unknown_fields,
    expecting = "a table of the distribution's parameters"
)]
pub enum RandomDistribution {
    /// Evenly between two values.
    Uniform([f64; 2]),
    /// By its mean.
    Exponential(f64),
    /// Log-normal.
    LogNormal {
        /// Half of all draws lie under it.
        median: f64,
        /// Spread of the logarithm.
        sigma: f64,
    },
}

impl Distribution {
    /// Draws a number.
    pub fn draw(&self, random: &mut RandomSource) -> f64 {
        match *self {
            Distribution::Constant(value) => value,
            Distribution::Random(RandomDistribution::Uniform([low, high])) => {
                low + (high - low) * random.random::<f64>()
            }
            Distribution::Random(RandomDistribution::Exponential(mean)) => {
                Exp::new(1.0 / mean).map_or(mean, |d| d.sample(random))
            }
            Distribution::Random(RandomDistribution::LogNormal { median, sigma }) => {
                LogNormal::new(median.ln(), sigma).map_or(median, |d| d.sample(random))
            }
        }
    }

    /// Draws a duration, in seconds.
    pub fn draw_seconds(&self, random: &mut RandomSource) -> Duration {
        duration_from_seconds(self.draw(random))
    }

    /// Draws a duration, in milliseconds.
    pub fn draw_millis(&self, random: &mut RandomSource) -> Duration {
        duration_from_seconds(self.draw(random) / 1e3)
    }

    /// The mean of all draws.
    pub fn mean(&self) -> f64 {
        match *self {
            Distribution::Constant(value) => value,
            Distribution::Random(RandomDistribution::Uniform([low, high])) => (low + high) / 2.0,
            Distribution::Random(RandomDistribution::Exponential(mean)) => mean,
            Distribution::Random(RandomDistribution::LogNormal { median, sigma }) => {
                median * (sigma * sigma / 2.0).exp()
            }
        }
    }

    /// Refuses parameters that are out of range.
    fn validated(self) -> Result<Distribution, NumberError> {
        let in_range = |v: f64| v.is_finite() && (0.0..=LARGEST_NUMBER).contains(&v);
        let valid = match self {
            Distribution::Constant(v) => in_range(v),
            Distribution::Random(RandomDistribution::Uniform([low, high])) => {
                in_range(low) && in_range(high) && low <= high
            }
            Distribution::Random(RandomDistribution::Exponential(mean)) => in_range(mean) && mean > 0.0,
            Distribution::Random(RandomDistribution::LogNormal { median, sigma }) => {
                in_range(median) && median > 0.0 && (0.0..=LARGEST_SIGMA).contains(&sigma)
            }
        };
        if valid {
            Ok(self)
        } else {
            Err(NumberError::Distribution)
        }
    }
}

impl<'de> Deserialize<'de> for Distribution {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Distribution, D::Error> {
        struct Reader;
        impl<'de> Visitor<'de> for Reader {
            type Value = Distribution;
            fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
                to.write_str("a number, or a table with one of uniform, exponential, log_normal")
            }
            fn visit_f64<E: Error>(self, value: f64) -> Result<Distribution, E> {
                Ok(Distribution::Constant(value))
            }
            fn visit_i64<E: Error>(self, value: i64) -> Result<Distribution, E> {
                Ok(Distribution::Constant(value as f64))
            }
            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Distribution, A::Error> {
                RandomDistribution::deserialize(MapAccessDeserializer::new(map)).map(Distribution::Random)
            }
        }
        from.deserialize_any(Reader)?.validated().map_err(D::Error::custom)
    }
}
