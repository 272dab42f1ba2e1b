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
const REFUSED_FIRST: Duration = Duration::from_secs(6);
const REFUSED_MOST: Duration = Duration::from_secs(24);

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

#[cfg(test)]
mod tests {
    use super::*;

    /// Takes ten watches a second, and refused calls use that up too.
    fn overbooked(fleet: u64, span: Duration) -> usize {
        let mut calls: Vec<(Duration, Reopening)> = (0..fleet)
            .map(|seed| {
                let mut reopening = Reopening::new(seed);
                (reopening.rest(&Loss::Broken("reset".into())), reopening)
            })
            .collect();
        let mut lately: Vec<Duration> = Vec::new();
        let mut watching = 0;
        loop {
            calls.sort_by_key(|c| c.0);
            let Some((now, reopening)) = calls.first_mut().filter(|c| c.0 < span) else { return watching };
            lately.retain(|t| now.saturating_sub(*t) < Duration::from_secs(1));
            lately.push(*now);
            if lately.len() <= 10 {
                watching += 1;
                calls.remove(0);
            } else {
                *now += reopening.rest(&Loss::Refused("503".into(), None));
            }
        }
    }

    #[test]
    fn a_fleet_that_lost_its_watches_together_does_not_keep_discovery_overbooked() {
        for fleet in [3, 30, 100, 300] {
            let watching = overbooked(fleet, Duration::from_secs(120));
            assert_eq!(watching as u64, fleet, "of {fleet}");
        }
        let soon = overbooked(100, Duration::from_secs(20));
        assert!(soon >= 60, "after 20 s {soon} of 100");
    }

    #[test]
    fn an_asked_wait_is_kept_and_a_line_ends_the_backing_off() {
        let wait = Duration::from_secs(40);
        let mut reopening = Reopening::new(7);
        for _ in 0..20 {
            let rest = reopening.rest(&Loss::Refused("503".into(), Some(wait)));
            assert!(rest >= wait && rest <= wait + 2 * REFUSED_MOST, "{rest:?}");
        }
        reopening.start_over();
        assert!(reopening.rest(&Loss::Broken("reset".into())) < Duration::from_millis(150));
        assert!(reopening.rest(&Loss::Refused("503".into(), None)) <= 2 * REFUSED_FIRST);
    }
}
