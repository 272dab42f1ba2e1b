//! A small permuted congruential generator (PCG-XSH-RR 64/32), so that the same seed always draws alike.

/// Source of chance of one instance, started from the seed that its host hands it.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        let mut chance = Chance(seed.wrapping_add(1_442_695_040_888_963_407));
        chance.next();
        chance
    }

    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        mixed.rotate_right((old >> 59) as u32)
    }

    /// A number from 0 to just under 1.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.next()) / 4_294_967_296.0
    }

    /// A whole number below `bound`; 0 where the bound is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.next()) * bound as u64) >> 32) as usize
    }
}
