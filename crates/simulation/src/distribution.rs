//! Numbers of a scenario: bounded when they are read, and either constant or drawn from a distribution.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_distr::{Distribution as _, Exp, LogNormal};
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde::{Deserialize, Serialize};

/// Random number generator of a simulated world. Each use has its own stream, so that an additional draw in
/// one use does not change the numbers of the others.
pub type RandomSource = rand_pcg::Pcg64;

/// Maximum of a [`Span`], in seconds: one day.
const MAX_SPAN_S: f64 = 86_400.0;

const AMOUNT_RANGE: std::ops::RangeInclusive<f64> = 1e-6..=1e6;

/// Maximum of the parameters of a [`Distribution`].
const MAX_PARAMETER: f64 = 1e9;

/// Maximum sigma of a log-normal distribution. With a larger sigma, rare extreme draws dominate the mean.
const MAX_SIGMA: f64 = 3.0;

/// A number of a scenario that is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NumberError {
    /// The value is not a [`Share`].
    #[error("invalid share {0}: expected a number from 0 to 1")]
    Share(f64),
    /// The value is not an [`Amount`].
    #[error("invalid number {0}: expected a number over 0 and at most 1000000")]
    Amount(f64),
    /// The value is not a [`Span`].
    #[error("invalid duration {0}: expected seconds from 0 to {MAX_SPAN_S}")]
    Span(f64),
    /// Parameters of a [`Distribution`] that are out of range.
    #[error(
        "distribution parameters out of range: expected numbers from 0 to 1000000000, uniform = [low, high], \
         a mean or median over 0, and a sigma of at most 3"
    )]
    Distribution,
}

/// A fraction of a whole or a probability, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// Zero.
    pub const NONE: Share = Share(0.0);

    /// Returns the share as a number from 0 to 1.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns the nearest share, or [`Share::NONE`] if the value is not finite.
    pub fn clamped(value: f64) -> Share {
        Share(if value.is_finite() { value.clamp(0.0, 1.0) } else { 0.0 })
    }

    /// Draws whether an event with this probability occurs.
    pub fn occurs(self, random: &mut RandomSource) -> bool {
        // A share of 0 or 1 draws too, so that the later draws of the stream don't depend on the share.
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
    /// The number 1, which as a factor changes nothing.
    pub const ONE: Amount = Amount(1.0);

    /// Returns the amount as a number, over 0.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns the nearest amount, 0.000001 at least, or [`Amount::ONE`] if the value is not finite.
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

/// A duration of a scenario: one day at most, rounded to microseconds, read and written as seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Span(pub Duration);

impl Span {
    /// Returns a span of whole milliseconds.
    pub const fn millis(ms: u64) -> Span {
        Span(Duration::from_millis(ms))
    }

    /// Returns the span in seconds.
    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }

    /// Returns the nearest valid span, or zero if the value is not finite.
    pub fn clamped(seconds: f64) -> Span {
        Span(duration_from_seconds(seconds))
    }
}

impl TryFrom<f64> for Span {
    type Error = NumberError;
    fn try_from(value: f64) -> Result<Span, NumberError> {
        if (0.0..=MAX_SPAN_S).contains(&value) {
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

/// Converts seconds into a duration of 0 to one day; a value that is not finite gives 0. Durations are
/// rounded to microseconds so that differences between the platforms' logarithms rarely change a run.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    let micros = if seconds.is_finite() { seconds.clamp(0.0, MAX_SPAN_S) * 1e6 } else { 0.0 };
    Duration::from_micros(micros.round() as u64)
}

/// A number that is either constant or drawn at each use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Distribution {
    /// One value at each use.
    Constant(f64),
    /// A value that is drawn at each use.
    Random(RandomDistribution),
}

/// A probability distribution and its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    rename_all = "snake_case",
    deny_unknown_fields,
    expecting = "a table of the distribution's parameters"
)]
pub enum RandomDistribution {
    /// Uniform from the first value to the second.
    Uniform([f64; 2]),
    /// Exponential with this mean, over 0.
    Exponential(f64),
    /// Log-normal, by the median of the draws and the standard deviation of their logarithm.
    LogNormal {
        /// Median of the draws, over 0.
        median: f64,
        /// Standard deviation of the logarithm, from 0 to 3.
        sigma: f64,
    },
}

impl Distribution {
    /// Draws a number; a constant draws nothing from the stream.
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

    /// Draws a duration from a distribution of seconds.
    pub fn draw_seconds(&self, random: &mut RandomSource) -> Duration {
        duration_from_seconds(self.draw(random))
    }

    /// Draws a duration from a distribution of milliseconds.
    pub fn draw_millis(&self, random: &mut RandomSource) -> Duration {
        duration_from_seconds(self.draw(random) / 1e3)
    }

    /// Returns the mean of the distribution.
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

    /// Returns the distribution if its parameters are in range.
    fn validated(self) -> Result<Distribution, NumberError> {
        let in_range = |v: f64| v.is_finite() && (0.0..=MAX_PARAMETER).contains(&v);
        let valid = match self {
            Distribution::Constant(v) => in_range(v),
            Distribution::Random(RandomDistribution::Uniform([low, high])) => {
                in_range(low) && in_range(high) && low <= high
            }
            Distribution::Random(RandomDistribution::Exponential(mean)) => in_range(mean) && mean > 0.0,
            Distribution::Random(RandomDistribution::LogNormal { median, sigma }) => {
                in_range(median) && median > 0.0 && (0.0..=MAX_SIGMA).contains(&sigma)
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
