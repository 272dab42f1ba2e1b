//! Numbers of a scenario: bounded as they are read, told outright or drawn from a stated distribution.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_distr::{Distribution as _, Exp, LogNormal};
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde::{Deserialize, Serialize};

/// Source of chance of an emulated world. Each use has a stream of its own, so that one more draw in one
/// place leaves the others as they were and two policies meet the same arrivals.
pub type Chance = rand_pcg::Pcg64;

/// The longest span that a scenario may name.
const LONGEST: f64 = 86_400.0;

/// A part of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    pub const NONE: Share = Share(0.0);

    pub fn get(self) -> f64 {
        self.0
    }

    pub fn clamped(value: f64) -> Share {
        Share(if value.is_finite() { value.clamp(0.0, 1.0) } else { 0.0 })
    }

    /// Whether it happens this time.
    pub fn strikes(self, chance: &mut Chance) -> bool {
        // Drawn in any case, so that a share of 0 does not shift what is drawn after it.
        chance.random::<f64>() < self.0
    }
}

impl TryFrom<f64> for Share {
    type Error = String;
    fn try_from(value: f64) -> Result<Share, String> {
        if (0.0..=1.0).contains(&value) {
            Ok(Share(value))
        } else {
            Err(format!("{value} is no share: expected a number from 0 to 1"))
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
    pub const ONE: Amount = Amount(1.0);

    pub fn get(self) -> f64 {
        self.0
    }

    pub fn clamped(value: f64) -> Amount {
        Amount(if value.is_finite() { value.clamp(1e-6, 1e6) } else { 1.0 })
    }
}

impl TryFrom<f64> for Amount {
    type Error = String;
    fn try_from(value: f64) -> Result<Amount, String> {
        if value > 0.0 && value <= 1e6 {
            Ok(Amount(value))
        } else {
            Err(format!("{value} is out of range: expected a number over 0, 1000000 at most"))
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
    pub const fn millis(ms: u64) -> Span {
        Span(Duration::from_millis(ms))
    }

    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }

    pub fn clamped(seconds: f64) -> Span {
        Span(to_span(seconds))
    }
}

impl TryFrom<f64> for Span {
    type Error = String;
    fn try_from(value: f64) -> Result<Span, String> {
        if (0.0..=LONGEST).contains(&value) {
            Ok(Span(to_span(value)))
        } else {
            Err(format!("{value} is no span: expected seconds from 0 to {LONGEST}"))
        }
    }
}

impl From<Span> for f64 {
    fn from(span: Span) -> f64 {
        span.0.as_secs_f64()
    }
}

/// Whole microseconds, so that the last bits of a platform's logarithms seldom matter.
pub fn to_span(seconds: f64) -> Duration {
    let micros = if seconds.is_finite() { seconds.clamp(0.0, LONGEST) * 1e6 } else { 0.0 };
    Duration::from_micros(micros.round() as u64)
}

/// A number that is told, or drawn anew at each use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Distribution {
    Told(f64),
    Drawn(RandomDistribution),
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RandomDistribution {
    /// Evenly between two values.
    Uniform([f64; 2]),
    /// By its mean.
    Exponential(f64),
    /// Half lie under the median; sigma is the spread of the logarithm.
    LogNormal { median: f64, sigma: f64 },
}

impl Distribution {
    pub fn draw(&self, chance: &mut Chance) -> f64 {
        match *self {
            Distribution::Told(value) => value,
            Distribution::Drawn(RandomDistribution::Uniform([low, high])) => {
                low + (high - low) * chance.random::<f64>()
            }
            Distribution::Drawn(RandomDistribution::Exponential(mean)) => {
                Exp::new(1.0 / mean).map_or(mean, |d| d.sample(chance))
            }
            Distribution::Drawn(RandomDistribution::LogNormal { median, sigma }) => {
                LogNormal::new(median.ln(), sigma).map_or(median, |d| d.sample(chance))
            }
        }
    }

    /// A span of so many seconds.
    pub fn span(&self, chance: &mut Chance) -> Duration {
        to_span(self.draw(chance))
    }

    /// A span of so many milliseconds.
    pub fn millis(&self, chance: &mut Chance) -> Duration {
        to_span(self.draw(chance) / 1e3)
    }

    pub fn mean(&self) -> f64 {
        match *self {
            Distribution::Told(value) => value,
            Distribution::Drawn(RandomDistribution::Uniform([low, high])) => (low + high) / 2.0,
            Distribution::Drawn(RandomDistribution::Exponential(mean)) => mean,
            Distribution::Drawn(RandomDistribution::LogNormal { median, sigma }) => {
                median * (sigma * sigma / 2.0).exp()
            }
        }
    }

    fn check(self) -> Result<Distribution, String> {
        let fine = |v: f64| v.is_finite() && (0.0..=1e9).contains(&v);
        let good = match self {
            Distribution::Told(v) => fine(v),
            Distribution::Drawn(RandomDistribution::Uniform([low, high])) => {
                fine(low) && fine(high) && low <= high
            }
            Distribution::Drawn(RandomDistribution::Exponential(mean)) => fine(mean) && mean > 0.0,
            Distribution::Drawn(RandomDistribution::LogNormal { median, sigma }) => {
                fine(median) && median > 0.0 && (0.0..=3.0).contains(&sigma)
            }
        };
        let wanted = "numbers from 0 up, uniform = [low, high], a mean or median over 0, sigma 3 at most";
        if good {
            Ok(self)
        } else {
            Err(format!("figure out of range: expected {wanted}"))
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
                Ok(Distribution::Told(value))
            }
            fn visit_i64<E: Error>(self, value: i64) -> Result<Distribution, E> {
                Ok(Distribution::Told(value as f64))
            }
            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Distribution, A::Error> {
                RandomDistribution::deserialize(MapAccessDeserializer::new(map)).map(Distribution::Drawn)
            }
        }
        from.deserialize_any(Reader)?.check().map_err(D::Error::custom)
    }
}
