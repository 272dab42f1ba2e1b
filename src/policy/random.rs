//! Random numbers of the policy. Decisions depend on the draws and on their order.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Two random number generators that are seeded from the settings.
pub(super) struct RandomSources {
    general: Pcg32,
    /// Draws only the random order in which a destination's message classes are served, so that no other draw
    /// depends on the queued messages.
    class_order: Pcg32,
}

impl RandomSources {
    pub(super) fn new(seed: u64) -> RandomSources {
        RandomSources { general: Pcg32::seed_from_u64(seed), class_order: Pcg32::seed_from_u64(!seed) }
    }

    /// Returns the generator for all draws except those for the order of classes.
    pub(super) fn general(&mut self) -> &mut Pcg32 {
        &mut self.general
    }

    /// Draws a number from 0 to 1, excluding 1.
    pub(super) fn draw(&mut self) -> f64 {
        self.general.random::<f64>()
    }

    /// Draws a factor from 0.5 to 1.5, which spreads the actions of many forwarders over time.
    pub(super) fn draw_jitter(&mut self) -> f64 {
        0.5 + self.draw()
    }

    /// Draws a number from 0 to 1, excluding 1, for the order in which message classes are served.
    pub(super) fn draw_for_class_order(&mut self) -> f64 {
        self.class_order.random::<f64>()
    }
}
