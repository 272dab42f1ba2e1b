//! The policy's random numbers. Draws and their order are a part of its decisions.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Two generators that start from the seed of the settings.
pub(super) struct RandomSources {
    general: Pcg32,
    /// For the order of classes alone, so that no other draw depends on what is queued.
    class_order: Pcg32,
}

impl RandomSources {
    pub(super) fn new(seed: u64) -> RandomSources {
        RandomSources { general: Pcg32::seed_from_u64(seed), class_order: Pcg32::seed_from_u64(!seed) }
    }

    /// The generator for all but the order of classes.
    pub(super) fn general(&mut self) -> &mut Pcg32 {
        &mut self.general
    }

    /// From 0 to 1.
    pub(super) fn draw(&mut self) -> f64 {
        self.general.random::<f64>()
    }

    /// From 0.5 to 1.5, to spread what many forwarders would otherwise do at the same time.
    pub(super) fn draw_jitter(&mut self) -> f64 {
        0.5 + self.draw()
    }

    /// From 0 to 1, for the order of classes.
    pub(super) fn draw_for_class_order(&mut self) -> f64 {
        self.class_order.random::<f64>()
    }
}
