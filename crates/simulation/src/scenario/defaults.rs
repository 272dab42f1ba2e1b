//! Values that hold where the scenario file leaves a key out.

use crate::distribution::{Amount, Distribution, Share, Span};

pub(super) fn one_zone() -> u32 {
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

pub(super) fn one_amount() -> Amount {
    Amount::ONE
}

pub(super) fn late_weight() -> Share {
    Share::clamped(0.4)
}

pub(super) fn all() -> Share {
    Share::clamped(1.0)
}

pub(super) fn constant_one() -> Distribution {
    Distribution::Constant(1.0)
}

pub(super) fn clump() -> Distribution {
    Distribution::Constant(10.0)
}

pub(super) fn single_message_batch() -> u32 {
    1
}

pub(super) fn headroom() -> Distribution {
    Distribution::Constant(1.4)
}

pub(super) fn spare() -> Distribution {
    Distribution::Constant(1.3)
}

/// Seconds of work.
pub(super) fn queue() -> Distribution {
    Distribution::Constant(0.5)
}

/// Seconds.
pub(super) fn resubmission_delay() -> Distribution {
    Distribution::Constant(0.5)
}
