//! How long the watch on the list stays closed before it is opened again. Decides alone, without I/O.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// After a break: doubled each time, until a line comes.
const BROKEN_FIRST: Duration = Duration::from_millis(100);
const BROKEN_MOST: Duration = Duration::from_secs(2);
/// After a refusal, on average. What discovery tells counts as told after 6 s, so that it must be able to hear
/// each forwarder about that often; one that refuses may count refused calls too, and the sum of sooner ones
/// keeps it overbooked. Doubled each time, as a larger fleet has to find a slower pace.
pub const REFUSED_FIRST: Duration = Duration::from_secs(6);
pub const REFUSED_MOST: Duration = Duration::from_secs(24);

/// A longer wait is taken for a mistake, which is not to leave a forwarder without its list for good.
const ASKED_MOST: Duration = Duration::from_secs(600);

/// How a watch ended.
#[derive(Debug, PartialEq)]
pub enum Loss {
    /// No connection, a break, a silence, or what can't be read.
    Broken(String),
    /// Discovery answered that it will not, perhaps with a wait that it asks for.
    Refused(String, Option<Duration>),
}

pub struct Reopening {
    broken: Duration,
    refused: Duration,
    chance: Pcg32,
}

impl Reopening {
    pub fn new(seed: u64) -> Reopening {
        Reopening { broken: BROKEN_FIRST, refused: REFUSED_FIRST, chance: Pcg32::seed_from_u64(seed) }
    }

    /// The watch has told something, or is to be opened elsewhere.
    pub fn start_over(&mut self) {
        (self.broken, self.refused) = (BROKEN_FIRST, REFUSED_FIRST);
    }

    /// How long to rest after a loss. Forwarders that lost it together do not all come back together.
    pub fn rest(&mut self, loss: &Loss) -> Duration {
        let drawn = self.chance.random::<f64>();
        match loss {
            Loss::Broken(_) => {
                let rest = self.broken.mul_f64(0.5 + drawn);
                self.broken = (self.broken * 2).min(BROKEN_MOST);
                rest
            }
            Loss::Refused(_, asked) => {
                let rest = self.refused.mul_f64(2.0 * drawn);
                self.refused = (self.refused * 2).min(REFUSED_MOST);
                asked.unwrap_or_default().min(ASKED_MOST) + rest
            }
        }
    }
}
