//! Default values of keys that a scenario file omits.

use crate::distribution::{Amount, Distribution, Share, Span};

pub(super) fn zones() -> u32 {
    1
}

pub(super) fn max_attempts() -> u32 {
    8
}

pub(super) fn tick() -> Span {
    Span::millis(5)
}

pub(super) fn answer_slack() -> Span {
    Span::millis(20)
}

pub(super) fn drain_grace() -> Span {
    Span::millis(2000)
}

pub(super) fn ordering_hold_off() -> Span {
    Span::millis(3000)
}

pub(super) fn factor_one() -> Amount {
    Amount::ONE
}

pub(super) fn late_weight() -> Share {
    Share::clamped(0.4)
}

pub(super) fn full_share() -> Share {
    Share::clamped(1.0)
}

pub(super) fn constant_one() -> Distribution {
    Distribution::Constant(1.0)
}

pub(super) fn group_size() -> Distribution {
    Distribution::Constant(10.0)
}

pub(super) fn max_batch() -> u32 {
    1
}

pub(super) fn headroom() -> Distribution {
    Distribution::Constant(1.4)
}

pub(super) fn capacity_factor() -> Distribution {
    Distribution::Constant(1.3)
}

pub(super) fn queue_s() -> Distribution {
    Distribution::Constant(0.5)
}

pub(super) fn resubmission_delay_s() -> Distribution {
    Distribution::Constant(0.5)
}
